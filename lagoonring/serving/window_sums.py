"""Sums over a sliding window of time."""

from __future__ import annotations

from collections import deque

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
