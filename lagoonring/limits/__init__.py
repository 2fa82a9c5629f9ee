"""Admission control: rate limits shared among instances, and fair queueing."""

from __future__ import annotations

from lagoonring.limits.messages import (
    AdmitRequest,
    LimitRefusedError,
    OverloadRefusedError,
    Permit,
    RefusedError,
)
from lagoonring.limits.options import LimitsOptions
from lagoonring.limits.service import LimitsService

__all__ = [
    "AdmitRequest",
    "LimitRefusedError",
    "LimitsOptions",
    "LimitsService",
    "OverloadRefusedError",
    "Permit",
    "RefusedError",
]
