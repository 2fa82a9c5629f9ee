"""How fast an entry's requests are served, to estimate waiting."""

from __future__ import annotations

import attrs

DECAY = 0.97
STALL_FACTOR = 4.0


@attrs.define
class Pace:
    """Seconds of a place per unit of cost, averaged over recent requests."""

    held_s: float = 0.0
    cost: float = 0.0
    n_requests: float = 0.0
    released_s: float = 0.0

    def note(self, *, cost: float, held_s: float, now_s: float) -> None:
        """Take a finished request in."""
        self.held_s = self.held_s * DECAY + held_s
        self.cost = self.cost * DECAY + cost
        self.n_requests = self.n_requests * DECAY + 1.0
        self.released_s = now_s

    def note_full(self, now_s: float) -> None:
        """Note that the last place has just been taken."""
        self.released_s = max(self.released_s, now_s)

    def seconds_per_cost(self) -> float:
        """Return the average, 0 before any request has finished."""
        return self.held_s / self.cost if self.cost > 0 else 0.0

    def service_s(self, cost: float) -> float:
        """Return how long a request of that cost is expected to hold a place."""
        return cost * self.seconds_per_cost()

    def wait_s(self, cost_ahead: float, n_places: int, now_s: float) -> float:
        """Return the wait for a place behind requests of that total cost.

        All places must be taken now. If none has been given back for much
        longer than usual, the estimate grows with that time.
        """
        if self.n_requests == 0:
            return 0.0
        n_places = max(1, n_places)
        interval_s = self.held_s / self.n_requests / n_places
        wait_s = interval_s / 2 + self.service_s(cost_ahead) / n_places
        stalled_s = now_s - self.released_s
        if stalled_s > STALL_FACTOR * interval_s and interval_s > 0:
            wait_s *= stalled_s / (STALL_FACTOR * interval_s)
        return wait_s
