"""The application service that owns the metrics registry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, PlatformCollector, ProcessCollector

from lagoonring.kernel import BaseService

if TYPE_CHECKING:
    from lagoonring.kernel import Application


class MetricsService(BaseService):
    """Owns the registry in which all services register their metrics."""

    name = "metrics"

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        PlatformCollector(registry=self.registry)


def find_registry(app: Application) -> CollectorRegistry:
    """Return the registry of the service ``metrics``, or a new one if there is none."""
    metrics = app.services.get("metrics")
    return metrics.registry if metrics is not None else CollectorRegistry()
