"""Prometheus metrics of admission control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge, Histogram

from lagoonring.metrics import find_registry

if TYPE_CHECKING:
    from lagoonring.kernel import Application

WAIT_BUCKETS_S = (0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10)


class LimitsMetrics:
    """Counts of admitted and refused requests, queueing times and queue lengths."""

    def __init__(self, app: Application) -> None:
        registry = find_registry(app)
        self.admitted = Counter(
            "lagoonring_limits_admitted",
            "Requests admitted.",
            ["entry"],
            registry=registry,
        )
        self.refused = Counter(
            "lagoonring_limits_refused",
            "Requests refused, by entry and reason.",
            ["entry", "reason"],
            registry=registry,
        )
        self.waited = Histogram(
            "lagoonring_limits_waited_seconds",
            "Time in the fair queue.",
            buckets=WAIT_BUCKETS_S,
            registry=registry,
        )
        self.waiting = Gauge(
            "lagoonring_limits_waiting",
            "Requests waiting in the fair queue.",
            ["entry"],
            registry=registry,
        )
        self.running = Gauge(
            "lagoonring_limits_running",
            "Requests dispatched and not yet released.",
            ["entry"],
            registry=registry,
        )
