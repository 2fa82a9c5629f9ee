"""Token buckets with a variable rate and a level that may go negative."""

from __future__ import annotations

import attrs


@attrs.define
class Bucket:
    """Token bucket that refills at ``rate`` units per second up to ``burst``."""

    rate: float
    burst: float
    level: float
    time_s: float

    def set_rate(self, rate: float, burst: float, now_s: float) -> None:
        """Change the rate and burst size from ``now_s`` on."""
        self.fill(now_s)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def fill(self, now_s: float) -> None:
        """Refill for the time since the last update."""
        level = self.level + (now_s - self.time_s) * self.rate
        self.level = min(self.burst, level)
        self.time_s = now_s

    def wait_s(self, n_units: float, now_s: float) -> float:
        """Return the seconds until ``n_units`` are available; 0 if they are now.

        A request for more than ``burst`` waits for a full bucket only.
        """
        self.fill(now_s)
        n_missing = min(n_units, self.burst) - self.level
        if n_missing <= 0:
            return 0.0
        return n_missing / self.rate if self.rate > 0 else float("inf")

    def take(self, n_units: float) -> None:
        """Remove units; a negative number returns units to the bucket."""
        self.level = min(self.burst, self.level - n_units)
