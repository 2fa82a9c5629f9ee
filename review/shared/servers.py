"""Stand-in of a server: runs requests one by one in its slots, and may crash."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from shared.platform import Platform

HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3  # after which the platform removes a silent server's entry
N_SLOTS = 6
WORK_S = 0.06
RETURN_S = 3.0  # "the server is back after some seconds"
REQUEST_ID = "Lagoonring-Request-Id"
STREAM_PREFIX = "/plan/"
N_EVENTS = 76  # of a stream
EVENT_S = 0.06  # between two events


class Server:
    """A server of a plain service; each start is a new incarnation with a new id.

    A request whose body is ``CRASH`` ends the process of the server as it begins to
    run: all its channels are reset.

    Attributes
    ----------
    runs : list of dict
        Shared by all servers: what arrived here, and whether it ran to its end.
    """

    CRASH = b"crash"

    def __init__(
        self, name: str, service: str, zone: str, platform: Platform, runs: list[dict]
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.platform = platform
        self.runs = runs
        self.n_starts = 0
        self.sequence = 0
        self.born_ms = 0
        self.port = 0
        self.work_s = WORK_S
        self.n_slots = N_SLOTS
        self.is_up = False
        self.state = "ready"
        self.slots = asyncio.Semaphore(N_SLOTS)
        self.runner: web.ServerRunner | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.transports: set[asyncio.Transport] = set()

    @property
    def id(self) -> str:
        """Id of this incarnation."""
        return f"i-{self.name}-{self.n_starts}"

    async def start(self) -> None:
        """Listen, and register in the platform's store."""
        self.n_starts += 1
        self.born_ms = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(self.n_slots)
        self.runner = web.ServerRunner(
            web.Server(self._handle, access_log=None, handler_cancellation=True),
            shutdown_timeout=0.01,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", self.port, reuse_address=True)
        await site.start()
        self.port = self.runner.addresses[0][1]
        self.is_up = True
        self._spawn(self._check_in(self.id))

    async def stop(self) -> None:
        """End the server."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.runner is not None:
            await self.runner.cleanup()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _check_in(self, incarnation: str) -> None:
        while self.is_up and self.id == incarnation:
            self._register()
            await asyncio.sleep(HEARTBEAT_S)

    def _register(self) -> None:
        self.sequence += 1
        record = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.n_slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.sequence,
            "born": self.born_ms,
        }
        self.platform.put("keyed.servers", self.id, record)

    async def leave(self, serves_s: float) -> None:
        """Report that the server drains, serve for some time, and exit."""
        incarnation = self.id
        self.state = "draining"
        self._register()
        await asyncio.sleep(serves_s)
        await self.stop()
        self.platform.put("keyed.servers", incarnation, None)

    async def _crash(self) -> None:
        """Reset all channels, and come back as a new incarnation."""
        incarnation = self.id
        self.is_up = False
        assert self.runner is not None
        for transport in list(self.transports):
            transport.abort()
        await self.runner.cleanup()
        self._spawn(self._expire(incarnation))
        await asyncio.sleep(RETURN_S)
        await self.start()

    async def _expire(self, incarnation: str) -> None:
        await asyncio.sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
        self.platform.put("keyed.servers", incarnation, None)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is None or not self.is_up:
            raise ConnectionResetError
        self.transports.add(transport)
        try:
            return await self._serve(request)
        finally:
            self.transports.discard(transport)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if request.path == "/health":
            return web.Response(headers={"Lagoonring-Instance-Id": self.id})
        request_id = request.headers.get(REQUEST_ID, "")
        echo = {REQUEST_ID: request_id}
        if request.headers.get("Lagoonring-Expect-Instance", self.id) != self.id:
            echo["Lagoonring-Not-Executed"] = "1"
            return web.Response(status=421, headers=echo)
        run = {
            "id": request_id,
            "server": self.id,
            "peer": request.remote,
            "arrived": time.monotonic(),
            "crashes": body == self.CRASH,
            "ended": None,
        }
        self.runs.append(run)
        async with self.slots:
            if run["crashes"]:
                self._spawn(self._crash())
                await asyncio.sleep(RETURN_S)
            await asyncio.sleep(self.work_s)
            echo["Lagoonring-Response-Stamp"] = f"stamp.{self.id}.{request_id}"
            if request.path.startswith(STREAM_PREFIX):
                answer = await self._stream(request, echo)
            else:
                answer = web.Response(body=f"done {request_id}".encode(), headers=echo)
        run["ended"] = time.monotonic()
        return answer

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        headers["Content-Type"] = "text/event-stream"
        answer = web.StreamResponse(headers=headers)
        answer.enable_chunked_encoding()
        await answer.prepare(request)
        for number in range(1, N_EVENTS + 1):
            await answer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await asyncio.sleep(EVENT_S)
        await answer.write_eof()
        return answer
