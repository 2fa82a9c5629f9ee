"""HTTP connection of a caller, which never repeats a request by itself."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs

from lagoonring.platform import headers as names

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonring.soak.deployment import Instance

CONNECT_TIMEOUT_S = 1.0  # as the platform's callers allow
READ_BYTES = 65_536
CLIENT_TIMEOUT_S = 8.0  # a request without an end by then counts as hung


@attrs.define(kw_only=True)
class SentRequest:
    """A request and the response its caller received; times are monotonic.

    ``written_s`` is the time after the last byte was written, ``pid`` the process
    that accepted the connection; both are None if no connection was opened.
    ``status`` is None if no answer arrived; ``is_complete`` is True if the body
    ended properly: for HTTP/1.0, where ``is_old``, also with the connection.
    """

    request_id: str
    instance: str
    path: str
    organisation: str | None
    sent_s: float
    pid: int | None = None
    is_reused: bool = False
    written_s: float | None = None
    body: bytes = b""
    status: int | None = None
    signature: str | None = None
    answer: bytes = b""
    is_complete: bool = False
    ended_s: float = 0.0
    error: str = ""
    retry_after: str | None = None
    is_old: bool = False


class CallerConnection:
    """A connection to an instance that is opened by its first request.

    Parameters
    ----------
    instance : Instance
        The instance to connect to.
    """

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.pid: int | None = None
        self.n_requests = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether a further request may be sent, as far as the caller can tell."""
        return (
            self.reader is not None
            and self.writer is not None
            and not self.reader.at_eof()
            and not self.writer.is_closing()
        )

    def close(self) -> None:
        """Close the connection at once."""
        if self.writer is not None:
            self.writer.transport.abort()

    async def send(
        self, request: SentRequest, method: str, headers: Mapping[str, str]
    ) -> None:
        """Send a request and record its answer in it; errors are recorded, too."""
        request.instance = self.instance.name
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                if self.writer is None:
                    await self._open()
                await self._exchange(request, method, headers)
        except (OSError, EOFError, ValueError) as error:
            request.error = repr(error)
            self.close()
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            request.ended_s = time.monotonic()

    async def _open(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            host, _, port = self.instance.url.removeprefix("http://").partition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        process = self.instance.process
        self.pid = process.pid if process is not None else None

    async def _exchange(
        self, request: SentRequest, method: str, headers: Mapping[str, str]
    ) -> None:
        assert self.reader is not None
        assert self.writer is not None
        request.pid, request.is_reused = self.pid, self.n_requests > 0
        self.n_requests += 1
        version = "HTTP/1.0" if request.is_old else "HTTP/1.1"
        lines = [f"{method} {request.path} {version}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if request.body:
            lines.append(f"Content-Length: {len(request.body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + request.body)
        await self.writer.drain()
        request.written_s = time.monotonic()
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *header_lines = head.rstrip("\r\n").split("\r\n")
        got = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in header_lines)
        }
        request.status = int(status_line.split(" ", 2)[1])
        request.signature = got.get(names.SIGNATURE.lower())
        request.retry_after = got.get("retry-after")
        await self._read_body(request, got)
        request.is_complete = True
        if request.is_old or got.get("connection", "").lower() == "close":
            self.close()

    async def _read_body(self, request: SentRequest, got: Mapping[str, str]) -> None:
        assert self.reader is not None
        if request.is_old and "content-length" not in got:
            while data := await self.reader.read(READ_BYTES):
                request.answer += data
            return
        if got.get("transfer-encoding", "").lower() != "chunked":
            n_bytes = int(got["content-length"]) if "content-length" in got else 0
            request.answer = await self.reader.readexactly(n_bytes)
            return
        while True:
            n_bytes = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await self.reader.readexactly(n_bytes + 2)
            if n_bytes == 0:
                return
            request.answer += chunk[:-2]
