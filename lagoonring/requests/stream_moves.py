"""Moves streams away from endpoints that are about to stop.

If the context is long and the notice leaves enough time, the KV cache is
transferred too; otherwise the stream resumes from its text, and the next endpoint
recomputes the cache.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from lagoonring.endpoints import export_kv, import_kv
from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.requests.producer import make_route_request

if TYPE_CHECKING:
    from lagoonring.requests.parts import RequestParts
    from lagoonring.requests.streams import Stream

MAX_KV_SHARE_OF_NOTICE = 0.5

logger = make_logger("moving")


async def move_stream(parts: RequestParts, stream: Stream, seconds_left: float) -> None:
    """Cancel a stream's attempt so that the stream resumes at another endpoint.

    Nothing is done between two attempts: the next one is routed elsewhere anyway.
    """
    if stream.is_moving or not stream.is_reading or stream.task is None:
        return
    task = stream.task
    stream.is_moving = True
    stream.move_ready.clear()
    try:
        if _should_transfer_kv(parts, stream, seconds_left):
            async with asyncio.timeout(seconds_left * MAX_KV_SHARE_OF_NOTICE):
                await _transfer_kv(parts, stream)
    except (TimeoutError, OSError, LagoonringError, aiohttp.ClientError) as error:
        stream.kv = None
        stream.next_endpoint = ""
        logger.info(
            "KV cache transfer failed, the next endpoint recomputes it: {!r}.",
            type(error).__name__,
            extra={"request_id": stream.request.request_id},
        )
    finally:
        stream.move_ready.set()
        task.cancel()


def _should_transfer_kv(
    parts: RequestParts, stream: Stream, seconds_left: float
) -> bool:
    n_context = stream.request.n_prompt_tokens + stream.journal.n_tokens
    options = parts.options
    return n_context >= options.kv_tokens_least and seconds_left >= options.kv_notice_s


async def _transfer_kv(parts: RequestParts, stream: Stream) -> None:
    """Transfer the KV cache to the endpoint at which the stream resumes."""
    endpoints = parts.catalogue.content.endpoints
    source_url = endpoints[stream.endpoint].url
    request = make_route_request(parts, stream)
    route = parts.routing.choose(request, exclude=frozenset({stream.endpoint}))
    exported = await export_kv(parts.session, source_url, stream.attempt_id)
    handle = await import_kv(parts.session, route.url, source_url, exported.handle)
    stream.kv = handle
    stream.next_endpoint = route.endpoint
    stream.decisions.append(f"KV cache moved to {route.endpoint}")
    parts.metrics.kv_moved.inc()
