"""Batch slots of the engine stand-in, with a priority queue."""

from __future__ import annotations

import asyncio
import heapq
import itertools


class Slots:
    """Slots in the running batch; requests of higher priority get a slot first.

    Parameters
    ----------
    n_slots : int
        Number of requests that can run at a time.
    """

    def __init__(self, n_slots: int) -> None:
        self.n_slots = n_slots
        self.n_running = 0
        self.waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.sequence = itertools.count()

    @property
    def n_waiting(self) -> int:
        """Number of requests in the queue."""
        return sum(not future.done() for _, _, future in self.waiting)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot."""
        if self.n_running < self.n_slots:
            self.n_running += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (-priority, next(self.sequence), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Pass the slot to the first request in the queue, or free it."""
        while self.waiting:
            _, _, future = heapq.heappop(self.waiting)
            if not future.done():
                future.set_result(None)
                return
        self.n_running -= 1
