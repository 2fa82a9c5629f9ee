"""Client of plain services, for any method and path.

The body of an answer is streamed or read completely.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import attrs

from lagoonring.endpoints.errors import EndpointFailedError, EndpointRefusedError
from lagoonring.endpoints.transport import (
    CONNECT_TIMEOUT_S,
    check_echo,
    read_chunks,
    send,
    watch_close,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

NOT_RUN_HEADER = "X-Not-Run"
ANSWER_LIMIT_BYTES = 4 << 20
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-encoding",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen
class OpenAnswer:
    """An answer whose body has not been read yet.

    ``status`` is the service's own status, including errors; ``closed`` is that of
    `watch_close`.
    """

    status: int
    headers: Mapping[str, str]
    response: aiohttp.ClientResponse
    closed: asyncio.Future[None] | None

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives.

        Raises ``EndpointCutError`` if the body is incomplete.
        """
        return read_chunks(self.response, self.closed)


@attrs.frozen
class CompleteAnswer:
    """An answer with its body; ``headers`` are the end-to-end headers."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@asynccontextmanager
async def open_call(
    session: aiohttp.ClientSession,
    url: str,
    method: str,
    path: str,
    body: bytes | None,
    *,
    headers: Mapping[str, str],
    request_id: str,
    attempt_id: str,
    timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> AsyncIterator[OpenAnswer]:
    """Call a plain service and yield its answer, which is closed with the block.

    Parameters
    ----------
    url, path : str
        Root URL without a trailing slash, and path with leading slash and query.
    headers : mapping of str to str
        The caller's headers; hop-by-hop headers are removed.
    timeout_s : float
        Time limit of the call, including the body.

    Raises
    ------
    EndpointRefusedError
        If the call certainly was not run: no connection was established, or the
        service answered 503 with ``X-Not-Run: 1`` and echoed both ids.
    EndpointTimeoutError, EndpointCutError, EndpointCrossedError
        If the call may have been run.
    """
    ids = {"X-Request-Id": request_id, "X-Attempt-Id": attempt_id}
    response = await send(
        session,
        method,
        url + path,
        body=body,
        headers={**_end_to_end_headers(headers, excluded=ids), **ids},
        timeout_s=timeout_s,
        connect_timeout_s=connect_timeout_s,
    )
    async with response:
        is_refusal = (
            response.status == 503 and response.headers.get(NOT_RUN_HEADER) == "1"
        )
        check_echo(ids, response, is_strict=is_refusal)
        if is_refusal:
            raise EndpointRefusedError(
                f"Got a refusal of {url}, expected an answer.",
                remedy="Use another endpoint; the request was not run.",
            )
        yield OpenAnswer(
            response.status,
            _end_to_end_headers(response.headers),
            response,
            watch_close(response),
        )


async def call(
    session: aiohttp.ClientSession,
    url: str,
    method: str,
    path: str,
    body: bytes | None,
    *,
    headers: Mapping[str, str],
    request_id: str,
    attempt_id: str,
    timeout_s: float,
    limit_bytes: int = ANSWER_LIMIT_BYTES,
) -> CompleteAnswer:
    """Call a plain service and return the complete answer; see :func:`open_call`.

    Raises
    ------
    EndpointFailedError
        If the body exceeds ``limit_bytes``; the call has been run. The errors of
        :func:`open_call` are raised as well.
    """
    async with open_call(
        session,
        url,
        method,
        path,
        body,
        headers=headers,
        request_id=request_id,
        attempt_id=attempt_id,
        timeout_s=timeout_s,
    ) as answer:
        content = bytearray()
        async for chunk in answer.chunks():
            content += chunk
            if len(content) > limit_bytes:
                raise EndpointFailedError(
                    f"Got an answer of {url} over {limit_bytes} bytes.",
                    remedy="Raise the limit of answers, or make them smaller.",
                )
        return CompleteAnswer(answer.status, answer.headers, bytes(content))


def _end_to_end_headers(
    headers: Mapping[str, str], *, excluded: Mapping[str, str] | None = None
) -> dict[str, str]:
    """Return the headers without hop-by-hop and ``excluded`` ones."""
    dropped = HOP_BY_HOP_HEADERS | {name.lower() for name in excluded or ()}
    return {
        name: value for name, value in headers.items() if name.lower() not in dropped
    }
