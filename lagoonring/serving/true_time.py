"""Time of day that is robust against jumps of single wall clocks.

Each instance ignores jumps of its own wall clock, which show against the steady clock
of the host. Instances exchange the clocks so corrected; their median is correct as
long as fewer than half of the processes started while their clock was wrong.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.serving.messages import Source

MAX_CLOCK_AGE_S = 5.0  # clocks received earlier may have jumped since
MAX_SLEW_S = 0.1  # a larger difference between two readings is a jump


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
        self.offset_s = clock.time() - clock.boottime()

    def own_now(self) -> float:
        """Return seconds since the epoch by this instance's clock without its jumps."""
        steady_s = self.clock.boottime()
        offset_s = self.clock.time() - steady_s
        if abs(offset_s - self.offset_s) <= MAX_SLEW_S:
            self.offset_s = offset_s
        else:
            self._accept_if_nearer(offset_s, steady_s)
        return steady_s + self.offset_s

    def _accept_if_nearer(self, offset_s: float, steady_s: float) -> None:
        """Accept a jump that brings this clock nearer to those of the peers.

        A process that started while the clock was wrong sees it jump back.
        """
        offsets = self._fresh_offsets(list(self.peers.values()), steady_s)
        if not offsets:
            return
        median_s = sorted(offsets)[len(offsets) // 2]
        if abs(offset_s - median_s) < abs(self.offset_s - median_s):
            self.offset_s = offset_s

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
        offsets = [self.own_now() - steady_s, *self._fresh_offsets(clocks, steady_s)]
        offsets.sort()
        return steady_s + offsets[len(offsets) // 2]

    def _fresh_offsets(self, clocks: list[PeerClock], steady_s: float) -> list[float]:
        return [
            clock.offset_s
            for clock in clocks
            if steady_s - clock.received_s < MAX_CLOCK_AGE_S
            for _ in range(clock.weight)
        ]
