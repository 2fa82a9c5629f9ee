"""Test doubles for the log and virtual time, and application set-up."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, TypeVar

from lagoonring.kernel import Application, Clock
from lagoonring.platform.log import LogUnavailableError

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from lagoonring.platform.log import Page
    from lagoonring.standins.log_standin import LogStandin

T = TypeVar("T")


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances to the next timer instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000_000.0
        self.select = self._selector.select
        self._selector.select = self.advance_to_next_timer

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s

    def advance_to_next_timer(self, timeout: float | None) -> list[Any]:
        """Advance by the time until the next timer if nothing is ready."""
        events = self.select(0)
        if timeout is None and not events:
            raise RuntimeError("got no timer and no ready task, expected one")
        if timeout and not events:
            self.now_s += timeout
        return events


class VirtualClock(Clock):
    """Clock that shows the time of the running :class:`VirtualLoop`."""

    def monotonic(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def boottime(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def time(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(1))
        loop.close()


class InstanceLog:
    """Client of the log for one instance, with fault injection.

    ``is_cut_off`` makes all requests fail; ``append_gate`` and ``read_gate`` hold
    requests before they reach the log, ``answer_gate`` holds the answers.
    """

    def __init__(self, log: LogStandin) -> None:
        self.log = log
        self.is_cut_off = False
        self.append_gate = _open_gate()
        self.answer_gate = _open_gate()
        self.read_gate = _open_gate()

    async def append(self, stream: str, data: str) -> int:
        """Append to the log, waiting at the gates."""
        await self.append_gate.wait()
        self._check()
        offset = await self.log.append(stream, data)
        await self.answer_gate.wait()
        return offset

    async def read(
        self, stream: str, from_offset: int, *, limit: int = 500, wait_s: float = 0.0
    ) -> Page:
        """Read from the log, waiting at the gate."""
        await self.read_gate.wait()
        self._check()
        page = await self.log.read(stream, from_offset, limit=limit, wait_s=wait_s)
        await self.read_gate.wait()
        self._check()
        return page

    def _check(self) -> None:
        if self.is_cut_off:
            raise LogUnavailableError("Got no connection, expected the log.")


def make_application(
    *services: Any, seed: int = 0, clock: Clock | None = None
) -> Application:
    """Return an application with the given services and a seeded random source."""
    app = Application(clock=clock, rng=random.Random(seed))
    for service in services:
        app.add(service)
    return app


def _open_gate() -> asyncio.Event:
    gate = asyncio.Event()
    gate.set()
    return gate
