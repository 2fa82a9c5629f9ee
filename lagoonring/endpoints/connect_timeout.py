"""Limits how long connecting takes, whatever this process does meanwhile."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

GRACE_S = 0.05  # for the event loop to handle what came during a stall


@asynccontextmanager
async def connect_timeout(limit_s: float | None) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` if the block has not ended after ``limit_s`` seconds.

    An event loop that was stalled beyond the limit runs timers before the tasks whose
    connections were established meanwhile. These get a moment to go on.
    """
    if limit_s is None:
        yield
        return
    loop = asyncio.get_running_loop()
    grace_s = min(GRACE_S, limit_s / 2)
    async with asyncio.timeout(None) as scope:
        timer = loop.call_later(
            limit_s - grace_s, lambda: scope.reschedule(loop.time() + grace_s)
        )
        try:
            yield
        finally:
            timer.cancel()
