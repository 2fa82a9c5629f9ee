"""When this instance may send a request to an endpoint, by what it said of itself."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonring.serving.rate_budget import MAX_PART_AGE_S, SLOT_S, RateBudget
from lagoonring.serving.refusals import allowed_per_s, typical_service_s
from lagoonring.serving.warming import cold_allowed_per_s, is_cold

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.serving.endpoints import Endpoint, EndpointTable
    from lagoonring.serving.permits import Permits

TRIAL_S = 0.15  # after a pause, until the next request; most refusals take less


class Permissions:
    """Combines limits, pauses, trials after them, brittleness and warm-up.

    Parameters
    ----------
    table : EndpointTable
        The known endpoints, and the data centres that get nothing.
    permits : Permits
        Tells when requests may be sent to endpoints that name limits.
    """

    def __init__(self, table: EndpointTable, clock: Clock, permits: Permits) -> None:
        self.table = table
        self.clock = clock
        self.permits = permits
        self.rates = RateBudget(
            self._allowed_per_s, permits.place, permits.true_time, age_s=permits.age_s
        )

    def may_use(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint takes new work at all."""
        is_evacuated = endpoint.record.data_centre in self.table.evacuated
        return endpoint.takes_new_work() and not is_evacuated

    def wait_s(self, endpoint: Endpoint) -> float | None:
        """Return the time until this instance may send an endpoint a request.

        It follows from what the endpoint said of itself: from a pause that it asked
        for, a limit, and whether it is cold. None if no such time is foreseeable.
        """
        wait_s = self.permits.wait_s(
            endpoint, not_before_s=self._pause_left_s(endpoint)
        )
        if wait_s == 0 and not self.rates.has_room(endpoint):
            return SLOT_S
        return wait_s

    def take_permit(self, endpoint: Endpoint) -> int | None:
        """Take the permit that `wait_s` speaks of; return its slot if it has one."""
        return self.permits.take(endpoint, not_before_s=self._pause_left_s(endpoint))

    def begin(self, endpoint: Endpoint, *, has_permit: bool) -> float:
        """Count a request that is about to be sent to an endpoint.

        Returns
        -------
        float
            When it may no longer be sent, on the clock that counts suspension.
        """
        if not has_permit:
            self.permits.take(endpoint)
        if endpoint.is_on_trial:
            endpoint.trial_until_s = self.clock.monotonic() + TRIAL_S
        if self.rates.take(endpoint) and is_cold(endpoint, self.clock.monotonic()):
            return self.clock.boottime() + MAX_PART_AGE_S
        return math.inf

    def make_check(
        self, endpoint: Endpoint, *, expires_s: float = math.inf
    ) -> Callable[[], bool]:
        """Return a function that tells whether a request may still be sent.

        A connection may take seconds, and the instance may be paused meanwhile.
        """

        def is_wanted() -> bool:
            return (
                endpoint.paused_until_s <= self.clock.monotonic()
                and endpoint.record.data_centre not in self.table.evacuated
                and self.clock.boottime() <= expires_s
            )

        return is_wanted

    def is_permitted(self, endpoint: Endpoint, slot: int) -> bool:
        """Return whether a permit that was waited for may be used now."""
        is_paused = endpoint.paused_until_s > self.clock.monotonic()
        return not is_paused and self.permits.is_valid(endpoint, slot)

    def _allowed_per_s(self, endpoint: Endpoint) -> float:
        """Return the rate at which all instances together may send to an endpoint."""
        now_s = self.clock.monotonic()
        cold_per_s = cold_allowed_per_s(self.table, endpoint, now_s)
        if endpoint.limit.n_refusable is None:
            return cold_per_s
        service_s = typical_service_s(self.table, endpoint)
        return min(cold_per_s, allowed_per_s(endpoint, service_s, now_s))

    def _pause_left_s(self, endpoint: Endpoint) -> float:
        """Return how long the endpoint wants no request, or no further one."""
        until_s = endpoint.paused_until_s
        if endpoint.is_on_trial:
            until_s = max(until_s, endpoint.trial_until_s)
        return max(until_s - self.clock.monotonic(), 0.0)
