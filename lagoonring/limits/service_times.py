"""Average service times of an entry, from which queueing times are estimated."""

from __future__ import annotations

import attrs

DECAY_FACTOR = 0.97
STALL_FACTOR = 4.0


@attrs.define
class ServiceTimes:
    """Exponentially weighted slot time per unit of cost over recent requests."""

    held_s: float = 0.0
    cost: float = 0.0
    n_requests: float = 0.0
    released_s: float = 0.0

    def record(self, *, cost: float, held_s: float, now_s: float) -> None:
        """Record a finished request."""
        self.held_s = self.held_s * DECAY_FACTOR + held_s
        self.cost = self.cost * DECAY_FACTOR + cost
        self.n_requests = self.n_requests * DECAY_FACTOR + 1.0
        self.released_s = now_s

    def record_full(self, now_s: float) -> None:
        """Record that the last free slot has just been taken.

        A stall is timed from here or from the last release, whichever is later,
        so that a burst after an idle period is not taken for a stall.
        """
        self.released_s = max(self.released_s, now_s)

    def seconds_per_cost(self) -> float:
        """Return the average slot time per unit of cost, 0 without any samples."""
        return self.held_s / self.cost if self.cost > 0 else 0.0

    def service_s(self, cost: float) -> float:
        """Return the expected time for which a request of ``cost`` holds a slot."""
        return cost * self.seconds_per_cost()

    def wait_s(self, cost_ahead: float, n_slots: int, now_s: float) -> float:
        """Return the expected wait for a slot behind requests of ``cost_ahead``.

        Assumes that all slots are taken. If no slot has been released for more
        than ``STALL_FACTOR`` times the usual interval, the estimate grows in
        proportion to that time.
        """
        if self.n_requests == 0:
            return 0.0
        n_slots = max(1, n_slots)
        interval_s = self.held_s / self.n_requests / n_slots
        wait_s = interval_s / 2 + self.service_s(cost_ahead) / n_slots
        stalled_s = now_s - self.released_s
        if stalled_s > STALL_FACTOR * interval_s and interval_s > 0:
            wait_s *= stalled_s / (STALL_FACTOR * interval_s)
        return wait_s
