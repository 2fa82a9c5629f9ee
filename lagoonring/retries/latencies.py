"""A bounded histogram of latencies that forgets slowly."""

from __future__ import annotations

import math

LEAST_S = 0.001
GROWTH = 1.1
N_BUCKETS = 128
N_HALVED = 2_000
N_LEAST = 50
LOG_GROWTH = math.log(GROWTH)


class LatencyHistogram:
    """Counts in buckets that grow by a tenth, from 1 ms on.

    When ``N_HALVED`` samples are in, all counts are halved.
    """

    def __init__(self) -> None:
        self.counts = [0.0] * N_BUCKETS
        self.total = 0.0

    def add(self, latency_s: float) -> None:
        """Count a latency in seconds."""
        index = 0
        if latency_s > LEAST_S:
            index = math.ceil(math.log(latency_s / LEAST_S) / LOG_GROWTH)
        self.counts[min(index, N_BUCKETS - 1)] += 1.0
        self.total += 1.0
        if self.total >= N_HALVED:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, share: float) -> float | None:
        """Return the upper bound of the bucket, None with too few samples."""
        if self.total < N_LEAST:
            return None
        wanted = share * self.total
        seen = 0.0
        for index, count in enumerate(self.counts):
            seen += count
            if seen >= wanted:
                return LEAST_S * GROWTH**index
        return LEAST_S * GROWTH ** (N_BUCKETS - 1)
