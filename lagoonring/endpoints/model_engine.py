"""Client of model engines' chat completions, streamed or not.

The interface is specified in ``docs/design/parts.md``. All functions take a
session, which the caller owns, and the engine's root URL without a trailing slash.
They raise the errors of :mod:`lagoonring.endpoints.errors`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec

from lagoonring.decoding import decode_json
from lagoonring.endpoints.engine_control import (
    cancel,
    export_kv,
    follow_cache_events,
    import_kv,
    read_cache_events,
    read_load,
    read_state,
    send_order,
)
from lagoonring.endpoints.errors import EndpointCrossedError, EndpointFailedError
from lagoonring.endpoints.events import read_batches
from lagoonring.endpoints.transport import (
    CONNECT_TIMEOUT_S,
    check_echo,
    raise_unless_ok,
    read_body,
    send,
    typed_errors,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    import aiohttp

__all__ = [
    "cancel",
    "export_kv",
    "fetch_answer",
    "follow_cache_events",
    "import_kv",
    "open_stream",
    "read_cache_events",
    "read_load",
    "read_state",
    "send_order",
]

CHAT_PATH = "/v1/chat/completions"


@attrs.frozen
class AnswerId:
    """The field of an answer that identifies its request."""

    id: str


async def open_stream(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
    *,
    request_id: str,
    attempt_id: str,
    version: str = "",
    priority: int = 0,
    deadline_ms: int | None = None,
    first_timeout_s: float,
    next_timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> AsyncGenerator[list[bytes], None]:
    """Yield the events of a streamed answer, one batch per read.

    Events have no blank lines and are not parsed; the last one is ``data: [DONE]``.
    An answer that ends without it raises ``EndpointCutError``, one that echoes other
    ids ``EndpointCrossedError``. Close the generator (``contextlib.aclosing``) to end
    the stream early: this closes the connection, and the engine stops.

    Parameters
    ----------
    body : bytes
        JSON of the chat completion, with ``"stream": true``.
    version : str
        Version that runs the request; if empty, the engine chooses one.
    first_timeout_s, next_timeout_s : float
        Maximum wait for the first event and for each later one.
    """
    headers = _headers(request_id, attempt_id, version, priority, deadline_ms)
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + first_timeout_s
    with typed_errors(url):
        async with asyncio.timeout_at(deadline_s):
            response = await send(
                session,
                "POST",
                url + CHAT_PATH,
                body=body,
                headers=headers,
                timeout_s=None,
                connect_timeout_s=connect_timeout_s,
            )
    async with response:
        check_echo(headers, response)
        with typed_errors(url):
            async with asyncio.timeout_at(deadline_s):
                await raise_unless_ok(response)
        async for events in read_batches(
            response,
            first_timeout_s=deadline_s - loop.time(),
            next_timeout_s=next_timeout_s,
        ):
            yield events


async def fetch_answer(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
    *,
    request_id: str,
    attempt_id: str,
    version: str = "",
    priority: int = 0,
    deadline_ms: int | None = None,
    timeout_s: float,
) -> bytes:
    """Return the JSON of an answer that is not streamed."""
    headers = _headers(request_id, attempt_id, version, priority, deadline_ms)
    response = await send(
        session,
        "POST",
        url + CHAT_PATH,
        body=body,
        headers=headers,
        timeout_s=timeout_s,
    )
    async with response:
        check_echo(headers, response)
        await raise_unless_ok(response)
        answer = await read_body(response)
    _check_answer_id(answer, request_id, url)
    return answer


def _headers(
    request_id: str,
    attempt_id: str,
    version: str,
    priority: int,
    deadline_ms: int | None,
) -> dict[str, str]:
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": request_id,
        "X-Attempt-Id": attempt_id,
        "X-Priority": str(priority),
    }
    if version:
        headers["X-Version"] = version
    if deadline_ms is not None:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    return headers


def _check_answer_id(answer: bytes, request_id: str, url: str) -> None:
    try:
        got = decode_json(answer, AnswerId).id
    except msgspec.MsgspecError as error:
        raise EndpointFailedError(
            f"Got a faulty answer of {url}: {error}.", remedy="Use another endpoint."
        ) from error
    if got != f"chatcmpl-{request_id}":
        raise EndpointCrossedError(
            f"Got answer {got!r} of {url}, expected 'chatcmpl-{request_id}'.",
            remedy="Drop the answer and repeat the request.",
        )
