"""The registry of a process's metrics, as a service."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, PlatformCollector, ProcessCollector

from lagoonring.kernel import BaseService


class MetricsService(BaseService):
    """Owns the registry that all parts put their metrics in."""

    name = "metrics"

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        PlatformCollector(registry=self.registry)
