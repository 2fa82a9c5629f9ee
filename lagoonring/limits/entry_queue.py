"""Concurrency slots and queued requests of one entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lagoonring.limits.fair_queue import FairQueue, QueuedRequest
from lagoonring.limits.messages import AdmitRequest, OverloadRefusedError
from lagoonring.limits.service_times import ServiceTimes

if TYPE_CHECKING:
    from collections.abc import Callable

RETRY_AFTER_RANGE_S = (0.5, 30.0)
MAX_SERVICE_SHARE = 0.5
BASE_COST_TOKENS = 16.0
UNREACHABLE_DEADLINE = "a deadline that can't be met"


class EntryQueue:
    """Dispatches an entry's requests to its slots by fair queueing and deadline.

    Parameters
    ----------
    entry : str
        Name of the entry.
    capacity : callable
        Returns the number of requests that this instance may have in progress.
    n_waiting_most : int
        Maximum length of the queue.
    """

    def __init__(
        self, entry: str, capacity: Callable[[], int], n_waiting_most: int
    ) -> None:
        self.entry = entry
        self.capacity = capacity
        self.queue = FairQueue(n_waiting_most)
        self.service_times = ServiceTimes()
        self.n_running = 0

    async def acquire(
        self, request: AdmitRequest, *, weight: float, priority: int, now_s: float
    ) -> None:
        """Wait until the request has a slot.

        Raises
        ------
        OverloadRefusedError
            Immediately if the queue is full or the current estimate exceeds the
            deadline; while queued, as soon as the deadline can no longer be met.
        """
        if request.deadline_s <= now_s:
            raise self.refusal("a deadline that has passed", now_s)
        if self.capacity() <= 0:
            raise self.refusal("no endpoint that takes work", now_s)
        if self._try_acquire(now_s):
            return
        queued = self._make_queued(request, weight, priority, now_s)
        evicted = self.queue.push(queued)
        if evicted is not None:
            self._refuse(evicted, "a full queue", now_s)
        if queued.is_queued and self._misses_deadline(queued, now_s):
            self.queue.remove(queued)
            self._refuse(queued, UNREACHABLE_DEADLINE, now_s)
        future = queued.answer
        assert isinstance(future, asyncio.Future)
        try:
            await future
        except asyncio.CancelledError:
            self._withdraw(queued, future)
            raise

    def release(self, *, cost: float, held_s: float, now_s: float) -> None:
        """Release a slot and dispatch the next request."""
        self.n_running = max(0, self.n_running - 1)
        self.service_times.record(cost=cost, held_s=held_s, now_s=now_s)
        self.dispatch(now_s)

    def dispatch(self, now_s: float) -> None:
        """Assign free slots to queued requests."""
        while self.queue.n_waiting and self.n_running < self.capacity():
            queued = self.queue.pop()
            future = queued.answer
            assert isinstance(future, asyncio.Future)
            if not future.done():
                self._acquire_slot(now_s)
                future.set_result(None)

    def refuse_expired(self, now_s: float) -> None:
        """Refuse queued requests that can't start before their latest start time."""
        n_slots = self.capacity()
        cost_ahead = 0.0
        for queued in list(self.queue.ordered()):
            wait_s = self.service_times.wait_s(cost_ahead, n_slots, now_s)
            if now_s + wait_s > queued.latest_start_s:
                self.queue.remove(queued)
                self._refuse(queued, UNREACHABLE_DEADLINE, now_s)
                continue
            cost_ahead += queued.cost

    def _misses_deadline(self, queued: QueuedRequest, now_s: float) -> bool:
        """Return whether the queue ahead of a request makes it miss its deadline."""
        cost_ahead = 0.0
        for other in self.queue.ordered():
            if other is queued:
                break
            cost_ahead += other.cost
        wait_s = self.service_times.wait_s(cost_ahead, self.capacity(), now_s)
        return now_s + wait_s > queued.latest_start_s

    def refusal(self, got: str, now_s: float) -> OverloadRefusedError:
        """Return the error for a refused request, with the estimated queueing time."""
        cost = sum(queued.cost for queued in self.queue.ordered())
        wait_s = self.service_times.wait_s(cost, self.capacity(), now_s)
        low, high = RETRY_AFTER_RANGE_S
        return OverloadRefusedError(
            f"Got {got} for entry {self.entry} with {self.queue.n_waiting} requests "
            "waiting, expected room.",
            remedy="Send the request again after Retry-After; it was not run.",
            retry_after_s=min(high, max(low, wait_s)),
        )

    def _try_acquire(self, now_s: float) -> bool:
        if self.queue.n_waiting or self.n_running >= self.capacity():
            return False
        self._acquire_slot(now_s)
        return True

    def _acquire_slot(self, now_s: float) -> None:
        self.n_running += 1
        if self.n_running >= self.capacity():
            self.service_times.record_full(now_s)

    def _make_queued(
        self, request: AdmitRequest, weight: float, priority: int, now_s: float
    ) -> QueuedRequest:
        cost = cost_of(request)
        left_s = request.deadline_s - now_s
        service_s = min(MAX_SERVICE_SHARE * left_s, self.service_times.service_s(cost))
        return QueuedRequest(
            organisation=request.organisation,
            service_class=request.service_class,
            cost=cost,
            weight=weight,
            priority=priority,
            latest_start_s=request.deadline_s - service_s,
            answer=asyncio.get_running_loop().create_future(),
        )

    def _refuse(self, queued: QueuedRequest, got: str, now_s: float) -> None:
        future = queued.answer
        assert isinstance(future, asyncio.Future)
        if not future.done():
            future.set_exception(self.refusal(got, now_s))

    def _withdraw(self, queued: QueuedRequest, future: asyncio.Future[None]) -> None:
        self.queue.remove(queued)
        if future.done() and not future.cancelled() and future.exception() is None:
            self.n_running = max(0, self.n_running - 1)


def cost_of(request: AdmitRequest) -> float:
    """Return the cost of a request in the fair queue, in tokens."""
    return BASE_COST_TOKENS + request.n_tokens_most
