"""Sends requests to endpoints in the platform's form."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from lagoonring.endpoints.errors import EndpointCrossedError, EndpointCutError
from lagoonring.endpoints.transport import send, typed_errors
from lagoonring.platform import headers as names

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncGenerator

    from lagoonring.serving.requests import CallerRequest, SendOrder

CONNECT_TIMEOUT_S = 0.5  # links answer in milliseconds; lost packets come again
IDLE_S = 3.0  # below the shortest idle time that endpoints tell
SILENCE_MS = 1500  # after which a peer that acknowledges nothing counts as gone
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
N_PROBES = 2
UNWANTED = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
OTHER_ENDPOINT_STATUS = 421


def make_session() -> aiohttp.ClientSession:
    """Return the session for requests to endpoints; to be closed by the caller."""
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=IDLE_S,
        use_dns_cache=False,
        socket_factory=make_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=UNWANTED,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def make_socket(info: tuple) -> socket.socket:
    """Return a socket that finds out when the other side is gone."""
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
    return made


class HttpAnswer:
    """An endpoint's answer over HTTP; see `EndpointAnswer`."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response
        self.status = response.status
        self.headers = list(
            names.forwarded(
                response.headers.items(),
                response.headers.get("Connection", ""),
                names.NOT_TO_CALLERS,
            )
        )
        self.is_other_endpoint = response.status == OTHER_ENDPOINT_STATUS
        self.is_not_run = names.NOT_RUN in response.headers
        self.is_signed = names.SIGNATURE in response.headers
        self.closed = _watch_end(response)

    async def read(self) -> bytes:
        """Return the whole body."""
        with typed_errors(str(self.response.url)):
            body = await self.response.read()
        self._check_end()
        return body

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body as it comes."""
        while True:
            with typed_errors(str(self.response.url)):
                chunk = await self.response.content.readany()
            if not chunk:
                self._check_end()
                return
            yield chunk

    def _check_end(self) -> None:
        """Raise ``EndpointCutError`` if a body without length was not ended."""
        if self.closed is None:
            return
        if not self.closed.done() or self.closed.exception() is not None:
            raise EndpointCutError(
                f"Got a body of {self.response.url} that ends with a reset, "
                "expected a closed connection.",
                remedy="Repeat the request only if it is idempotent.",
            )

    def close(self) -> None:
        """Give the connection back, or close it if the body was not read."""
        if self.response.content.at_eof():
            self.response.release()
        else:
            self.response.close()


class HttpSender:
    """Sends each request once, over connections kept for reuse.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Made by `make_session`, owned by the caller.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def send(self, request: CallerRequest, order: SendOrder) -> HttpAnswer:
        """Send a request; errors are those of `lagoonring.endpoints.errors`."""
        url = URL(f"http://{order.endpoint.address}{request.target}", encoded=True)
        response = await send(
            self.session,
            request.method,
            url,
            body=request.body if request.has_body else None,
            headers=_make_headers(request, order),
            timeout_s=max(order.left_s, 0.001),
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        got = response.headers.get(names.REQUEST_ID)
        if got != request.request_id and response.status != OTHER_ENDPOINT_STATUS:
            response.close()
            raise EndpointCrossedError(
                f"Got an answer to request {got!r}, expected {request.request_id!r}.",
                remedy="Drop the answer and repeat the request if it is idempotent.",
            )
        return HttpAnswer(response)


def _watch_end(response: aiohttp.ClientResponse) -> asyncio.Future[None] | None:
    """Return what tells how the connection ended, if that ends the body.

    The HTTP library takes a reset for the end of a body that has no length.
    """
    is_framed = (
        "Content-Length" in response.headers
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )
    connection = response.connection
    if is_framed or connection is None or connection.protocol is None:
        return None
    return connection.protocol.closed


def _make_headers(request: CallerRequest, order: SendOrder) -> CIMultiDict[str]:
    made = CIMultiDict(request.headers)
    made[names.DEADLINE] = str(max(1, int(order.left_s * 1000)))
    made[names.EXPECTED_ENDPOINT] = order.endpoint.endpoint
    if order.organisation is not None:
        made[names.ORGANISATION] = order.organisation
    if request.counts_tokens:
        made[names.URGENCY] = str(order.urgency)
    if order.moved is not None:
        made[names.MOVED_FROM] = f"{order.moved.address}/{order.moved.handle}"
    if order.resume_after is not None:
        made[names.LAST_EVENT] = str(order.resume_after)
    return made
