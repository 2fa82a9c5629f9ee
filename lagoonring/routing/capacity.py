"""How many requests an entry's endpoints take at once, by measured waiting."""

from __future__ import annotations

import attrs

FACTOR_START = 1.25
FACTOR_RANGE = (0.5, 2.0)
GROWTH = 0.002
SHRINKAGE = 0.98
WAIT_SHARE = 0.5


@attrs.define
class CapacityGauge:
    """Scales the number of slots by how long requests wait in endpoints.

    Grows a little with each request that waited less than half of its class's
    first-token target, shrinks with each that waited longer.
    """

    factors: dict[str, float] = attrs.field(factory=dict)

    def note(self, entry: str, *, waited_s: float, target_s: float) -> None:
        """Take the wait of a finished request in; both in seconds."""
        factor = self.factors.get(entry, FACTOR_START)
        if waited_s > WAIT_SHARE * target_s:
            factor *= SHRINKAGE
        else:
            factor += GROWTH
        low, high = FACTOR_RANGE
        self.factors[entry] = min(high, max(low, factor))

    def scaled(self, entry: str, n_slots: int) -> int:
        """Return the requests to have in progress for that many slots."""
        if n_slots <= 0:
            return 0
        return max(1, round(n_slots * self.factors.get(entry, FACTOR_START)))
