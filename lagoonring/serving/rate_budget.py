"""Divides the rate that an endpoint bears among the instances, without messages.

The rate is divided like a limit, in short slots whose unused parts are kept for a
moment, so that any one second holds little more than the rate: 1.3 times with slots of
a tenth of a second, of which two are kept.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonring.serving.permits import count_own, first_slot

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.permits import Place

SLOT_S = 0.1  # several answers of an endpoint
N_KEPT_SLOTS = 2  # in which a part that was not used stays valid
MAX_SECOND_SHARE = 1 + SLOT_S * (1 + N_KEPT_SLOTS)  # of a rate, in any one second
MAX_PART_AGE_S = SLOT_S * N_KEPT_SLOTS  # until a request that took a part is sent


class RateBudget:
    """The requests that this instance may send to endpoints that bear few.

    Parameters
    ----------
    allowed_per_s : callable
        ``allowed_per_s(endpoint)`` returns the rate at which all instances together
        may send to an endpoint, infinite if it bears any.
    place : callable
        Returns the present `Place` of this instance.
    true_time : callable
        Returns seconds since the epoch, alike at all instances.
    age_s : callable
        Returns the seconds since the start of this process.
    """

    def __init__(
        self,
        allowed_per_s: Callable[[Endpoint], float],
        place: Callable[[], Place],
        true_time: Callable[[], float],
        *,
        age_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.allowed_per_s = allowed_per_s
        self.place = place
        self.true_time = true_time
        self.age_s = age_s
        self.taken: dict[tuple[str, int], int] = {}

    def has_room(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        rate_per_s = self.allowed_per_s(endpoint)
        return rate_per_s == math.inf or self._find(endpoint, rate_per_s) is not None

    def take(self, endpoint: Endpoint) -> bool:
        """Count a request to an endpoint; return whether its rate is bounded."""
        rate_per_s = self.allowed_per_s(endpoint)
        if rate_per_s == math.inf:
            return False
        slot = self._find(endpoint, rate_per_s)
        present = self._present()
        for key in [key for key in self.taken if key[1] < present - N_KEPT_SLOTS]:
            del self.taken[key]
        key = (endpoint.name, present if slot is None else slot)
        self.taken[key] = self.taken.get(key, 0) + 1
        return True

    def _find(self, endpoint: Endpoint, rate_per_s: float) -> int | None:
        """Return the oldest slot that has a part of this instance left."""
        place, present = self.place(), self._present()
        first = first_slot(self.true_time(), self.age_s(), SLOT_S)
        for slot in range(max(present - N_KEPT_SLOTS, first), present + 1):
            n_own = count_own(f"{endpoint.name} room", rate_per_s * SLOT_S, slot, place)
            if n_own > self.taken.get((endpoint.name, slot), 0):
                return slot
        return None

    def _present(self) -> int:
        return int(self.true_time() // SLOT_S)
