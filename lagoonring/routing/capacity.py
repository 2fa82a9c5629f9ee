"""Estimate of an entry's concurrent capacity from measured queueing times."""

from __future__ import annotations

import attrs

INITIAL_FACTOR = 1.25
FACTOR_RANGE = (0.5, 2.0)
GROWTH_STEP = 0.002
SHRINK_FACTOR = 0.98
MAX_WAIT_SHARE = 0.5


@attrs.define
class CapacityEstimator:
    """Scales an entry's number of slots by how long requests wait in endpoints.

    An entry's factor grows a little with each request that waited at most half
    of its class's first-token target and shrinks with each that waited longer.
    """

    factors: dict[str, float] = attrs.field(factory=dict)

    def record_wait(self, entry: str, *, waited_s: float, target_s: float) -> None:
        """Update the factor from the wait of a finished request."""
        factor = self.factors.get(entry, INITIAL_FACTOR)
        if waited_s > MAX_WAIT_SHARE * target_s:
            factor *= SHRINK_FACTOR
        else:
            factor += GROWTH_STEP
        low, high = FACTOR_RANGE
        self.factors[entry] = min(high, max(low, factor))

    def scale(self, entry: str, n_slots: int) -> int:
        """Return how many requests may be in progress at once on the slots."""
        if n_slots <= 0:
            return 0
        return max(1, round(n_slots * self.factors.get(entry, INITIAL_FACTOR)))
