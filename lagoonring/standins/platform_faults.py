"""Faults common to the stand-ins for the platform's services."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web

from lagoonring.settings.validators import between
from lagoonring.standins.fault_counts import consume_fault
from lagoonring.standins.http_server import answer_error, wait_forever
from lagoonring.standins.http_standin import FAULTS_PATH

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MANY = 1_000_000_000


@attrs.define(kw_only=True)
class PlatformFaults:
    """Faults in force.

    ``is_out`` answers all requests with 503. ``n_lost_answers`` requests other than
    GET take effect but their answer is lost. ``n_late_writes`` writes to a topic are
    not answered and executed ``late_s`` later, if their condition holds then;
    ``late_topic`` limits them to one topic, ``late_text`` to those that contain it, and
    ``n_executed_late`` counts those that were executed or refused since. ``delay_s`` is
    added before every answer; ``n_delayed`` counts the delayed requests.
    """

    is_out: bool = False
    n_lost_answers: int = attrs.field(default=0, validator=between(0, MANY))
    n_late_writes: int = attrs.field(default=0, validator=between(0, MANY))
    late_s: float = attrs.field(default=3.0, validator=between(0, 3600))
    late_topic: str = ""
    late_text: str = ""
    n_executed_late: int = 0
    delay_s: float = attrs.field(default=0.0, validator=between(0, 3600))
    n_delayed: int = 0

    async def is_late(self, request: web.Request) -> bool:
        """Return whether a request is a write to execute later, and count it."""
        topic = request.query.get("topic")
        if request.method == "GET" or topic is None or not self.n_late_writes:
            return False
        is_other_text = self.late_text.encode() not in await request.read()
        if self.late_topic not in ("", topic) or is_other_text:
            return False
        return consume_fault(self, "n_late_writes")


def faults_middleware(find_faults: Callable[[], PlatformFaults]) -> Any:
    """Return a middleware that applies the faults returned by ``find_faults``."""
    late_writes: set[asyncio.Task[None]] = set()

    async def execute_later(
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
        faults: PlatformFaults,
    ) -> None:
        await asyncio.sleep(faults.late_s)
        await handler(request)
        faults.n_executed_late += 1

    @web.middleware
    async def apply(
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        if request.path == FAULTS_PATH:
            return await handler(request)
        faults = find_faults()
        if faults.delay_s > 0:
            faults.n_delayed += 1
            await asyncio.sleep(faults.delay_s)
        if faults.is_out:
            answer = answer_error("unavailable", "Got an outage.", status=503)
            answer.headers["Retry-After"] = "1"
            return answer
        if await faults.is_late(request):
            write = execute_later(request, handler, faults)
            task = asyncio.create_task(write)
            late_writes.add(task)
            task.add_done_callback(late_writes.discard)
            return await _lose_answer(request)
        response = await handler(request)
        if request.method != "GET" and consume_fault(faults, "n_lost_answers"):
            return await _lose_answer(request)
        return response

    return apply


async def _lose_answer(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    await wait_forever()
    return web.Response()
