"""Server-sent events as bytes: split at blank lines, nothing else parsed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from lagoonring.endpoints.errors import EndpointCutError, EndpointTimeoutError
from lagoonring.endpoints.read_limit import ReadLimit

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

END_EVENT = b"data: [DONE]"
SEPARATOR = b"\n\n"


async def read_batches(
    answer: aiohttp.ClientResponse,
    *,
    first_timeout_s: float,
    next_timeout_s: float,
) -> AsyncGenerator[list[bytes], None]:
    """Yield the events of each read, without their blank lines.

    The event ``data: [DONE]`` is the last of the last batch.

    Raises
    ------
    EndpointCutError
        If the answer ends or breaks before its end event.
    EndpointTimeoutError
        If a read takes longer than its time-out, in seconds.
    """
    rest = b""
    timeout_s = first_timeout_s
    limit = ReadLimit()
    try:
        while True:
            limit.begin(timeout_s)
            chunk = await answer.content.readany()
            limit.end()
            if not chunk:
                raise _cut("the end of the connection")
            *events, rest = (rest + chunk).split(SEPARATOR)
            if END_EVENT in events:
                yield events[: events.index(END_EVENT) + 1]
                return
            if events:
                yield events
                timeout_s = next_timeout_s
    except (aiohttp.ClientError, ConnectionError) as error:
        raise _cut(repr(error)) from error
    except asyncio.CancelledError:
        if limit.absorb():
            raise EndpointTimeoutError(
                f"Got no event within {timeout_s} s, expected one.",
                remedy="The request is resumed at another endpoint.",
            ) from None
        raise
    finally:
        limit.close()


def _cut(got: str) -> EndpointCutError:
    return EndpointCutError(
        f"Got {got}, expected the event {END_EVENT.decode()!r}.",
        remedy="The request is resumed at another endpoint.",
    )
