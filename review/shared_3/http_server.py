"""A small HTTP/1.1 server for stand-ins, which leaves each answer to its handler."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Busy"}


@dataclass
class Request:
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The parameters of the query."""
        return dict(parse_qsl(self.target.partition("?")[2]))


class Connection:
    """A connection to a stand-in."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a whole answer."""
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.writer.write(head.encode() + body)
        await self.writer.drain()

    async def send_json(self, status: int, content: Any) -> None:
        """Send a whole answer in JSON."""
        headers = {"Content-Type": "application/json"}
        await self.send(status, json.dumps(content).encode(), headers)

    def reset(self) -> None:
        """Close the connection by a reset."""
        if not self.writer.is_closing():
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.close()


Handler = Callable[[Request, Connection], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    request = Request(method, target)
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            request.headers[name.lower()] = value.strip()
    try:
        request.body = await _read_body(reader, request.headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


class HttpServer:
    """Passes the requests of each connection to a handler, one after the other."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.connections: set[Connection] = set()
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; return the address."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 24, reuse_address=True
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def reset_all(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.reset()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while (request := await read_request(reader)) is not None:
                await self.handler(request, connection)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()
