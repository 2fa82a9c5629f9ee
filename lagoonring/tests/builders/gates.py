"""Suspends an instance at a chosen call to the clock, the log or another system."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lagoonring.kernel import Clock, ManualClock

if TYPE_CHECKING:
    from lagoonring.platform.log import Page
    from lagoonring.standins.log_standin import LogStandin


@attrs.define
class Gate:
    """Suspends an instance at its n-th external call, as a process pause would.

    From call number ``stop_at``, or from the first append to the stream
    ``stop_before``, every call waits until :meth:`open`.
    """

    n_passed: int = 0
    stop_at: int | None = None
    stop_before: str = ""
    stopped: bool = False
    opened: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def wait(self) -> None:
        """Count one call, and wait if the gate is closed."""
        self.n_passed += 1
        if self.n_passed == self.stop_at:
            self.stopped = True
        if self.stopped:
            await self.opened.wait()

    def open(self) -> None:
        """Resume the instance."""
        self.stopped = False
        self.stop_at = None
        self.stop_before = ""
        self.opened.set()


class GatedClock(Clock):
    """A shared manual clock whose ``sleep`` passes through a gate."""

    def __init__(self, clock: ManualClock, gate: Gate) -> None:
        self.clock = clock
        self.gate = gate

    def monotonic(self) -> float:
        """Return the shared clock's reading."""
        return self.clock.monotonic()

    def boottime(self) -> float:
        """Return the shared clock's reading."""
        return self.clock.boottime()

    def time(self) -> float:
        """Return the shared clock's reading."""
        return self.clock.time()

    async def sleep(self, delay_s: float) -> None:
        """Sleep on the shared clock, then wait at the gate."""
        await self.clock.sleep(delay_s)
        await self.gate.wait()


class GatedLog:
    """A log that waits at a gate before and after each request."""

    name = "log"

    def __init__(self, log: LogStandin, gate: Gate) -> None:
        self.log = log
        self.gate = gate

    async def append(self, stream: str, data: str) -> int:
        """Append, waiting at the gate before and after."""
        if stream == self.gate.stop_before:
            self.gate.stopped = True
        await self.gate.wait()
        offset = await self.log.append(stream, data)
        await self.gate.wait()
        return offset

    async def read(
        self, stream: str, from_offset: int, *, limit: int = 500, wait_s: float = 0.0
    ) -> Page:
        """Read, waiting at the gate before and after."""
        await self.gate.wait()
        page = await self.log.read(stream, from_offset, limit=limit, wait_s=wait_s)
        await self.gate.wait()
        return page

    async def start(self) -> None:
        """Do nothing."""

    async def retire(self) -> None:
        """Do nothing."""

    async def drain(self, grace_s: float) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""
