"""Limits, fair queue and shedding."""
