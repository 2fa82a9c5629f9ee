"""The Prometheus registry of a process."""

from __future__ import annotations

from lagoonring.metrics.service import MetricsService, find_registry

__all__ = ["MetricsService", "find_registry"]
