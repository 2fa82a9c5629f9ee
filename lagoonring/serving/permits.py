"""Divides the limit that an endpoint names among the instances.

Answers the load of an endpoint in need that takes fewer requests than all instances
together would send it, down to one in some seconds. Time is divided into slots of a
second; the requests that a limit allows in a slot are assigned to instances by hashes
that all compute alike, first to a data centre, then to one of its instances. No message
is needed for a request, a data centre that is cut off keeps exactly its part, and a sum
of parts never exceeds the limit, however many instances there are.
"""

from __future__ import annotations

import math
from functools import lru_cache
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.serving.endpoints import Endpoint

SLOT_S = 1.0
HORIZON_SLOTS = 15  # searched for the next permit; longer than callers wait
N_KEPT_SLOTS = 1  # in which an unused permit stays valid
MAX_CACHED_SLOTS = 4096


@attrs.frozen
class Place:
    """Where an instance is among those that share a limit.

    ``addresses`` holds the instances of its data centre, itself included, in order.
    """

    address: str
    data_centre: str
    data_centres: tuple[str, ...]
    addresses: tuple[str, ...]


def count_allowed(limit_per_s: float, slot: int) -> int:
    """Return the requests that a limit allows in a slot, at all instances together."""
    before = math.floor(limit_per_s * SLOT_S * slot)
    return math.floor(limit_per_s * SLOT_S * (slot + 1)) - before


def first_slot(now_s: float, age_s: float, slot_s: float) -> int:
    """Return the first slot that began after the start of a process.

    The process before it may have used its part of an earlier one.
    """
    return 0 if age_s == math.inf else int((now_s - age_s) // slot_s) + 1


@lru_cache(MAX_CACHED_SLOTS)
def count_own(endpoint: str, limit_per_s: float, slot: int, place: Place) -> int:
    """Return the requests of a slot that are assigned to this instance."""
    n_allowed = count_allowed(limit_per_s, slot)
    n_instances = len(place.data_centres) * len(place.addresses)
    n_each, n_left = divmod(n_allowed, n_instances)
    for number in range(n_left):
        key = f"{endpoint}|{slot}|{number}"
        if _choose(key, place.data_centres) == place.data_centre:
            n_each += _choose(key, place.addresses) == place.address
    return n_each


class Permits:
    """The requests that this instance may send to endpoints that name limits.

    Parameters
    ----------
    place : callable
        Returns the present `Place` of this instance.
    true_time : callable
        Returns seconds since the epoch, alike at all instances.
    age_s : callable
        Returns the seconds since the start of this process.
    """

    def __init__(
        self,
        place: Callable[[], Place],
        true_time: Callable[[], float],
        *,
        age_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.place = place
        self.true_time = true_time
        self.age_s = age_s
        self.taken: dict[tuple[str, int], int] = {}

    def wait_s(self, endpoint: Endpoint, *, not_before_s: float = 0.0) -> float | None:
        """Return the time until a request may be sent, None if none is foreseeable.

        At least ``not_before_s``, which it is for an endpoint without a limit.
        """
        if endpoint.limit.limit_per_s is None:
            return not_before_s
        slot = self._next_slot(endpoint, endpoint.limit.limit_per_s, not_before_s)
        if slot is None:
            return None
        return max(slot * SLOT_S - self.true_time(), not_before_s)

    def take(self, endpoint: Endpoint, *, not_before_s: float = 0.0) -> int | None:
        """Take the next permit; return its slot, None if there is none or no limit."""
        limit_per_s = endpoint.limit.limit_per_s
        if limit_per_s is None:
            return None
        slot = self._next_slot(endpoint, limit_per_s, not_before_s)
        if slot is not None:
            self._forget_old()
            key = (endpoint.name, slot)
            self.taken[key] = self.taken.get(key, 0) + 1
        return slot

    def is_valid(self, endpoint: Endpoint, slot: int) -> bool:
        """Return whether a permit taken before holds now, under the present limit.

        The instance may have been paused since its slot.
        """
        limit_per_s = endpoint.limit.limit_per_s
        if limit_per_s is None:
            return True
        if slot < int(self.true_time() // SLOT_S) - N_KEPT_SLOTS:
            return False
        n_own = count_own(endpoint.name, limit_per_s, slot, self.place())
        return self.taken.get((endpoint.name, slot), 0) <= n_own

    def release(self, endpoint: Endpoint, slot: int) -> None:
        """Return a permit that was not used."""
        key = (endpoint.name, slot)
        if self.taken.get(key, 0) > 0:
            self.taken[key] -= 1

    def _next_slot(
        self, endpoint: Endpoint, limit_per_s: float, not_before_s: float
    ) -> int | None:
        place = self.place()
        present = int((self.true_time() + not_before_s) // SLOT_S)
        oldest = max(
            present - N_KEPT_SLOTS,
            first_slot(self.true_time(), self.age_s(), SLOT_S),
        )
        for slot in range(oldest, present + HORIZON_SLOTS):
            n_own = count_own(endpoint.name, limit_per_s, slot, place)
            if n_own > self.taken.get((endpoint.name, slot), 0):
                return slot
        return None

    def _forget_old(self) -> None:
        oldest = int(self.true_time() // SLOT_S) - HORIZON_SLOTS
        for key in [key for key in self.taken if key[1] < oldest]:
            del self.taken[key]


def _choose(key: str, names: tuple[str, ...]) -> str:
    """Return one of the names by rendezvous hashing."""
    return max(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())
    )
