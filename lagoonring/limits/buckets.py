"""Token buckets whose rate may change and whose level may be negative."""

from __future__ import annotations

import attrs


@attrs.define
class Bucket:
    """A bucket that fills at ``rate`` units a second up to ``burst`` units."""

    rate: float
    burst: float
    level: float
    time_s: float

    def set_rate(self, rate: float, burst: float, now_s: float) -> None:
        """Fill at another rate from now on."""
        self.fill(now_s)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def fill(self, now_s: float) -> None:
        """Bring the level up to date."""
        level = self.level + (now_s - self.time_s) * self.rate
        self.level = min(self.burst, level)
        self.time_s = now_s

    def wait_s(self, n_units: float, now_s: float) -> float:
        """Return the seconds until ``n_units`` are there, 0 if they are."""
        self.fill(now_s)
        n_missing = min(n_units, self.burst) - self.level
        if n_missing <= 0:
            return 0.0
        return n_missing / self.rate if self.rate > 0 else float("inf")

    def take(self, n_units: float) -> None:
        """Take units out; negative numbers give units back."""
        self.level = min(self.burst, self.level - n_units)
