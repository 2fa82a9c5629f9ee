"""Stand-in of the platform: its store, as PROTOCOL.md describes it, and duty calls."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
import time
from typing import Any

from aiohttp import web

LENGTH = struct.Struct(">I")
BOUNDS = struct.Struct(">QQ")
MAX_WAIT_S = 30.0


class Topic:
    """Records of a topic, numbered from 0."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.grown = asyncio.Event()

    def add(self, records: list[bytes]) -> int:
        """Append records and return the offset of the first one."""
        offset = len(self.records)
        self.records += records
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Platform:
    """HTTP server of the store and of the calls that only a duty holder makes.

    Attributes
    ----------
    calls : list of dict
        Duty calls in the order in which they arrived.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.calls: list[dict[str, Any]] = []
        self.port = 0
        self.runners: dict[int, web.AppRunner] = {}

    async def start(self) -> int:
        """Listen on a free port of the loopback interface, also; return the port."""
        app = web.Application(client_max_size=8 << 20)
        app.add_routes(
            [
                web.post("/log-append", self._append),
                web.get("/log-read", self._read),
                web.get("/log-newest", self._newest),
                web.post("/usage", self._duty),
                web.post("/scale", self._duty),
            ]
        )
        runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.port = runner.addresses[0][1]
        self.runners[self.port] = runner
        return self.port

    async def stop(self, port: int | None = None) -> None:
        """Close a port, or all, with the connections there."""
        for one in [port] if port else list(self.runners):
            await self.runners.pop(one).cleanup()

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, content: Any) -> None:
        """Write a keyed record; None drops the key."""
        value = b"" if content is None else json.dumps(content).encode()
        raw_key = key.encode()
        self.topic(topic).add([bytes([len(raw_key)]) + raw_key + value])

    async def _append(self, request: web.Request) -> web.Response:
        topic = self.topic(request.query["topic"])
        records = split_records(await request.read())
        if "at" in request.query and int(request.query["at"]) != len(topic.records):
            return web.json_response({"end": len(topic.records)}, status=412)
        offset = topic.add(records)
        return web.json_response({"offset": offset, "end": len(topic.records)})

    async def _read(self, request: web.Request) -> web.Response:
        topic = self.topic(request.query["topic"])
        offset = int(request.query["from"])
        wait_s = min(int(request.query.get("waitMs", "0")) / 1000, MAX_WAIT_S)
        if offset >= len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.grown.wait(), wait_s)
        records = topic.records[offset:]
        body = b"".join(LENGTH.pack(len(record)) + record for record in records)
        return web.Response(body=BOUNDS.pack(len(topic.records), 0) + body)

    async def _newest(self, request: web.Request) -> web.Response:
        topic = self.topic(request.query["topic"])
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(topic.records):
            end = 1 + record[0]
            key, value = record[1:end].decode(), record[end:]
            newest.pop(key, None)
            if value:
                newest[key] = value, offset
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in newest.items()
        ]
        return web.json_response(
            {"items": items, "hasMore": False, "end": len(topic.records)}
        )

    async def _duty(self, request: web.Request) -> web.Response:
        content = await request.json()
        self.calls.append(
            {
                "at": time.monotonic(),
                "path": request.path,
                "holder": request.headers["Lagoonring-Duty-Holder"],
                "fence": int(request.headers["Lagoonring-Fence-Token"]),
                "content": content,
            }
        )
        return web.json_response({})


def split_records(body: bytes) -> list[bytes]:
    """Return the records of a batch, each of which follows its length."""
    records, position = [], 0
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records
