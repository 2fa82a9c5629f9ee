"""Places and waiting requests of one entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lagoonring.limits.fair_queue import FairQueue, Waiting
from lagoonring.limits.messages import AdmitRequest, OverloadRefusedError
from lagoonring.limits.pace import Pace

if TYPE_CHECKING:
    from collections.abc import Callable

RETRY_AFTER_RANGE_S = (0.5, 30.0)
SERVICE_SHARE_MOST = 0.5
COST_BASE = 16.0
LATE = "a deadline that can't be met"


class EntryQueue:
    """Dispatches an entry's requests to its places, fairly and in time.

    Parameters
    ----------
    entry : str
        Name of the entry.
    capacity : callable
        Returns how many requests may be in progress from here.
    n_waiting_most : int
        Bound of the queue.
    """

    def __init__(
        self, entry: str, capacity: Callable[[], int], n_waiting_most: int
    ) -> None:
        self.entry = entry
        self.capacity = capacity
        self.queue = FairQueue(n_waiting_most)
        self.pace = Pace()
        self.n_running = 0

    async def enter(
        self, request: AdmitRequest, *, weight: float, priority: int, now_s: float
    ) -> None:
        """Return when the request has a place.

        Raises
        ------
        OverloadRefusedError
            At once if the queue is full or the deadline can't be met by the
            present estimate; later, as soon as it can no longer be met.
        """
        if request.deadline_s <= now_s:
            raise self.refusal("a deadline that has passed", now_s)
        if self.capacity() <= 0:
            raise self.refusal("no endpoint that takes work", now_s)
        if self._takes_at_once(now_s):
            return
        waiting = self._make_waiting(request, weight, priority, now_s)
        evicted = self.queue.push(waiting)
        if evicted is not None:
            self._refuse(evicted, "a full queue", now_s)
        if waiting.is_queued and self._is_late(waiting, now_s):
            self.queue.remove(waiting)
            self._refuse(waiting, LATE, now_s)
        future = waiting.answer
        assert isinstance(future, asyncio.Future)
        try:
            await future
        except asyncio.CancelledError:
            self._withdraw(waiting, future)
            raise

    def leave(self, *, cost: float, held_s: float, now_s: float) -> None:
        """Give a place back and dispatch the next request."""
        self.n_running = max(0, self.n_running - 1)
        self.pace.note(cost=cost, held_s=held_s, now_s=now_s)
        self.dispatch(now_s)

    def give_back(self, now_s: float) -> None:
        """Give back a place that was not used."""
        self.n_running = max(0, self.n_running - 1)
        self.dispatch(now_s)

    def dispatch(self, now_s: float) -> None:
        """Give free places to those waiting."""
        while self.queue.n_waiting and self.n_running < self.capacity():
            waiting = self.queue.pop()
            future = waiting.answer
            assert isinstance(future, asyncio.Future)
            if not future.done():
                self._take_place(now_s)
                future.set_result(None)

    def refuse_late(self, now_s: float) -> None:
        """Refuse what can't begin in time behind those before it."""
        n_places = self.capacity()
        cost_ahead = 0.0
        for waiting in list(self.queue.ordered()):
            wait_s = self.pace.wait_s(cost_ahead, n_places, now_s)
            if now_s + wait_s > waiting.latest_start_s:
                self.queue.remove(waiting)
                self._refuse(waiting, LATE, now_s)
                continue
            cost_ahead += waiting.cost

    def _is_late(self, waiting: Waiting, now_s: float) -> bool:
        """Return whether a request can't begin in time behind all before it."""
        cost_ahead = 0.0
        for other in self.queue.ordered():
            if other is waiting:
                break
            cost_ahead += other.cost
        wait_s = self.pace.wait_s(cost_ahead, self.capacity(), now_s)
        return now_s + wait_s > waiting.latest_start_s

    def refusal(self, got: str, now_s: float) -> OverloadRefusedError:
        """Return the error for a request that is refused now."""
        cost = sum(waiting.cost for waiting in self.queue.ordered())
        wait_s = self.pace.wait_s(cost, self.capacity(), now_s)
        low, high = RETRY_AFTER_RANGE_S
        return OverloadRefusedError(
            f"Got {got} for entry {self.entry} with {self.queue.n_waiting} requests "
            "waiting, expected room.",
            remedy="Send the request again after Retry-After; it was not run.",
            retry_after_s=min(high, max(low, wait_s)),
        )

    def _takes_at_once(self, now_s: float) -> bool:
        if self.queue.n_waiting or self.n_running >= self.capacity():
            return False
        self._take_place(now_s)
        return True

    def _take_place(self, now_s: float) -> None:
        self.n_running += 1
        if self.n_running >= self.capacity():
            self.pace.note_full(now_s)

    def _make_waiting(
        self, request: AdmitRequest, weight: float, priority: int, now_s: float
    ) -> Waiting:
        cost = cost_of(request)
        left_s = request.deadline_s - now_s
        service_s = min(SERVICE_SHARE_MOST * left_s, self.pace.service_s(cost))
        return Waiting(
            organisation=request.organisation,
            service_class=request.service_class,
            cost=cost,
            weight=weight,
            priority=priority,
            latest_start_s=request.deadline_s - service_s,
            answer=asyncio.get_running_loop().create_future(),
        )

    def _refuse(self, waiting: Waiting, got: str, now_s: float) -> None:
        future = waiting.answer
        assert isinstance(future, asyncio.Future)
        if not future.done():
            future.set_exception(self.refusal(got, now_s))

    def _withdraw(self, waiting: Waiting, future: asyncio.Future[None]) -> None:
        self.queue.remove(waiting)
        if future.done() and not future.cancelled() and future.exception() is None:
            self.n_running = max(0, self.n_running - 1)


def cost_of(request: AdmitRequest) -> float:
    """Return what a request costs in the fair queue, in tokens."""
    return COST_BASE + request.n_tokens_most
