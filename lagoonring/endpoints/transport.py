"""HTTP exchanges with endpoints; errors state whether the request may have run."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import aiohttp

from lagoonring.endpoints.connections import NotWantedError, begin_exchange
from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointCrossedError,
    EndpointCutError,
    EndpointError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointRejectedError,
    EndpointTimeoutError,
    RequestWithdrawnError,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncGenerator, Callable, Iterator, Mapping

    from yarl import URL

ECHOED_HEADERS = ("X-Request-Id", "X-Attempt-Id")
CONNECT_TIMEOUT_S = 1.0
MAX_SHOWN_BYTES = 200
BODILESS_STATUSES = frozenset({204, 304})
MAX_CONTROL_BYTES = 8 << 20  # a page of the store has 1 MiB of records at most


@contextmanager
def typed_errors(url: str) -> Iterator[None]:
    """Convert errors of an exchange with ``url`` to those of this package.

    Only the exchange may run inside the block; otherwise errors of other connections
    would be attributed to the endpoint.
    """
    try:
        yield
    except EndpointError:
        raise
    except NotWantedError as error:
        raise RequestWithdrawnError(
            f"Got a connection to {url} that is not needed, expected it earlier.",
            remedy="Use another endpoint; nothing was sent.",
        ) from error
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise EndpointConnectError(
            f"Got no connection to {url} ({error!r}), expected one.",
            remedy="Use another endpoint; the request was not run.",
        ) from error
    except TimeoutError as error:
        raise EndpointTimeoutError(
            f"Got no answer of {url} in time, expected one.",
            remedy="Repeat the request only if it is idempotent.",
        ) from error
    except (aiohttp.ClientError, ConnectionError) as error:
        raise EndpointCutError(
            f"Got the connection to {url} cut ({error!r}), expected a whole answer.",
            remedy="Repeat the request only if it is idempotent.",
        ) from error


async def send(
    session: aiohttp.ClientSession,
    method: str,
    url: str | URL,
    *,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float | None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    is_wanted: Callable[[], bool] | None = None,
    check: Callable[[aiohttp.ClientResponse], None] | None = None,
) -> aiohttp.ClientResponse:
    """Send a request and return the response, which the caller must close.

    ``timeout_s`` limits the exchange, including the reading of the body. A session
    with a `CheckedConnector` asks ``is_wanted`` before it sends. ``check`` raises an
    ``EndpointError`` if the response belongs to another request; the connection is
    closed then, since the right response may follow on it.

    Raises
    ------
    EndpointRefusedError
        If no connection was established; the request was not run.
    RequestWithdrawnError
        If ``is_wanted`` returned false; nothing was sent.
    EndpointTimeoutError, EndpointCutError
        If no answer arrived; the request may have been run.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=connect_timeout_s)
    with typed_errors(str(url)), begin_exchange(is_wanted) as exchange:
        response = await session.request(
            method,
            url,
            data=body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
            middlewares=(_make_send_once(),),
        )
    if check is not None:
        try:
            check(response)
        except EndpointError:
            response.close()
            exchange.drop_connection()
            raise
    return response


def _make_send_once() -> aiohttp.ClientMiddlewareType:
    """Return a middleware that sends a request at most once.

    The HTTP library repeats PUT, DELETE and GET by itself if a reused connection
    breaks, which could run a call twice.
    """
    is_sent = False
    first_error: Exception | None = None

    async def send_once(
        request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        nonlocal is_sent, first_error
        if is_sent:
            raise first_error or ConnectionResetError("A reused connection was cut.")
        is_sent = True
        try:
            return await handler(request)
        except (aiohttp.ClientError, ConnectionError) as error:
            first_error = error
            raise

    return send_once


async def read_bounded(
    response: aiohttp.ClientResponse, limit_bytes: int = MAX_CONTROL_BYTES
) -> bytes:
    """Return the complete body of an answer to a call of this instance's own.

    Call it before anything else is awaited; see `watch_close`.

    Raises
    ------
    aiohttp.ClientPayloadError
        If the body is longer than ``limit_bytes``, in which case the connection is
        closed, or if it is incomplete.
    """
    closed = watch_close(response)
    body = bytearray()
    while chunk := await response.content.readany():
        body += chunk
        if len(body) > limit_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"Got {len(body)} bytes of {response.url} without an end, expected at "
                f"most {limit_bytes}."
            )
    if is_cut(closed):
        raise aiohttp.ClientPayloadError(
            f"Got {len(body)} bytes of {response.url} that end with a reset, expected "
            "a closed connection."
        )
    return bytes(body)


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the complete body; raises the errors of :func:`send`."""
    closed = watch_close(response)
    return b"".join([chunk async for chunk in read_chunks(response, closed)])


def tells_end(response: aiohttp.ClientResponse) -> bool:
    """Return whether a body tells its end, which else is its connection's close."""
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    codings = response.headers.get("Transfer-Encoding", "").lower().split(",")
    return codings[-1].strip() == "chunked" or (
        "Content-Length" in response.headers and codings == [""]
    )


def watch_close(response: aiohttp.ClientResponse) -> asyncio.Future[None] | None:
    """Return the future of the connection's close, None if it does not end the body.

    The HTTP library treats a reset as the regular end of a body that has neither a
    length nor chunks. Call this before anything else is awaited.
    """
    connection = response.connection
    if tells_end(response) or connection is None or connection.protocol is None:
        return None
    return connection.protocol.closed


def is_cut(closed: asyncio.Future[None] | None) -> bool:
    """Return whether a body that has ended was cut; ``closed`` is of `watch_close`."""
    if closed is None:
        return False
    return not closed.done() or closed.exception() is not None


async def read_chunks(
    response: aiohttp.ClientResponse, closed: asyncio.Future[None] | None
) -> AsyncGenerator[bytes, None]:
    """Yield the body as it is received; ``closed`` is that of `watch_close`.

    Raises
    ------
    EndpointCutError, EndpointTimeoutError
        If the body is incomplete.
    """
    while True:
        with typed_errors(str(response.url)):
            chunk = await response.content.readany()
        if not chunk:
            break
        yield chunk
    if is_cut(closed):
        raise EndpointCutError(
            f"Got a body of {response.url} that ends with a reset, expected a closed "
            "connection.",
            remedy="Repeat the request only if it is idempotent.",
        )


def check_echo(
    sent: Mapping[str, str],
    response: aiohttp.ClientResponse,
    *,
    is_strict: bool = True,
) -> None:
    """Raise ``EndpointCrossedError`` unless an answer echoes the request's ids.

    Unless ``is_strict``, an answer may also echo no ids.
    """
    for name in ECHOED_HEADERS:
        expected = sent.get(name)
        got = response.headers.get(name)
        if expected is None or got == expected or (got is None and not is_strict):
            continue
        raise EndpointCrossedError(
            f"Got an answer with {name} {got!r}, expected {expected!r}.",
            remedy="Drop the answer and repeat the request if it is idempotent.",
        )


async def raise_unless_ok(response: aiohttp.ClientResponse) -> None:
    """Raise the error that corresponds to an engine's status."""
    status = response.status
    if status < 300:
        return
    body = await read_body(response)
    shown = body[:MAX_SHOWN_BYTES].decode(errors="replace")
    text = f"Got status {status} of {response.url} ({shown}), expected 200."
    if status in (429, 503):
        raise EndpointRefusedError(text, remedy="Use another endpoint.")
    if status >= 500 or status < 400:
        raise EndpointFailedError(text, remedy="Use another endpoint.")
    raise EndpointRejectedError(text, status=status, body=body)
