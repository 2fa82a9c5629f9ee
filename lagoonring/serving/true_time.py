"""Time of day that is robust against jumps of single wall clocks.

Instances exchange their wall clocks. The median of all clocks is correct as long as
fewer than half of them have jumped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.serving.messages import Source

MAX_CLOCK_AGE_S = 5.0  # clocks received earlier may have jumped since


@attrs.frozen
class PeerClock:
    """Offset of ``weight`` peers' wall clocks from this machine's steady clock."""

    offset_s: float
    received_s: float
    weight: int


class TrueClock:
    """Derives the time of day from the clocks of all instances."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.peers: dict[Source, PeerClock] = {}

    def update_peer(self, source: Source, time_s: float, *, weight: int = 1) -> None:
        """Record a wall clock read just now, or the median of ``weight`` clocks."""
        steady_s = self.clock.boottime()
        self.peers[source] = PeerClock(time_s - steady_s, steady_s, weight)

    def now(self) -> float:
        """Return seconds since the epoch."""
        return self._median(list(self.peers.values()))

    def local_now(self) -> float:
        """Return the median time of this data centre's clocks."""
        return self._median(
            [clock for key, clock in self.peers.items() if key.is_local]
        )

    def _median(self, clocks: list[PeerClock]) -> float:
        steady_s = self.clock.boottime()
        offsets = [self.clock.time() - steady_s]
        for peer in clocks:
            if steady_s - peer.received_s < MAX_CLOCK_AGE_S:
                offsets += [peer.offset_s] * peer.weight
        offsets.sort()
        return steady_s + offsets[len(offsets) // 2]
