"""Counts of faults that are used up by the requests that they hit."""

from __future__ import annotations

from typing import Any


def use_up(faults: Any, count: str) -> bool:
    """Take one from the attribute ``count`` of faults; False if none is left."""
    n_left = getattr(faults, count)
    if n_left == 0:
        return False
    setattr(faults, count, n_left - 1)
    return True
