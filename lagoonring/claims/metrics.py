"""Prometheus metrics of claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge, Histogram

from lagoonring.metrics import find_registry

if TYPE_CHECKING:
    from lagoonring.kernel import Application

BATCH_SIZES = (1, 2, 4, 8, 16, 32, 64, 128, 256)
APPEND_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class ClaimsMetrics:
    """Counts of answers by state, batch sizes, append latencies and table sizes.

    Parameters
    ----------
    app : Application
        Its service ``metrics`` owns the registry; without that service a private
        registry is used.
    """

    def __init__(self, app: Application) -> None:
        registry = find_registry(app)
        self.batch_size = Histogram(
            "lagoonring_claims_batch_items",
            "Items in one append.",
            buckets=BATCH_SIZES,
            registry=registry,
        )
        self.append_s = Histogram(
            "lagoonring_claims_append_seconds",
            "Time from an append to its read-back.",
            buckets=APPEND_BOUNDS_S,
            registry=registry,
        )
        self.answers = Counter(
            "lagoonring_claims_answers",
            "Answers to claims.",
            ["state"],
            registry=registry,
        )
        self.rows = Gauge(
            "lagoonring_claims_rows",
            "Keys remembered, by slot and state, when its last snapshot was written.",
            ["slot", "state"],
            registry=registry,
        )
        self.slots = Gauge(
            "lagoonring_claims_slots", "Slots held here.", registry=registry
        )
