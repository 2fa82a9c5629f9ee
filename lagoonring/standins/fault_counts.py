"""Faults that hit a limited number of requests."""

from __future__ import annotations

from typing import Any


def consume_fault(faults: Any, count: str) -> bool:
    """Decrement the attribute ``count`` of faults; return False if it is 0."""
    n_left = getattr(faults, count)
    if n_left == 0:
        return False
    setattr(faults, count, n_left - 1)
    return True
