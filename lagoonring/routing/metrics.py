"""Metrics of routing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class RoutingMetrics:
    """Prometheus metrics of endpoint choices and ejections."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.choices = Counter(
            "lagoonring_routing_choices",
            "Endpoints chosen, by reason.",
            ["reason"],
            registry=registry,
        )
        self.blocks = Counter(
            "lagoonring_routing_blocks",
            "Prompt blocks routed, by whether they were known to be cached.",
            ["cached"],
            registry=registry,
        )
        self.ejections = Counter(
            "lagoonring_routing_ejections",
            "Endpoints ejected, by reason.",
            ["reason"],
            registry=registry,
        )
        self.ejected = Gauge(
            "lagoonring_routing_ejected",
            "Endpoints that take no work here for their health.",
            registry=registry,
        )
        self.blocks_cached = self.blocks.labels("yes")
        self.blocks_uncached = self.blocks.labels("no")
        self.by_reason: dict[str, Counter] = {}

    def record_choice(self, reason: str, n_cached: int, n_blocks: int) -> None:
        """Count a choice and the cached and uncached blocks it routed."""
        counter = self.by_reason.get(reason)
        if counter is None:
            counter = self.by_reason[reason] = self.choices.labels(reason)
        counter.inc()
        if n_cached:
            self.blocks_cached.inc(n_cached)
        if n_blocks > n_cached:
            self.blocks_uncached.inc(n_blocks - n_cached)
