"""The true time of day, whatever this machine's clock says.

Each frame of another instance tells its wall clock. The median of all clocks is
right as long as fewer than half of them have jumped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonring.kernel import Clock

CLOCK_AGE_S = 5.0  # clocks heard longer ago may have jumped since


class TrueClock:
    """Derives the time of day from all instances' clocks."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.told: dict[str, tuple[float, float]] = {}

    def note_peer(self, peer: str, time_s: float) -> None:
        """Take in a peer's wall clock, read a moment ago."""
        steady_s = self.clock.boottime()
        self.told[peer] = (time_s - steady_s, steady_s)

    def now(self) -> float:
        """Return seconds since the epoch."""
        steady_s = self.clock.boottime()
        offsets = [
            offset_s
            for offset_s, heard_s in self.told.values()
            if steady_s - heard_s < CLOCK_AGE_S
        ]
        offsets.append(self.clock.time() - steady_s)
        offsets.sort()
        return steady_s + offsets[len(offsets) // 2]
