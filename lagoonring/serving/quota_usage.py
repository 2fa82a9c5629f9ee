"""Usage of organisations in sliding windows, as known to one instance."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable

import attrs

SLOT_S = 0.25  # resolution of the sliding window; two rounds of the exchange


@attrs.define
class WindowSum:
    """Sum over a sliding window; ``slots`` holds lists of start time and amount."""

    window_s: float
    slots: deque[list[float]] = attrs.field(factory=deque)
    total: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount at the current time; a negative one undoes an earlier one."""
        if self.slots and now_s - self.slots[-1][0] < SLOT_S:
            self.slots[-1][1] += amount
        else:
            self.slots.append([now_s, amount])
        self.total += amount

    def read(self, now_s: float) -> float:
        """Return the sum of the window that ends now."""
        oldest_s = now_s - self.window_s - SLOT_S
        while self.slots and self.slots[0][0] < oldest_s:
            self.total -= self.slots.popleft()[1]
        return self.total

    def wait_s(self, excess: float, now_s: float) -> float:
        """Return the seconds until the sum has dropped by ``excess``."""
        for at_s, amount in self.slots:
            excess -= amount
            if excess <= 0:
                return at_s + self.window_s + SLOT_S - now_s
        return self.window_s


@attrs.define
class PeerUsage:
    """Usage reported by one process of a peer: its total, and the window's amounts."""

    life: int
    total: float
    window: WindowSum


@attrs.define
class Usage:
    """Usage of one organisation, as known to this instance.

    ``everywhere`` covers all instances, ``here`` this one, and ``local`` the other
    instances of its data centre. ``recent`` is the usage of all instances
    during the delay of reports. ``carried_over`` is usage that ``everywhere`` already
    contains from a previous source, and that its successor will report again.
    """

    everywhere: WindowSum
    here: WindowSum
    local: WindowSum
    recent: WindowSum
    refilled_s: float
    burst_level: float = 0.0
    pace_level: float = 0.0
    total_here: float = 0.0
    total_local: float = 0.0
    total_everywhere: float = 0.0
    is_initialised: bool = False
    part_level: float = 0.0
    part_refilled_s: float = 0.0
    carried_over: float = 0.0
    carry_over_until_s: float = 0.0
    peers: dict[Hashable, PeerUsage] = attrs.field(factory=dict)

    def consume(self, amount: float) -> None:
        """Take tokens from the burst bucket, and the remainder from the second one."""
        from_burst = min(amount, max(self.burst_level, 0.0))
        self.burst_level -= from_burst
        self.pace_level -= amount - from_burst
