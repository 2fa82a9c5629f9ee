"""HTTP front end on the platform: receives requests and sends the answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from lagoonring.errors import LagoonringError
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.platform import headers as names
from lagoonring.platform.caller_sink import HttpSink
from lagoonring.platform.connections import (
    MAX_HEADER_BYTES,
    CallerConnections,
    connection_of,
)
from lagoonring.platform.socket_shares import max_caller_sockets
from lagoonring.requests.errors import (
    BadHeaderError,
    BodyTooLargeError,
    InternalFaultError,
    UnfinishedUploadError,
)
from lagoonring.serving.errors import OverloadError
from lagoonring.serving.requests import CallerRequest

if TYPE_CHECKING:
    from lagoonring.kernel import Application
    from lagoonring.requests.guarded import GuardedProtocol
    from lagoonring.serving.buffers import Buffer
    from lagoonring.serving.path import RequestPath
    from lagoonring.serving.settings import NodeSettings

DEFAULT_MAX_BODY_BYTES = 4 << 20  # until the first configuration is read
DEFAULT_IDLE_TIMEOUT_S = 15.0  # until the first configuration is read
DEFAULT_HEADER_TIMEOUT_S = 3.0
READY_IDLE_TIMEOUT_S = 75.0
READY_SHARE = 0.05  # of sockets and memory, for readiness checks
NO_SOCKET_RETRY_S = 0.3
# Two readiness checks, one per second, must fail before the platform stops sending
# new connections.
IDLE_CLOSE_DELAY_S = 2.2

logger = make_logger("callers")


class CallerServer(BaseService):
    """Serves callers and the platform's readiness checks.

    Parameters
    ----------
    path : RequestPath
        Serves the requests.
    """

    name = "callers"

    def __init__(
        self, app: Application, settings: NodeSettings, path: RequestPath
    ) -> None:
        self.app = app
        self.settings = settings
        self.path = path
        self.runners: list[web.ServerRunner] = []
        self.is_leaving = False
        self.connections = CallerConnections(
            self.handle,
            clock=app.clock,
            head_limit_bytes=self._head_limit_bytes,
            timeouts=self._timeouts,
            max_sockets=max_caller_sockets(settings.max_fds),
            memory_bytes=settings.memory_bytes,
            closed=path.parts.metrics.connections_closed,
        )

        self.ready = CallerConnections(
            self.handle_ready,
            clock=app.clock,
            head_limit_bytes=self._head_limit_bytes,
            timeouts=lambda: (READY_IDLE_TIMEOUT_S, DEFAULT_HEADER_TIMEOUT_S),
            max_sockets=max_caller_sockets(settings.max_fds, READY_SHARE),
            memory_bytes=READY_SHARE * settings.memory_bytes,
            closed=path.parts.metrics.connections_closed,
        )

    async def start(self) -> None:
        """Listen on the caller address and the readiness address."""
        for server, address in (
            (self.connections, self.settings.caller_address),
            (self.ready, self.settings.ready_address),
        ):
            self.runners.append(await server.listen(address))
        self.app.spawn("connections", self.connections.sweep)
        self.app.spawn("ready connections", self.ready.sweep)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply the process's limits, which may have changed."""
        self.connections.set_limits(
            max_caller_sockets(settings.max_fds), settings.memory_bytes
        )
        self.ready.set_limits(
            max_caller_sockets(settings.max_fds, READY_SHARE),
            READY_SHARE * settings.memory_bytes,
        )

    async def retire(self) -> None:
        """Fail readiness checks, so that no new connections are sent here."""
        self.is_leaving = True

    async def drain(self, grace_s: float) -> None:
        """Close idle connections once the platform has stopped sending requests.

        A request that arrives while its connection is being closed has not been
        read; the caller retries it on another instance.
        """
        await self.app.clock.sleep(min(IDLE_CLOSE_DELAY_S, grace_s))
        n_closed = self.connections.close_unused()
        logger.info(
            "Idle connections closed.",
            extra={"n_closed": n_closed, "n_busy": len(self.connections.busy)},
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        logger.info("Closing.", extra={"n_busy": len(self.connections.busy)})
        for runner in self.runners:
            await runner.cleanup()

    async def handle_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a readiness check: 200 if configured and not leaving, else 503."""
        follower = self.path.parts.follower
        is_ready = not self.is_leaving and follower.configuration is not None
        return web.Response(status=200 if is_ready else 503)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller."""
        received_s = self.app.clock.monotonic()
        connection = connection_of(request)
        sink = HttpSink(
            request,
            request.headers.get(names.REQUEST_ID),
            lambda: connection.is_last or self._closes_connections(),
            lambda: self._unread_s(connection),
        )
        try:
            if self.connections.is_full:
                return await self._refuse(sink)
            return await self._serve(request, sink, received_s)
        finally:
            if self.is_leaving:
                connection.close()

    async def _refuse(self, sink: HttpSink) -> web.StreamResponse:
        """Refuse a request for which there is no socket, and close its connection."""
        error = OverloadError(
            f"Got a request beside {len(self.connections.busy)} others, expected fewer "
            "(no_socket).",
            remedy="Send it again after the time told, on a new connection.",
            retry_after_s=NO_SOCKET_RETRY_S,
        )
        logger.info(
            "Refused a request.",
            extra={
                "request_id": sink.request_id,
                "code": error.code,
                "status": error.status,
                "error": error.message,
            },
        )
        await sink.send_error(error)
        assert sink.response is not None
        return sink.response

    async def _serve(
        self, request: web.BaseRequest, sink: HttpSink, received_s: float
    ) -> web.StreamResponse:
        request_id = sink.request_id
        try:
            with self.path.parts.buffers.open() as buffer:
                decoded = await self._decode(request, received_s, buffer)
                await self.path.serve(decoded, sink)
        except LagoonringError as error:
            logger.info(
                "Refused a request.",
                extra={
                    "request_id": request_id,
                    "code": error.code,
                    "status": error.status,
                    "error": error.message,
                },
            )
            await sink.send_error(error)
        except ConnectionError:
            logger.info("Caller disconnected.", extra={"request_id": request_id})
            sink.abort()
        except Exception:
            logger.exception("Request failed.", extra={"request_id": request_id})
            if sink.response is None:
                await sink.send_error(InternalFaultError())
            else:
                sink.abort()
        if sink.response is None:
            sink.abort()
            raise asyncio.CancelledError
        return sink.response

    async def _decode(
        self, request: web.BaseRequest, received_s: float, buffer: Buffer
    ) -> CallerRequest:
        """Return a request in the form that the request path uses.

        Raises
        ------
        BadHeaderError, BodyTooLargeError, UnfinishedUploadError, OverloadError
            If the request is invalid, too large, incomplete, or does not fit.
        """
        headers = request.headers
        names.check_unique(headers)
        request_id = headers.get(names.REQUEST_ID)
        if not request_id:
            raise BadHeaderError(
                f"Got no {names.REQUEST_ID}, expected one.",
                remedy="Send an id with each request.",
            )
        allowed_ms = names.read_number(headers, names.DEADLINE)
        tokens = names.read_token_count(headers)
        target = request.raw_path
        if not target.startswith("/"):
            raise BadHeaderError(
                f"Got target {target[:80]!r}, expected a path.",
                remedy="Send the path and query alone.",
            )
        n_prompt, n_output = tokens or (0, 0)
        return CallerRequest(
            request_id=request_id,
            method=request.method,
            host=headers.get("Host", ""),
            path=target.partition("?")[0],
            target=target,
            headers=names.forwardable_headers(
                headers.items(), headers.get("Connection", ""), names.RESERVED
            ),
            body=await self._read_body(request, buffer),
            has_body=request.body_exists,
            key=names.read_key(headers),
            received_s=received_s,
            allowed_s=None if allowed_ms is None else allowed_ms / 1000,
            n_prompt_tokens=n_prompt,
            n_output_tokens=n_output,
            counts_tokens=tokens is not None,
            prompt_parts=names.read_prompt_parts(headers),
            resume_after=names.read_number(headers, names.LAST_EVENT),
        )

    async def _read_body(self, request: web.BaseRequest, buffer: Buffer) -> bytes:
        connection = connection_of(request)
        configuration = self.path.parts.follower.configuration
        limit = (
            configuration.limits.n_body_bytes
            if configuration
            else DEFAULT_MAX_BODY_BYTES
        )
        if (request.content_length or 0) > limit:
            connection.drop_body()
            raise _body_too_large_error(limit)
        buffer.begin_upload(connection.fail_body)
        body = bytearray()
        try:
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > limit:
                    connection.drop_body()
                    raise _body_too_large_error(limit)
                buffer.hold_body(len(body))
        except OverloadError:
            connection.drop_body()
            raise
        except LagoonringError:
            raise
        except (web.RequestPayloadError, ConnectionError) as error:
            raise UnfinishedUploadError(
                f"Got a body that breaks off ({error!r}), expected the whole.",
                remedy="Send the request again.",
            ) from error
        buffer.end_upload()
        return bytes(body)

    def _unread_s(self, connection: GuardedProtocol) -> float:
        if connection not in self.connections.unread:
            return 0.0
        unread = self.connections.check_unread(connection)
        return self.app.clock.monotonic() - unread.since_s

    def _closes_connections(self) -> bool:
        return self.is_leaving or self.connections.is_full

    def _head_limit_bytes(self) -> int:
        configuration = self.path.parts.follower.configuration
        return (
            configuration.limits.n_header_bytes if configuration else MAX_HEADER_BYTES
        )

    def _timeouts(self) -> tuple[float, float]:
        configuration = self.path.parts.follower.configuration
        if configuration is None:
            return DEFAULT_IDLE_TIMEOUT_S, DEFAULT_HEADER_TIMEOUT_S
        limits = configuration.limits
        return limits.idle_timeout_s, limits.header_timeout_s


def _body_too_large_error(limit: int) -> BodyTooLargeError:
    return BodyTooLargeError(
        f"Got a body over {limit} bytes, expected at most that.",
        remedy="Send less, or ask for a higher limit.",
    )
