"""Server-sent events as bytes, split at blank lines but otherwise unparsed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from lagoonring.endpoints.errors import EndpointCutError, EndpointTimeoutError
from lagoonring.endpoints.read_timeout import ReadTimeout

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
    """Yield the events of each read as a batch, without their blank lines.

    The last batch ends with the event ``data: [DONE]``.

    Raises
    ------
    EndpointCutError
        If the answer ends or fails before its end event.
    EndpointTimeoutError
        If a read takes longer than its timeout.
    """
    incomplete = b""
    timeout_s = first_timeout_s
    read_timeout = ReadTimeout()
    try:
        while True:
            read_timeout.start_read(timeout_s)
            chunk = await answer.content.readany()
            read_timeout.end_read()
            if not chunk:
                raise _cut_error("the end of the connection")
            *events, incomplete = (incomplete + chunk).split(SEPARATOR)
            if END_EVENT in events:
                yield events[: events.index(END_EVENT) + 1]
                return
            if events:
                yield events
                timeout_s = next_timeout_s
    except (aiohttp.ClientError, ConnectionError) as error:
        raise _cut_error(repr(error)) from error
    except asyncio.CancelledError:
        if read_timeout.consume_cancellation():
            raise EndpointTimeoutError(
                f"Got no event within {timeout_s} s, expected one.",
                remedy="The request is resumed at another endpoint.",
            ) from None
        raise
    finally:
        read_timeout.close()


def _cut_error(got: str) -> EndpointCutError:
    return EndpointCutError(
        f"Got {got}, expected the event {END_EVENT.decode()!r}.",
        remedy="The request is resumed at another endpoint.",
    )
