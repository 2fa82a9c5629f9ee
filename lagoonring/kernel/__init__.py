"""Micro-kernel: application life cycle, service registry and clocks."""

from __future__ import annotations

from lagoonring.kernel.application import (
    Application,
    BaseService,
    Service,
    UnknownServiceError,
)
from lagoonring.kernel.clock import Clock, ManualClock

__all__ = [
    "Application",
    "BaseService",
    "Clock",
    "ManualClock",
    "Service",
    "UnknownServiceError",
]
