"""The system clock, and a clock that tests advance manually."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class Cancellable(Protocol):
    """A call that is due later."""

    def cancel(self) -> Any:
        """Drop the call."""


class Clock:
    """The system clock.

    Passed to every component that reads the time or sleeps, so that tests can
    substitute a :class:`ManualClock`.
    """

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return seconds since an arbitrary start, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def time(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Wait for ``delay_s`` seconds."""
        await asyncio.sleep(delay_s)

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Cancellable:
        """Call a function after ``delay_s`` seconds unless that is cancelled."""
        return asyncio.get_running_loop().call_later(delay_s, call)


class ManualClock(Clock):
    """A clock that only changes when :meth:`advance` is called.

    Parameters
    ----------
    start_s : float
        Initial reading, in seconds, of the monotonic and the wall clock.
    """

    def __init__(self, start_s: float = 1_000_000.0) -> None:
        self.now_s = start_s
        self.suspended_s = 0.0
        self.sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self.sequence = itertools.count()

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self.now_s

    def boottime(self) -> float:
        """Return the current reading in seconds, with the time in suspend."""
        return self.now_s + self.suspended_s

    def time(self) -> float:
        """Return the current reading in seconds, with the time in suspend."""
        return self.now_s + self.suspended_s

    def suspend(self, delay_s: float) -> None:
        """Let time pass that the monotonic clock and sleepers don't count."""
        self.suspended_s += delay_s

    async def sleep(self, delay_s: float) -> None:
        """Wait until the clock has been advanced by ``delay_s`` seconds."""
        if delay_s <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        due_s = self.now_s + delay_s
        heapq.heappush(self.sleepers, (due_s, next(self.sequence), future))
        await future

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Cancellable:
        """Call a function once the clock has been advanced by ``delay_s`` seconds."""
        future = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda _: None if future.cancelled() else call())
        due_s = self.now_s + delay_s
        heapq.heappush(self.sleepers, (due_s, next(self.sequence), future))
        return future

    async def advance(self, delay_s: float) -> None:
        """Advance by ``delay_s`` seconds, waking sleepers in order of their time."""
        end_s = self.now_s + delay_s
        await _run_ready_tasks()
        while self.sleepers and self.sleepers[0][0] <= end_s:
            due_s, _, future = heapq.heappop(self.sleepers)
            self.now_s = due_s
            if not future.done():
                future.set_result(None)
            await _run_ready_tasks()
        self.now_s = end_s


async def _run_ready_tasks() -> None:
    """Yield to the event loop repeatedly, so that ready tasks run until they wait."""
    for _ in range(20):
        await asyncio.sleep(0)
