"""Requests that are held at an instance until there is room for them.

Answers the load in which patient requests would fill the queues of endpoints, where
urgent ones wait behind them. Nothing of a held request was sent; it is bounded in
number and bytes and ends with its caller.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.kernel import Clock

POLL_S = 0.04  # of the first; some times in the headroom that urgent requests leave
QUEUED_POLL_S = 0.1  # of the others
MAX_HELD = 256  # at this instance
MAX_HELD_BYTES = 16 << 20  # a tenth of the memory of the smallest instances
N_PACE_SAMPLES = 8  # of requests that were held and then sent
PACE_AGE_S = 2.0  # after which the pace of sending is not known


@attrs.define(eq=False)
class HeldRequest:
    """A held request; those with a smaller ``order`` go first."""

    service: str
    order: tuple[int, float]
    n_bytes: int


class Holding:
    """The requests that this instance holds, in the order in which they go on."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.held: dict[str, list[HeldRequest]] = {}
        self.n_held = 0
        self.n_bytes = 0
        self.sent_s: dict[str, deque[float]] = {}

    def has_room(self, n_bytes: int) -> bool:
        """Return whether another request of a size may be held."""
        return self.n_held < MAX_HELD and self.n_bytes + n_bytes <= MAX_HELD_BYTES

    @contextmanager
    def hold(self, request: HeldRequest) -> Iterator[None]:
        """Count a request as held inside the block."""
        queue = self.held.setdefault(request.service, [])
        insort(queue, request, key=_order)
        self.n_held += 1
        self.n_bytes += request.n_bytes
        try:
            yield
        finally:
            queue.remove(request)
            self.n_held -= 1
            self.n_bytes -= request.n_bytes

    def is_first(self, request: HeldRequest) -> bool:
        """Return whether no other held request to the service goes before."""
        return self.held[request.service][0] is request

    def count_ahead(self, service: str, order: tuple[int, float]) -> int:
        """Return the held requests to a service that go before one of an order."""
        return bisect_left(self.held.get(service, []), order, key=_order)

    def record_sent(self, service: str) -> None:
        """Record that a held request was sent."""
        times = self.sent_s.setdefault(service, deque(maxlen=N_PACE_SAMPLES))
        times.append(self.clock.monotonic())

    def expected_wait_s(self, service: str, order: tuple[int, float]) -> float:
        """Return the time until those ahead of a request are sent, 0 if not known."""
        now_s = self.clock.monotonic()
        sent_s = self.sent_s.get(service, ())
        times = [at_s for at_s in sent_s if at_s > now_s - PACE_AGE_S]
        n_ahead = self.count_ahead(service, order)
        if len(times) < N_PACE_SAMPLES or not n_ahead:
            return 0.0
        return n_ahead * (now_s - times[0]) / len(times)


def _order(request: HeldRequest) -> tuple[int, float]:
    return request.order
