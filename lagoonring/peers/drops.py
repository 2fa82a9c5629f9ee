"""Counting and rate-limited logging of dropped frames."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.logs.logger import make_logger

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.peers.frames import DropReason
    from lagoonring.peers.metrics import PeersMetrics

LOG_INTERVAL_S = 10.0

logger = make_logger("peers")


class DropCounter:
    """Counts drops by reason; logs each reason at most every ``LOG_INTERVAL_S``."""

    def __init__(self, clock: Clock, metrics: PeersMetrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.counts: dict[DropReason, int] = {}
        self.logged_s: dict[DropReason, float] = {}
        self.n_unlogged: dict[DropReason, int] = {}

    def count(self, reason: DropReason) -> None:
        """Count a dropped frame and log the reason if it is due."""
        self.metrics.frames_dropped.labels(reason.value).inc()
        self.counts[reason] = self.counts.get(reason, 0) + 1
        self.n_unlogged[reason] = self.n_unlogged.get(reason, 0) + 1
        now_s = self.clock.monotonic()
        if now_s - self.logged_s.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self.logged_s[reason] = now_s
        n_frames = self.n_unlogged.pop(reason)
        logger.warning("Dropped {} frames: {}.", n_frames, reason.value)
