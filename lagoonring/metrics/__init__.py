"""Metrics of a process."""
