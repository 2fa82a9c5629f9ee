"""Streams as engines send them: in chunks, or ended by closing the connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Mapping


class FramedAnswer:
    """A stream in chunks.

    Parameters
    ----------
    headers : mapping
        Of the answer.
    """

    def __init__(self, request: web.Request, headers: Mapping[str, str]) -> None:
        self.request = request
        self.answer = web.StreamResponse(headers=headers)

    async def begin(self) -> None:
        """Send the head."""
        await self.answer.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Send a part; raises ``ConnectionError`` if the connection is closed."""
        await self.answer.write(data)

    async def end(self) -> web.StreamResponse:
        """Send the end of the body."""
        await self.answer.write_eof()
        return self.answer

    def close(self) -> None:
        """Close the connection without the end."""
        if self.request.transport is not None:
            self.request.transport.close()


class UnframedAnswer:
    """A stream without a length or chunks, which ends with its connection."""

    def __init__(self, request: web.Request, headers: Mapping[str, str]) -> None:
        self.request = request
        self.headers = headers

    async def begin(self) -> None:
        """Send the head."""
        lines = [f"{name}: {value}" for name, value in self.headers.items()]
        head = ["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""]
        await self.write("\r\n".join(head).encode())

    async def write(self, data: bytes) -> None:
        """Send a part; raises ``ConnectionError`` if the connection is closed."""
        transport = self.request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("The connection was closed during the run.")
        transport.write(data)

    async def end(self) -> web.StreamResponse:
        """Close the connection."""
        self.close()
        return web.Response()

    def close(self) -> None:
        """Close the connection; nothing tells this from a whole answer's end."""
        if self.request.transport is not None:
            self.request.transport.close()
