"""The true time of day, whatever this machine's clock says.

Instances tell each other their wall clocks. The median of all clocks is right as
long as fewer than half of them have jumped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.serving.messages import Source

CLOCK_AGE_S = 5.0  # clocks heard longer ago may have jumped since


@attrs.frozen
class ToldClock:
    """A wall clock less the steady clock here; ``weight`` clocks agree on it."""

    offset_s: float
    heard_s: float
    weight: int


class TrueClock:
    """Derives the time of day from all instances' clocks."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.told: dict[Source, ToldClock] = {}

    def update_peer(self, source: Source, time_s: float, *, weight: int = 1) -> None:
        """Take in a wall clock, or what several agree on, read a moment ago."""
        steady_s = self.clock.boottime()
        self.told[source] = ToldClock(time_s - steady_s, steady_s, weight)

    def now(self) -> float:
        """Return seconds since the epoch."""
        return self._median(list(self.told.values()))

    def local_now(self) -> float:
        """Return what the clocks of this data centre say."""
        return self._median([it for key, it in self.told.items() if key.is_local])

    def _median(self, clocks: list[ToldClock]) -> float:
        steady_s = self.clock.boottime()
        offsets = [self.clock.time() - steady_s]
        for told in clocks:
            if steady_s - told.heard_s < CLOCK_AGE_S:
                offsets += [told.offset_s] * told.weight
        offsets.sort()
        return steady_s + offsets[len(offsets) // 2]
