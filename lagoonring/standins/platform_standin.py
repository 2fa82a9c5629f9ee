"""Stand-in for the users' platform: its store and a record of duty calls.

Serves the published protocol for the clients in `lagoonring.platform.store` and
`lagoonring.platform.duty_client`: ``/log-append``, ``/log-read``, ``/log-newest``,
``/usage`` and ``/scale``. For tests; there are no prices and no limits.
"""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import attrs
import msgspec
from aiohttp import web

from lagoonring.platform.duty_client import FENCING_NUMBER_HEADER, HOLDER_HEADER
from lagoonring.platform.store import (
    ENDPOINT_TOPIC,
    OPERATOR_TOPIC,
    PAGE_HEADER,
    decode_batch,
    decode_keyed_record,
    encode_batch,
)
from lagoonring.standins.http_server import answer_json
from lagoonring.standins.platform_faults import PlatformFaults, faults_middleware

WAIT_LIMIT_MS = 30_000


@attrs.define
class Topic:
    """Records of a topic; those before offset ``first`` can't be read any more."""

    records: list[bytes] = attrs.field(factory=list)
    first: int = 0
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.frozen
class DutyCall:
    """A call of a duty, which one instance makes on behalf of all."""

    path: str
    holder: str
    fencing_number: int
    content: dict[str, Any]


class PlatformStandin:
    """HTTP server of the platform on the loopback interface.

    Attributes
    ----------
    calls : list of DutyCall
        Duty calls in order of arrival.
    faults : PlatformFaults
        Faults in force.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.calls: list[DutyCall] = []
        self.faults = PlatformFaults()
        self.address = ""
        app = web.Application(middlewares=[faults_middleware(lambda: self.faults)])
        app.add_routes(
            [
                web.post("/log-append", self._append),
                web.get("/log-read", self._read),
                web.get("/log-newest", self._newest),
                web.post("/usage", self._duty),
                web.post("/scale", self._duty),
            ]
        )
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)

    async def start(self) -> None:
        """Listen on a free port."""
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self.runner.cleanup()

    def write(self, topic: str, key: str, content: Any) -> None:
        """Write a keyed record as JSON; None removes the key."""
        value = b"" if content is None else msgspec.json.encode(content)
        self.write_raw(topic, key, value)

    def write_raw(self, topic: str, key: str, value: bytes) -> None:
        """Write a keyed record of any bytes."""
        raw_key = key.encode()
        self._add(topic, [bytes([len(raw_key)]) + raw_key + value])

    def write_operator(self, key: str, content: Any) -> None:
        """Write an operator's document; None removes it."""
        self.write(OPERATOR_TOPIC, key, content)

    def write_endpoint(self, name: str, content: Any) -> None:
        """Write an endpoint's record; None removes it."""
        self.write(ENDPOINT_TOPIC, name, content)

    def forget(self, topic: str) -> None:
        """Truncate the history of a topic; the newest record of each key stays."""
        state = self._topic(topic)
        state.first = len(state.records)

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def _add(self, name: str, records: list[bytes]) -> int:
        topic = self._topic(name)
        offset = len(topic.records)
        topic.records += records
        topic.grown.set()
        topic.grown = asyncio.Event()
        return offset

    async def _append(self, request: web.Request) -> web.Response:
        name = request.query["topic"]
        end = len(self._topic(name).records)
        if request.query.get("at", str(end)) != str(end):
            return answer_json({"end": end}, status=412)
        records = list(decode_batch(await request.read()))
        offset = self._add(name, records)
        return answer_json({"offset": offset, "end": offset + len(records)})

    async def _read(self, request: web.Request) -> web.Response:
        topic = self._topic(request.query["topic"])
        offset = int(request.query["from"])
        wait_ms = min(int(request.query.get("waitMs", "0")), WAIT_LIMIT_MS)
        if offset >= len(topic.records) and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await topic.grown.wait()
            except TimeoutError:
                pass
        if offset < topic.first:
            return answer_json({"first": topic.first}, status=410)
        head = PAGE_HEADER.pack(len(topic.records), topic.first)
        return web.Response(body=head + encode_batch(topic.records[offset:]))

    async def _newest(self, request: web.Request) -> web.Response:
        topic = self._topic(request.query["topic"])
        newest = {}
        for offset, record in enumerate(topic.records):
            keyed = decode_keyed_record(record, offset)
            newest[keyed.key] = keyed
        items = [
            {
                "key": keyed.key,
                "value": base64.b64encode(keyed.value).decode(),
                "offset": keyed.offset,
            }
            for keyed in newest.values()
            if keyed.value is not None
        ]
        return answer_json(
            {"items": items, "hasMore": False, "end": len(topic.records)}
        )

    async def _duty(self, request: web.Request) -> web.Response:
        self.calls.append(
            DutyCall(
                request.path,
                request.headers[HOLDER_HEADER],
                int(request.headers[FENCING_NUMBER_HEADER]),
                msgspec.json.decode(await request.read()),
            )
        )
        return web.Response()
