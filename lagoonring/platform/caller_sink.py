"""Sends one answer to a caller over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from lagoonring.platform import headers as names
from lagoonring.requests.refusals import encode_error
from lagoonring.requests.unframed import CHUNKED_SINCE, begin_unframed, end_unframed

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.errors import LagoonringError


class HttpSink:
    """Sends one answer to a caller; see `lagoonring.serving.requests.Sink`."""

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str | None,
        closes_connection: Callable[[], bool],
        unread_s: Callable[[], float],
    ) -> None:
        self.request = request
        self.request_id = request_id
        self.closes_connection = closes_connection
        self.unread_s = unread_s
        self.response: web.StreamResponse | None = None

    async def send_whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send an answer with a complete body."""
        response = web.Response(status=status, body=body)
        await self._start(response, headers)
        await response.write_eof()

    async def send_error(self, error: LagoonringError) -> None:
        """Send an error as JSON: code, message, remedy and outcome of the request."""
        headers = [("Content-Type", "application/json")]
        if self.request_id is not None:
            headers.append((names.REQUEST_ID, self.request_id))
        if error.retry_after_s is not None:
            headers.append(("Retry-After", f"{error.retry_after_s:.3f}"))
        body = encode_error(error, self.request_id)
        await self.send_whole(error.status, headers, body)

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begin an answer whose length is not known in advance."""
        response = web.StreamResponse(status=status)
        if self.request.version >= CHUNKED_SINCE:
            response.enable_chunked_encoding()
        begin_unframed(self.request)
        await self._start(response, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        assert self.response is not None
        await self.response.write(data)

    async def end(self) -> None:
        """Terminate the body, so that the caller knows it is complete."""
        assert self.response is not None
        await self.response.write_eof()
        end_unframed(self.request)

    def abort(self) -> None:
        """Abort the connection, so that a partial answer can't look complete."""
        if self.request.transport is not None:
            self.request.transport.abort()

    async def _start(
        self, response: web.StreamResponse, headers: list[tuple[str, str]]
    ) -> None:
        response.headers.extend(headers)
        if self.closes_connection():
            response.force_close()
        self.response = response
        await response.prepare(self.request)
