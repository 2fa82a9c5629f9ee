"""Stand-ins of the platform: its store and its API, with a path for each machine."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from http_server import Connection, HttpServer, Request

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWER_S = 0.004
MAX_WAIT_MS = 30_000


class Paths:
    """Listens on an address for each machine, whose path can be cut by resets."""

    def __init__(self) -> None:
        self.servers: dict[str, HttpServer] = {}
        self.cut: set[str] = set()
        self.refused: set[str] = set()  # machines that get 503

    async def open(self, machine: str) -> str:
        """Return the address at which a machine reaches this stand-in."""

        async def handle(request: Request, connection: Connection) -> None:
            if machine in self.cut:
                connection.reset()
                return
            await asyncio.sleep(ANSWER_S)
            if machine in self.refused:
                await connection.send_json(503, {"error": "busy"})
                return
            await self.answer(machine, request, connection)

        server = self.servers[machine] = HttpServer(handle)
        return await server.start()

    def set_cut(self, machine: str, is_cut: bool) -> None:
        """Cut a machine's path, or let it heal."""
        if is_cut:
            self.cut.add(machine)
            self.servers[machine].reset_all()
        else:
            self.cut.discard(machine)

    def stop(self) -> None:
        """Stop listening."""
        for server in self.servers.values():
            server.stop()

    async def answer(
        self, machine: str, request: Request, connection: Connection
    ) -> None:
        """Answer a request of a machine."""
        raise NotImplementedError


class Store(Paths):
    """The platform's store: appends, reads, and the newest record of each key."""

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, list[bytes]] = {}
        self.grown = asyncio.Event()
        self.listener: Callable[[str, str, bytes], None] | None = None

    def append(self, topic: str, records: list[bytes]) -> int:
        """Append records; return the offset of the first one."""
        known = self.topics.setdefault(topic, [])
        offset = len(known)
        known += records
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def write(self, topic: str, key: str, content: Any) -> None:
        """Write a keyed record; None removes the key."""
        value = b"" if content is None else json.dumps(content).encode()
        self.append(topic, [bytes([len(key)]) + key.encode() + value])

    async def answer(
        self, machine: str, request: Request, connection: Connection
    ) -> None:
        """Answer a call of the store's interface."""
        if request.path == "/log-append":
            await self._append(machine, request, connection)
        elif request.path == "/log-read":
            await self._read(request, connection)
        elif request.path == "/log-newest":
            await self._newest(request, connection)
        else:
            await connection.send_json(404, {"error": "unknown call"})

    async def _append(
        self, machine: str, request: Request, connection: Connection
    ) -> None:
        topic = request.query["topic"]
        end = len(self.topics.get(topic, []))
        if request.query.get("at", str(end)) != str(end):
            await connection.send_json(412, {"end": end})
            return
        offset = self.append(topic, list(_split(request.body)))
        end = len(self.topics[topic])
        await connection.send_json(200, {"offset": offset, "end": end})
        if self.listener is not None:
            self.listener(machine, topic, request.body)

    async def _read(self, request: Request, connection: Connection) -> None:
        topic, offset = request.query["topic"], int(request.query["from"])
        wait_ms = min(int(request.query.get("waitMs", "0")), MAX_WAIT_MS)
        end_s = time.monotonic() + wait_ms / 1000
        while offset >= len(self.topics.get(topic, [])):
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.grown.wait(), left_s)
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for record in records[offset:]:
            body += struct.pack(">I", len(record)) + record
        await connection.send(200, body)

    async def _newest(self, request: Request, connection: Connection) -> None:
        records = self.topics.get(request.query["topic"], [])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        await connection.send_json(
            200, {"items": items, "hasMore": False, "end": len(records)}
        )


@dataclass
class DutyCall:
    """A call of a duty: when it arrived, and from which machine."""

    at_s: float
    machine: str
    path: str
    fence: int
    content: dict[str, Any]
    status: int


class Cloud(Paths):
    """The platform's API, which takes the calls of duties.

    Parameters
    ----------
    decide : callable
        Returns the status of the answer to a call's path and content.
    """

    def __init__(self, decide: Callable[[str, dict[str, Any]], int]) -> None:
        super().__init__()
        self.decide = decide
        self.calls: list[DutyCall] = []
        self.listener: Callable[[DutyCall], None] | None = None

    async def answer(
        self, machine: str, request: Request, connection: Connection
    ) -> None:
        """Record a call and answer it."""
        content = json.loads(request.body)
        status = self.decide(request.path, content)
        call = DutyCall(
            at_s=time.monotonic(),
            machine=machine,
            path=request.path,
            fence=int(request.headers["lagoonring-fence-token"]),
            content=content,
            status=status,
        )
        self.calls.append(call)
        if self.listener is not None:
            self.listener(call)
        await connection.send_json(status, {})


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        position += 4
        records.append(body[position : position + size])
        position += size
    return records
