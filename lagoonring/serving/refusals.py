"""Keeps refusals low at endpoints that fall over when they refuse too many requests.

A brittle endpoint names the number of requests that it can refuse within a second for
want of room. Answers the load in which callers press for more than all endpoints can
take. What the instances know of each other's load is some tenths of a second old, so
that together they may send more than there is room for. Requests are therefore sent at
a rate somewhat below that at which the endpoint ends others, and once it may be full
only at a share of what it can refuse. The rate is divided between the instances like a
limit, without messages, in short slots whose unused parts are kept for a moment.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonring.serving.permits import count_own

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.serving.endpoints import Endpoint, EndpointTable
    from lagoonring.serving.permits import Place

RISKED_SHARE = 0.5  # of the refusals; the rest is for loads that are not known yet
USED_SHARE = 0.6  # of the rate at which requests end, so that hardly any has to queue
REFUSED_S = 1.0  # after a refusal, in which the endpoint is believed to have no room
SLOT_S = 0.1  # several answers of an endpoint
N_KEPT_SLOTS = 2  # in which a part that was not used stays valid
GENERATION_S = 1.0  # typical stream, until times are known
PLAIN_S = 0.06  # typical plain answer, until times are known
MAX_QUEUED_S = 0.5  # that a request waits for room; callers do better elsewhere


def allowed_per_s(endpoint: Endpoint, service_s: float, now_s: float) -> float:
    """Return the rate at which all instances together may send to an endpoint.

    Parameters
    ----------
    service_s : float
        Time that the endpoint takes for a request.
    """
    n_refusable = endpoint.limit.n_refusable
    if n_refusable is None:
        return math.inf
    n_slots = endpoint.record.n_slots
    is_refusing = now_s - endpoint.refused_s < REFUSED_S
    if is_refusing or endpoint.count_running() >= n_slots:
        return RISKED_SHARE * n_refusable
    return USED_SHARE * n_slots / max(service_s, SLOT_S / n_slots)


class RefusalBudget:
    """The requests that this instance may send to brittle endpoints.

    Parameters
    ----------
    table : EndpointTable
        The endpoints, with the times of a typical one of each service.
    place : callable
        Returns the present `Place` of this instance.
    true_time : callable
        Returns seconds since the epoch, alike at all instances.
    """

    def __init__(
        self,
        table: EndpointTable,
        clock: Clock,
        place: Callable[[], Place],
        true_time: Callable[[], float],
    ) -> None:
        self.table = table
        self.clock = clock
        self.place = place
        self.true_time = true_time
        self.taken: dict[tuple[str, int], int] = {}

    def has_room(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        rate_per_s = self._allowed_per_s(endpoint)
        return rate_per_s == math.inf or self._find(endpoint, rate_per_s) is not None

    def take(self, endpoint: Endpoint) -> None:
        """Count a request that is sent to an endpoint."""
        rate_per_s = self._allowed_per_s(endpoint)
        if rate_per_s == math.inf:
            return
        slot = self._find(endpoint, rate_per_s)
        present = self._present()
        for key in [key for key in self.taken if key[1] < present - N_KEPT_SLOTS]:
            del self.taken[key]
        key = (endpoint.name, present if slot is None else slot)
        self.taken[key] = self.taken.get(key, 0) + 1

    def _allowed_per_s(self, endpoint: Endpoint) -> float:
        if endpoint.limit.n_refusable is None:
            return math.inf
        typical = self.table.typical.get(endpoint.record.service)
        is_engine = bool(endpoint.seconds_per_token)
        if typical is not None:
            is_engine = is_engine or bool(typical.token_s)
        default_s = GENERATION_S if is_engine else PLAIN_S
        service_s = (typical and typical.service_s) or endpoint.service_s or default_s
        return allowed_per_s(endpoint, service_s, self.clock.monotonic())

    def _find(self, endpoint: Endpoint, rate_per_s: float) -> int | None:
        """Return the oldest slot that has a part of this instance left."""
        place, present = self.place(), self._present()
        for slot in range(present - N_KEPT_SLOTS, present + 1):
            n_own = count_own(f"{endpoint.name} room", rate_per_s * SLOT_S, slot, place)
            if n_own > self.taken.get((endpoint.name, slot), 0):
                return slot
        return None

    def _present(self) -> int:
        return int(self.true_time() // SLOT_S)
