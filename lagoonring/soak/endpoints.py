"""Endpoints that record what they run."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import attrs
import xxhash
from aiohttp import web

from lagoonring.platform import headers as names
from lagoonring.serving.endpoints import EndpointRecord, EndpointState
from lagoonring.standins.link_standin import LinkStandin
from lagoonring.standins.options import LinkOptions
from lagoonring.standins.platform_documents import make_record

if TYPE_CHECKING:
    import random

    from lagoonring.standins.platform_standin import PlatformStandin

HEARTBEAT_S = 0.6  # half of the usual, so that short soaks see lapses
LAPSE_HEARTBEATS = 3
N_SLOTS = 32
EVENT_S = 0.02
WORK_S = 0.03
N_EVENTS_MOST = 12


def stamp_of(request_id: str, endpoint: str) -> str:
    """Return the signature of an endpoint's answer to a request."""
    return f"{endpoint}.{xxhash.xxh64_hexdigest(f'{request_id} {endpoint}'.encode())}"


def body_of(request_id: str) -> bytes:
    """Return the whole answer to a request that is no stream."""
    return f"answer to {request_id} ".encode() * 8


def events_of(request_id: str, first: int = 1) -> list[bytes]:
    """Return the events of the stream that answers a request, from a number on."""
    n_events = 1 + xxhash.xxh32_intdigest(request_id.encode()) % N_EVENTS_MOST
    return [
        f"id: {number}\ndata: {request_id} {number}/{n_events}\n\n".encode()
        for number in range(first, n_events + 1)
    ]


@attrs.frozen(kw_only=True)
class Run:
    """One request that an endpoint began to run."""

    request_id: str
    endpoint: str
    organisation: str | None
    path: str
    version: str
    began_s: float
    body: bytes


@attrs.define
class EndpointFaults:
    """Faults of an endpoint: shares of requests, and seconds added to the work."""

    lost_share: float = 0.0
    failed_share: float = 0.0
    slow_s: float = 0.0


class SoakEndpoint:
    """One endpoint behind a link, with its record in the platform's store.

    Parameters
    ----------
    runs : list of Run
        Gets what begins to run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        data_centre: str,
        platform: PlatformStandin,
        runs: list[Run],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.platform = platform
        self.runs = runs
        self.rng = rng
        self.version = "v1"
        self.faults = EndpointFaults()
        self.state = EndpointState.READY
        self.draining_s: float | None = None
        self.born_ms = 0
        self.n_lives = 0
        self.n_running = 0
        self.runner: web.AppRunner | None = None
        self.link: LinkStandin | None = None

    @property
    def life(self) -> str:
        """The id of this life; another start has another one."""
        return f"{self.name}-{self.n_lives}"

    async def start(self) -> None:
        """Begin a new life, and say so."""
        self.n_lives += 1
        self.state, self.draining_s = EndpointState.READY, None
        self.faults = EndpointFaults()
        self.born_ms = int(time.time() * 1000)
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._serve)
        self.runner = web.AppRunner(app, shutdown_timeout=0.05)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        port = self.runner.addresses[0][1]
        self.link = LinkStandin(LinkOptions(target_port=port))
        await self.link.start()
        self._write()

    async def crash(self) -> None:
        """End at once; the record lapses some heartbeats later."""
        if self.runner is not None and self.link is not None:
            await self.link.stop()
            await self.runner.cleanup()
            self.runner = None
            await asyncio.sleep(LAPSE_HEARTBEATS * HEARTBEAT_S)
            self.platform.write_endpoint(self.life, None)

    def drain(self) -> None:
        """Say that no more requests are taken."""
        self.state = EndpointState.DRAINING
        self._write()
        self.draining_s = time.monotonic()

    def _write(self) -> None:
        assert self.link is not None
        record = EndpointRecord(
            endpoint=self.life,
            service=self.service,
            address=f"127.0.0.1:{self.link.port}",
            data_centre=self.data_centre,
            version=self.version,
            n_slots=N_SLOTS,
            state=self.state,
            born_ms=self.born_ms,
            sequence=1 + (self.state is not EndpointState.READY),
        )
        self.platform.write_endpoint(self.life, make_record(record))

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/report":
            return web.Response(status=404)  # no engine: it tells no time to leave
        request_id = request.headers.get(names.REQUEST_ID, "")
        echo = {names.REQUEST_ID: request_id}
        body = await request.read()
        if request.headers.get(names.EXPECTED_ENDPOINT, self.life) != self.life:
            return web.Response(status=421, headers={**echo, names.NOT_RUN: "1"})
        if self.n_running >= 2 * N_SLOTS:
            return web.Response(status=503, headers={**echo, names.NOT_RUN: "1"})
        self.runs.append(
            Run(
                request_id=request_id,
                endpoint=self.life,
                organisation=request.headers.get(names.ORGANISATION),
                path=request.path_qs,
                version=self.version,
                began_s=time.monotonic(),
                body=body,
            )
        )
        self.n_running += 1
        try:
            return await self._answer(request, request_id, echo)
        finally:
            self.n_running -= 1

    async def _answer(
        self, request: web.Request, request_id: str, echo: dict[str, str]
    ) -> web.StreamResponse:
        signed = {**echo, names.SIGNATURE: stamp_of(request_id, self.life)}
        await asyncio.sleep(WORK_S * (0.5 + self.rng.random()) + self.faults.slow_s)
        if self.rng.random() < self.faults.lost_share and request.transport:
            request.transport.abort()
        if self.rng.random() < self.faults.failed_share:
            return web.Response(status=500, headers=signed)
        if not request.path.startswith("/stream"):
            return web.Response(body=body_of(request_id), headers=signed)
        first = int(request.headers.get(names.LAST_EVENT, "0")) + 1
        answer = web.StreamResponse(
            headers={**signed, "Content-Type": "text/event-stream"}
        )
        with suppress(ConnectionError):  # the caller left, or this answer is lost
            await answer.prepare(request)
            for event in events_of(request_id, first):
                await answer.write(event)
                await asyncio.sleep(EVENT_S)
            await answer.write_eof()
        return answer
