"""Slots of the engine stand-in with a queue by priority."""

from __future__ import annotations

import asyncio
import heapq
import itertools


class Slots:
    """Places in the running batch; the highest priority waits least.

    Parameters
    ----------
    n_slots : int
        Places.
    """

    def __init__(self, n_slots: int) -> None:
        self.n_slots = n_slots
        self.n_running = 0
        self.waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.sequence = itertools.count()

    @property
    def n_waiting(self) -> int:
        """Requests in the queue."""
        return sum(not future.done() for _, _, future in self.waiting)

    async def acquire(self, priority: int) -> None:
        """Wait for a place."""
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
        """Give a place back, to the first in the queue if there is one."""
        while self.waiting:
            _, _, future = heapq.heappop(self.waiting)
            if not future.done():
                future.set_result(None)
                return
        self.n_running -= 1
