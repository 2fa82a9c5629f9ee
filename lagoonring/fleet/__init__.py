"""Capacity, prices and reclaims of instances."""
