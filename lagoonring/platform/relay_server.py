"""Passes requests of other instances on to endpoints that these do not reach."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointError,
    RelayRefusedError,
    RequestWithdrawnError,
)
from lagoonring.endpoints.transport import send
from lagoonring.errors import LagoonringError, Outcome
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.platform import headers as names
from lagoonring.platform.callers import DEFAULT_HEADER_TIMEOUT_S, DEFAULT_MAX_BODY_BYTES
from lagoonring.platform.connections import (
    MAX_HEADER_BYTES,
    CallerConnections,
    connection_of,
)
from lagoonring.platform.sending import CONNECT_TIMEOUT_S, HttpAnswer, check_answers
from lagoonring.platform.socket_shares import max_caller_sockets
from lagoonring.requests.errors import BadHeaderError
from lagoonring.serving.relaying import find_relayed_endpoint
from lagoonring.serving.statements import record_statement

if TYPE_CHECKING:
    import aiohttp

    from lagoonring.kernel import Application
    from lagoonring.serving.buffers import Buffer
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.settings import NodeSettings

RESULT_OK = "ok"
RELAY_SHARE = 0.1  # of sockets and memory
HEAD_RESERVE_BYTES = 4096  # for what the first instance adds to a head
IDLE_TIMEOUT_S = 15.0  # instances close theirs earlier
KEPT_FROM_ENDPOINTS = frozenset({"content-length", "expect", "lagoonring-relay-life"})
KEPT_FROM_INSTANCES = frozenset(
    {"content-length", "lagoonring-relay-framing", "lagoonring-relay-result"}
)

logger = make_logger("relay")


class RelayServer(BaseService):
    """Listens for requests of other instances, and sends each to its endpoint once.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for requests to endpoints, owned by the caller.
    """

    name = "relay_server"

    def __init__(
        self,
        app: Application,
        settings: NodeSettings,
        parts: ServingParts,
        session: aiohttp.ClientSession,
    ) -> None:
        self.app = app
        self.settings = settings
        self.parts = parts
        self.session = session
        self.runner: web.ServerRunner | None = None
        self.is_leaving = False
        self.n_in_progress = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.connections = CallerConnections(
            self.handle,
            clock=app.clock,
            head_limit_bytes=self._head_limit_bytes,
            timeouts=lambda: (IDLE_TIMEOUT_S, DEFAULT_HEADER_TIMEOUT_S),
            max_sockets=max_caller_sockets(settings.max_fds, RELAY_SHARE),
            memory_bytes=RELAY_SHARE * settings.memory_bytes,
            closed=parts.metrics.connections_closed,
        )

    async def start(self) -> None:
        """Listen on the relay port."""
        address = f"{self.settings.ip}:{self.settings.relay_port}"
        self.runner = await self.connections.listen(address)
        self.app.spawn("relay connections", self.connections.sweep)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply the process's limits, which may have changed."""
        self.connections.set_limits(
            max_caller_sockets(settings.max_fds, RELAY_SHARE),
            RELAY_SHARE * settings.memory_bytes,
        )

    async def retire(self) -> None:
        """Refuse requests that have not been sent to their endpoint yet."""
        self.is_leaving = True

    async def drain(self, grace_s: float) -> None:
        """Wait until the answers in progress have been passed on."""
        try:
            async with asyncio.timeout(grace_s):
                await self.idle.wait()
        except TimeoutError:
            logger.warning(
                "Drain timed out with relayed requests in progress.",
                extra={"n": self.n_in_progress},
            )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Pass one request on; failures are told in a header of the answer."""
        started_s = self.app.clock.monotonic()
        result = "cancelled"
        self.n_in_progress += 1
        self.idle.clear()
        try:
            response = await self._relay(request)
            result = RESULT_OK
            return response
        except EndpointError as error:
            result = error.code
            if request.transport is None or request.transport.is_closing():
                raise asyncio.CancelledError from None  # the answer had begun
            return self._refuse(request, error)
        finally:
            self.n_in_progress -= 1
            if self.n_in_progress == 0:
                self.idle.set()
            self.parts.metrics.relayed.labels(result).inc()
            logger.info(
                "Request relayed.",
                extra={
                    "request_id": request.headers.get(names.REQUEST_ID),
                    "source": request.remote,
                    "endpoint": request.headers.get(names.EXPECTED_ENDPOINT),
                    "result": result,
                    "elapsed_s": round(self.app.clock.monotonic() - started_s, 4),
                },
            )

    async def _relay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send a request to its endpoint and pass on the answer as it arrives."""
        self._check_source(request)
        if self.connections.is_full:
            raise RelayRefusedError(
                f"Got a request beside {len(self.connections.busy)} others, expected "
                "fewer.",
                remedy="Use another instance.",
            )
        with self.parts.buffers.open() as buffer:
            body = await self._read_body(request, buffer)
            return await self._relay_body(request, body)

    async def _relay_body(
        self, request: web.BaseRequest, body: bytes | None
    ) -> web.StreamResponse:
        """Send a request that has been read to its endpoint; see `_relay`."""
        endpoint = find_relayed_endpoint(
            self.parts,
            request.headers.get(names.EXPECTED_ENDPOINT, ""),
            is_leaving=self.is_leaving,
        )
        answer = await self._send(request, endpoint, body)
        try:
            if not answer.is_other_endpoint:
                record_statement(
                    self.parts.table,
                    endpoint,
                    answer.statement,
                    self.app.clock.monotonic(),
                )
            return await self._pass_on(request, answer)
        finally:
            answer.close()

    def _refuse(
        self, request: web.BaseRequest, error: EndpointError
    ) -> web.StreamResponse:
        """Return a refusal; what is left of the request's body is dropped."""
        connection = connection_of(request)
        response = _make_refusal(request, error)
        if not request.content.is_eof() and not connection.is_last:
            connection.drop_body()
        if connection.is_last:
            response.force_close()
        return response

    def _check_source(self, request: web.BaseRequest) -> None:
        """Raise ``RelayRefusedError`` unless an instance sent the request.

        Only instances hear the messages that name the life of this process.
        """
        if request.headers.get(names.RELAY_LIFE) != str(self.parts.exchange.life):
            raise RelayRefusedError(
                f"Got a request of {request.remote} for another process, expected one "
                "of an instance for this process.",
                remedy="Use another instance.",
            )

    def _head_limit_bytes(self) -> int:
        configuration = self.parts.follower.configuration
        limit = (
            configuration.limits.n_header_bytes if configuration else MAX_HEADER_BYTES
        )
        return limit + HEAD_RESERVE_BYTES

    async def _read_body(
        self, request: web.BaseRequest, buffer: Buffer
    ) -> bytes | None:
        configuration = self.parts.follower.configuration
        limit = DEFAULT_MAX_BODY_BYTES
        if configuration is not None:
            limit = configuration.limits.n_body_bytes
        buffer.begin_upload(connection_of(request).fail_body)
        body = bytearray()
        try:
            async for chunk in request.content.iter_any():
                body += chunk
                buffer.hold_body(len(body))
                if len(body) > limit:
                    raise RelayRefusedError(
                        f"Got a body over {limit} bytes, expected at most that.",
                        remedy="Send less.",
                    )
        except RelayRefusedError:
            raise
        except LagoonringError as error:
            raise RelayRefusedError(error.message, remedy=error.remedy) from error
        buffer.end_upload()
        return bytes(body) if request.body_exists else None

    async def _send(
        self, request: web.BaseRequest, endpoint: Endpoint, body: bytes | None
    ) -> HttpAnswer:
        address = endpoint.record.address
        try:
            response = await send(
                self.session,
                request.method,
                URL(f"http://{address}{request.raw_path}", encoded=True),
                body=body,
                headers=CIMultiDict(
                    names.forwardable_headers(
                        request.headers.items(),
                        request.headers.get("Connection", ""),
                        KEPT_FROM_ENDPOINTS,
                    )
                ),
                timeout_s=_read_timeout_s(request),
                connect_timeout_s=CONNECT_TIMEOUT_S,
                is_wanted=self.parts.placer.permissions.make_check(endpoint),
                check=partial(check_answers, request.headers.get(names.REQUEST_ID)),
            )
        except RequestWithdrawnError as error:
            raise RelayRefusedError(error.message, remedy=error.remedy) from error
        except EndpointConnectError:
            endpoint.mark_unreachable(self.app.clock.monotonic())
            self.parts.connectivity.record_connect_failure(endpoint)
            raise
        return HttpAnswer(response, withheld=KEPT_FROM_INSTANCES)

    async def _pass_on(
        self, request: web.BaseRequest, answer: HttpAnswer
    ) -> web.StreamResponse:
        """Pass an answer on; one that breaks off does not look complete."""
        response = web.StreamResponse(status=answer.status)
        response.headers.extend(answer.headers)
        response.headers.extend(describe_framing(answer))
        response.enable_chunked_encoding()
        await response.prepare(request)
        try:
            async for chunk in answer.chunks():
                await response.write(chunk)
        except EndpointError:
            if request.transport is not None:
                request.transport.abort()
            raise
        await response.write_eof()
        return response


def describe_framing(answer: HttpAnswer) -> dict[str, str]:
    """Return the headers that tell whether the endpoint's body told its end.

    Named in ``Connection``, the header is dropped by instances that don't know it.
    """
    if not answer.is_framed:
        return {}
    return {names.RELAY_FRAMING: names.FRAMED, "Connection": names.RELAY_FRAMING}


def _read_timeout_s(request: web.BaseRequest) -> float | None:
    """Return how long the caller waits, None if the request does not say it."""
    try:
        allowed_ms = names.read_number(request.headers, names.DEADLINE)
    except BadHeaderError as error:
        raise RelayRefusedError(error.message, remedy=error.remedy) from error
    return None if allowed_ms is None else max(allowed_ms, 1) / 1000


def _make_refusal(request: web.BaseRequest, error: EndpointError) -> web.StreamResponse:
    """Return the answer that tells another instance of a failure."""
    headers = {names.RELAY_RESULT: error.code}
    if error.outcome is Outcome.NOT_RUN:
        headers[names.NOT_RUN] = "1"
    request_id = request.headers.get(names.REQUEST_ID)
    if request_id is not None:
        headers[names.REQUEST_ID] = request_id
    return web.Response(status=error.status, headers=headers, text=error.message)
