"""Sends requests to endpoints over HTTP, with the platform's headers."""

from __future__ import annotations

import asyncio
import socket
import struct
from functools import partial
from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from lagoonring.endpoints.bounded_socket import make_bounded_socket
from lagoonring.endpoints.connect_timeout import connect_timeout
from lagoonring.endpoints.connections import CheckedConnector
from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointCrossedError,
    EndpointCutError,
    RelayCutError,
    RelayRefusedError,
)
from lagoonring.endpoints.transport import read_chunks, send, tells_end, watch_close
from lagoonring.errors import LagoonringError
from lagoonring.platform import headers as names
from lagoonring.platform.relay_results import raise_relay_result

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from lagoonring.serving.buffers import Buffer
    from lagoonring.serving.endpoints import EndpointRecord
    from lagoonring.serving.requests import CallerRequest, SendOrder

CONNECT_TIMEOUT_S = 0.5  # links answer in milliseconds; allows for retransmissions
MAX_IDLE_S = 3.0  # below the shortest idle timeout that endpoints announce
MAX_UNACKED_MS = 1500  # sent data not acknowledged by then means a dead peer
# A sound endpoint may be silent for a second or more; paths that are lost are probed.
MAX_ENDPOINT_UNACKED_MS = 2500
PROBE_DELAY_S = 1
PROBE_INTERVAL_S = 1
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
MISDIRECTED_STATUS = 421
MAX_ANSWER_BYTES = 16 << 20  # of a whole answer, four times the longest request
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for no time


def make_session() -> aiohttp.ClientSession:
    """Return a session for requests to endpoints; the caller closes it."""
    connector = CheckedConnector(
        id_header=names.REQUEST_ID,
        limit=0,
        keepalive_timeout=MAX_IDLE_S,
        use_dns_cache=False,
        socket_factory=make_endpoint_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def make_endpoint_socket(info: tuple) -> socket.socket:
    """Return a socket like `make_socket` that bears longer silence."""
    return make_socket(info, max_unacked_ms=MAX_ENDPOINT_UNACKED_MS)


def make_socket(info: tuple, *, max_unacked_ms: int = MAX_UNACKED_MS) -> socket.socket:
    """Return a socket with keepalive probes and timeouts that detect dead peers.

    ``TCP_USER_TIMEOUT`` also decides when keepalive probes give up, whatever their
    number.
    """
    sock = make_bounded_socket(info)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_DELAY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max_unacked_ms)
    return sock


async def probe_endpoint(record: EndpointRecord) -> bool:
    """Return whether a connection to an endpoint can be established."""
    host, _, port = record.address.rpartition(":")
    sock = make_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ()))
    try:
        async with connect_timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except OSError:  # a time-out as well
        return False
    finally:
        sock.close()
    return True


def make_platform_session() -> aiohttp.ClientSession:
    """Return a session for calls to the platform; the caller closes it.

    A connection that is closed is reset: what a call that was given up has not
    delivered yet must not arrive later, when another holder may have acted.
    """
    connector = CheckedConnector(
        limit=0, use_dns_cache=False, socket_factory=make_resetting_socket
    )
    return aiohttp.ClientSession(connector=connector)


def make_resetting_socket(info: tuple) -> socket.socket:
    """Return a socket like `make_socket` whose close drops undelivered data."""
    sock = make_socket(info)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return sock


class HttpAnswer:
    """An endpoint's answer over HTTP; see `EndpointAnswer`.

    Parameters
    ----------
    withheld : frozenset of str
        Lower-case names of headers that are not passed on.
    is_relayed : bool
        Whether another instance passed the answer on, which frames it anew.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        *,
        withheld: frozenset[str] = names.WITHHELD_FROM_CALLERS,
        is_relayed: bool = False,
    ) -> None:
        self.response = response
        self.status = response.status
        self.headers = list(
            names.forwardable_headers(
                response.headers.items(),
                response.headers.get("Connection", ""),
                withheld,
            )
        )
        self.is_not_run = names.NOT_RUN in response.headers
        self.is_other_endpoint = (
            self.is_not_run and response.status == MISDIRECTED_STATUS
        )
        signatures = response.headers.getall(names.SIGNATURE, ())
        self.is_signed = len(signatures) == 1 and names.is_text(signatures[0])
        self.statement = names.read_statement(response.status, response.headers)
        self.closed = watch_close(response)
        self.is_framed = tells_end(response)
        if is_relayed:
            # Relays of earlier versions don't say it.
            framing = response.headers.get(names.RELAY_FRAMING)
            self.is_framed = self.is_framed and framing == names.FRAMED

    async def read(self, buffer: Buffer | None = None) -> bytes:
        """Return the complete body; raises `EndpointCutError` if it is too long."""
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if buffer is not None:
                buffer.hold(len(body))
            if len(body) > MAX_ANSWER_BYTES:
                raise EndpointCutError(
                    f"Got {len(body)} bytes of {self.response.url} without an end, "
                    f"expected at most {MAX_ANSWER_BYTES}.",
                    remedy="Repeat the request only if it is idempotent.",
                )
        return bytes(body)

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield chunks of the body as they are received."""
        return read_chunks(self.response, self.closed)

    def close(self) -> None:
        """Release the connection to the pool, or close it if the body is unread."""
        if self.response.content.at_eof():
            self.response.release()
        else:
            self.response.close()


class HttpSender:
    """Sends each request once, over pooled connections.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Made by `make_session`, owned by the caller.
    relay_port : int
        Port at which all instances take requests to pass on.
    """

    def __init__(self, session: aiohttp.ClientSession, *, relay_port: int) -> None:
        self.session = session
        self.relay_port = relay_port

    async def send(self, request: CallerRequest, order: SendOrder) -> HttpAnswer:
        """Send a request; raises the errors of `lagoonring.endpoints.errors`."""
        if order.relay is None:
            response = await self.send_to(order.endpoint.address, request, order)
        else:
            host, _, _ = order.relay.address.rpartition(":")
            response = await self._send_by(f"{host}:{self.relay_port}", request, order)
        return HttpAnswer(response, is_relayed=order.relay is not None)

    async def _send_by(
        self, address: str, request: CallerRequest, order: SendOrder
    ) -> aiohttp.ClientResponse:
        """Send a request by another instance; its failures are not the endpoint's."""
        try:
            response = await self.send_to(address, request, order)
        except EndpointConnectError as error:
            raise RelayRefusedError(error.message, remedy=error.remedy) from error
        except (EndpointCutError, EndpointCrossedError) as error:
            raise RelayCutError(error.message, remedy=error.remedy) from error
        try:
            raise_relay_result(response)
        except LagoonringError:
            response.close()
            raise
        return response

    async def send_to(
        self, address: str, request: CallerRequest, order: SendOrder
    ) -> aiohttp.ClientResponse:
        """Send a request to an address, that of the endpoint or of a relay."""
        url = URL(f"http://{address}{request.target}", encoded=True)
        return await send(
            self.session,
            request.method,
            url,
            body=request.body if request.has_body else None,
            headers=_make_headers(request, order),
            timeout_s=max(order.left_s, 0.001),
            connect_timeout_s=CONNECT_TIMEOUT_S,
            is_wanted=order.is_wanted,
            check=partial(check_answers, request.request_id),
        )


def check_answers(request_id: str | None, response: aiohttp.ClientResponse) -> None:
    """Raise ``EndpointCrossedError`` unless a response answers the request."""
    got = response.headers.getall(names.REQUEST_ID, [])
    expected = [] if request_id is None else [request_id]
    if got != expected:
        raise EndpointCrossedError(
            f"Got an answer to request {', '.join(got)!r}, expected {request_id!r}.",
            remedy="Drop the answer and repeat the request if it is idempotent.",
        )


def _make_headers(request: CallerRequest, order: SendOrder) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    headers[names.DEADLINE] = str(max(1, int(order.left_s * 1000)))
    headers[names.EXPECTED_ENDPOINT] = order.endpoint.endpoint
    if order.organisation is not None:
        headers[names.ORGANISATION] = order.organisation
    if request.counts_tokens:
        headers[names.URGENCY] = str(order.urgency)
    if order.moved is not None:
        headers[names.MOVED_FROM] = f"{order.moved.address}/{order.moved.handle}"
    if order.resume_after is not None:
        headers[names.LAST_EVENT] = str(order.resume_after)
    if order.relay is not None:
        headers[names.RELAY_LIFE] = str(order.relay.life)
    return headers
