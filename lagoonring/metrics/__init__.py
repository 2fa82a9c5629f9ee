"""Metrics of a process."""

from __future__ import annotations

from lagoonring.metrics.service import MetricsService

__all__ = ["MetricsService"]
