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
    GET take effect but their answer is lost. ``delay_s`` is added before every
    answer; ``n_delayed`` counts the delayed requests.
    """

    is_out: bool = False
    n_lost_answers: int = attrs.field(default=0, validator=between(0, MANY))
    delay_s: float = attrs.field(default=0.0, validator=between(0, 3600))
    n_delayed: int = 0


def faults_middleware(find_faults: Callable[[], PlatformFaults]) -> Any:
    """Return a middleware that applies the faults returned by ``find_faults``."""

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
        response = await handler(request)
        if request.method != "GET" and consume_fault(faults, "n_lost_answers"):
            if request.transport is not None:
                request.transport.abort()
            await wait_forever()
        return response

    return apply
