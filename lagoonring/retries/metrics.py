"""Metrics of retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

from lagoonring.metrics import find_registry

if TYPE_CHECKING:
    from lagoonring.kernel import Application


class RetriesMetrics:
    """Prometheus metrics of retries, crashes and the quarantine."""

    def __init__(self, app: Application) -> None:
        registry = find_registry(app)
        self.retries = Counter(
            "lagoonring_retries",
            "Retries and hedges asked for, by whether the budget allowed them.",
            ["allowed"],
            registry=registry,
        )
        self.crashes = Counter(
            "lagoonring_retries_crashes",
            "Endpoints that went down with a request in progress, by cause.",
            ["cause"],
            registry=registry,
        )
        self.refused = Counter(
            "lagoonring_retries_refused",
            "Attempts refused, by reason.",
            ["reason"],
            registry=registry,
        )
        self.asked = Counter(
            "lagoonring_retries_asked",
            "Attempts that a home was asked about, by its answer.",
            ["answer"],
            registry=registry,
        )
        self.suspected = Gauge(
            "lagoonring_retries_fingerprints",
            "Fingerprints with crashes known here.",
            registry=registry,
        )
