"""Latency histogram with a bounded size and gradual decay."""

from __future__ import annotations

import math

MIN_LATENCY_S = 0.001
BUCKET_GROWTH = 1.1
N_BUCKETS = 128
MAX_SAMPLES = 2_000
MIN_SAMPLES = 50
LOG_BUCKET_GROWTH = math.log(BUCKET_GROWTH)


class LatencyHistogram:
    """Histogram whose bucket bounds grow by a tenth each, starting at 1 ms.

    When the total count reaches ``MAX_SAMPLES``, all counts are halved, so that
    older samples lose weight.
    """

    def __init__(self) -> None:
        self.counts = [0.0] * N_BUCKETS
        self.total = 0.0

    def add(self, latency_s: float) -> None:
        """Count a latency in seconds."""
        index = 0
        if latency_s > MIN_LATENCY_S:
            index = math.ceil(math.log(latency_s / MIN_LATENCY_S) / LOG_BUCKET_GROWTH)
        self.counts[min(index, N_BUCKETS - 1)] += 1.0
        self.total += 1.0
        if self.total >= MAX_SAMPLES:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, share: float) -> float | None:
        """Return the upper bound of the quantile's bucket.

        Returns None with fewer than ``MIN_SAMPLES`` samples.
        """
        if self.total < MIN_SAMPLES:
            return None
        target_count = share * self.total
        cumulative = 0.0
        for index, count in enumerate(self.counts):
            cumulative += count
            if cumulative >= target_count:
                return MIN_LATENCY_S * BUCKET_GROWTH**index
        return MIN_LATENCY_S * BUCKET_GROWTH ** (N_BUCKETS - 1)
