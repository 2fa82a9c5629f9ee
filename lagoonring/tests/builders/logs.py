"""Logs with faults, and applications around them, for tests."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from lagoonring.kernel import Application
from lagoonring.platform.log import LogUnavailableError

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.platform.log import Page
    from lagoonring.standins.log_standin import LogStandin


class InstanceLog:
    """The log as one instance reaches it.

    ``is_cut_off`` refuses everything; ``append_gate`` and ``read_gate`` hold
    requests before they reach the log, ``answer_gate`` holds the answers.
    """

    def __init__(self, log: LogStandin) -> None:
        self.log = log
        self.is_cut_off = False
        self.append_gate = _open_gate()
        self.answer_gate = _open_gate()
        self.read_gate = _open_gate()

    async def append(self, stream: str, data: str) -> int:
        """Append through the gates."""
        await self.append_gate.wait()
        self._check()
        offset = await self.log.append(stream, data)
        await self.answer_gate.wait()
        return offset

    async def read(
        self, stream: str, from_offset: int, *, limit: int = 500, wait_s: float = 0.0
    ) -> Page:
        """Read through the gates."""
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
    """Return an application with services and a seeded random source."""
    app = Application(clock=clock, rng=random.Random(seed))
    for service in services:
        app.add(service)
    return app


def _open_gate() -> asyncio.Event:
    gate = asyncio.Event()
    gate.set()
    return gate
