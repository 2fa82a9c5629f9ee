"""Metrics of version moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from lagoonring.moves.messages import MoveRecord


class MoveMetrics:
    """Current share, phases entered and versions rejected, by entry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.share = Gauge(
            "lagoonring_move_share",
            "Share of requests on the new version, as last told.",
            ["entry"],
            registry=registry,
        )
        self.phases = Counter(
            "lagoonring_move_phases",
            "Phases of moves that came into force, as seen here.",
            ["entry", "phase"],
            registry=registry,
        )
        self.verdicts = Counter(
            "lagoonring_move_verdicts",
            "New versions condemned, as known here.",
            ["entry"],
            registry=registry,
        )

    def record_phase(self, record: MoveRecord) -> None:
        """Count the entered phase or step and set the share."""
        self.share.labels(record.entry).set(record.share)
        self.phases.labels(record.entry, record.phase).inc()

    def record_verdict(self, record: MoveRecord) -> None:
        """Count the rejection of a new version."""
        self.verdicts.labels(record.entry).inc()
