"""Endpoints that record every request they run."""

from __future__ import annotations

import asyncio
import enum
import time
from collections import Counter
from typing import TYPE_CHECKING

import attrs
import xxhash
from aiohttp import web

from lagoonring.platform import headers as names
from lagoonring.serving.endpoints import EndpointRecord, EndpointState
from lagoonring.soak.paths import PathLink
from lagoonring.soak.routes import STREAMS
from lagoonring.standins.options import LinkOptions
from lagoonring.standins.platform_documents import make_record

if TYPE_CHECKING:
    import random

    from lagoonring.standins.platform_standin import PlatformStandin

HEARTBEAT_S = 0.6  # half of the default, so that records expire within short soaks
N_HEARTBEATS_TO_EXPIRE = 3
N_SLOTS = 32
MEAN_WORK_S = 0.03
SLOW_SHARE = 0.2  # share of the runs that take long
MIN_SLOW_S, MAX_SLOW_S = 0.3, 2.0


def make_signature(request_id: str, endpoint: str) -> str:
    """Return the signature with which an endpoint answers a request."""
    return f"{endpoint}.{xxhash.xxh64_hexdigest(f'{request_id} {endpoint}'.encode())}"


def make_body(request_id: str) -> bytes:
    """Return the body that answers a request that is not streamed."""
    return f"answer to {request_id} ".encode() * 8


class RunEnd(enum.StrEnum):
    """How a run ended."""

    RUNNING = "running"
    WHOLE = "whole"  # the endpoint sent its whole answer
    BROKEN_OFF = "broken off"  # by a fault of the endpoint
    ABORTED = "aborted"  # the instance closed the connection
    STOPPED = "stopped"  # by a call that moves it to another endpoint


@attrs.define(kw_only=True)
class Run:
    """A request that an endpoint started to run; times are monotonic.

    ``lineage`` names the run in its events, which begin with ``first_event``. A run
    that ``is_moved`` continues one of another endpoint and keeps its lineage.
    """

    request_id: str
    endpoint: str
    organisation: str | None
    path: str
    version: str
    began_s: float
    body: bytes
    end: RunEnd = RunEnd.RUNNING
    ended_s: float | None = None
    lineage: str = ""
    first_event: int = 1
    is_moved: bool = False


@attrs.define
class EndpointFaults:
    """Faults of an endpoint: shares of requests lost or failed, and added delay."""

    lost_share: float = 0.0
    failed_share: float = 0.0
    slow_s: float = 0.0


class SoakEndpoint:
    """An endpoint behind a link stand-in, registered in the platform's store.

    Parameters
    ----------
    runs : list of Run
        Receives an entry for each request that starts to run.
    version : str
        Version of its software.
    """

    def __init__(
        self,
        name: str,
        service: str,
        data_centre: str,
        platform: PlatformStandin,
        runs: list[Run],
        rng: random.Random,
        *,
        version: str = "v1",
    ) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.platform = platform
        self.runs = runs
        self.rng = rng
        self.version = version
        self.is_retired = False
        self.faults = EndpointFaults()
        self.state = EndpointState.READY
        self.drain_started_s: float | None = None
        self.born_ms = 0
        self.n_starts = 0
        self.n_running = 0
        self.unplanned_spans: list[tuple[float, float]] = []
        self.unreached_spans: list[tuple[float, float]] = []
        self.runner: web.AppRunner | None = None
        self.lost_hosts: Counter[str] = Counter()
        self.link: PathLink | None = None

    @property
    def endpoint_id(self) -> str:
        """Id of the endpoint since its last start; each start gets a new id."""
        return f"{self.name}-{self.n_starts}"

    async def start(self) -> None:
        """Start listening under a new id and write the endpoint's record."""
        if self.is_retired:
            return
        self.n_starts += 1
        self.state, self.drain_started_s = EndpointState.READY, None
        self.faults = EndpointFaults()
        self.born_ms = int(time.time() * 1000)
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._serve)
        self.runner = web.AppRunner(app, shutdown_timeout=0.05)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        port = self.runner.addresses[0][1]
        self.link = PathLink(LinkOptions(target_port=port), self.lost_hosts)
        await self.link.start()
        self._write()

    @property
    def address(self) -> str:
        """Address in the endpoint's record; empty before its first start."""
        return f"127.0.0.1:{self.link.port}" if self.link is not None else ""

    def is_serving(self, service: str) -> bool:
        """Return whether the endpoint serves a service, or will after a crash."""
        return self.service == service and not self.is_retired

    async def crash(self) -> None:
        """Stop at once; return once its record has expired."""
        if self.runner is not None:
            await self._stop()
            await asyncio.sleep(N_HEARTBEATS_TO_EXPIRE * HEARTBEAT_S)
            self.platform.write_endpoint(self.endpoint_id, None)

    async def retire(self) -> None:
        """Stop at once and for good, and remove the record."""
        self.is_retired = True
        self.platform.write_endpoint(self.endpoint_id, None)
        await self._stop()

    def lose_path(self, host: str, *, resets: bool) -> None:
        """Let a host open no connections, and reset those that it has, if asked."""
        self.lost_hosts[host] += 1
        if self.link is not None:
            self.link.apply_lost()
            if resets:
                self.link.reset_from(host)

    def regain_path(self, host: str) -> None:
        """End one loss of the path from a host."""
        self.lost_hosts[host] -= 1
        self.lost_hosts += Counter()  # drops hosts without a fault
        if self.link is not None:
            self.link.apply_lost()

    def record_unreached(self, since_s: float) -> None:
        """Record that instances may not have reached the endpoint until now."""
        span = since_s, time.monotonic()
        self.unplanned_spans.append(span)
        self.unreached_spans.append(span)

    async def _stop(self) -> None:
        if self.runner is None or self.link is None:
            return
        runner, self.runner = self.runner, None
        since_s = time.monotonic()
        await self.link.stop()
        await runner.cleanup()
        self.unplanned_spans.append((since_s, time.monotonic()))

    def drain(self) -> None:
        """Write to the store that the endpoint accepts no more requests."""
        if self.runner is None:
            return
        self.state = EndpointState.DRAINING
        self._write()
        self.drain_started_s = time.monotonic()

    def _write(self) -> None:
        record = EndpointRecord(
            endpoint=self.endpoint_id,
            service=self.service,
            address=self.address,
            data_centre=self.data_centre,
            version=self.version,
            n_slots=N_SLOTS,
            state=self.state,
            born_ms=self.born_ms,
            sequence=1 + (self.state is not EndpointState.READY),
        )
        self.platform.write_endpoint(self.endpoint_id, make_record(record))

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/report":
            return web.Response(status=404)  # only engines report when they leave
        request_id = request.headers.get(names.REQUEST_ID, "")
        echo = {names.REQUEST_ID: request_id}
        body = await request.read()
        refused = self._refuse(request)
        if refused is not None:
            return web.Response(status=refused, headers={**echo, names.NOT_RUN: "1"})
        run = self._make_run(request, body)
        self.runs.append(run)
        self.n_running += 1
        try:
            answer = await self._answer(request, run, echo)
            run.end = RunEnd.WHOLE
            return answer
        except ConnectionError:
            if run.end is RunEnd.RUNNING:
                run.end = RunEnd.ABORTED
            return web.Response()  # the connection is closed
        finally:
            run.ended_s = time.monotonic()
            self.n_running -= 1

    def _refuse(self, request: web.Request) -> int | None:
        """Return the status that refuses a request, or None to run it."""
        expected = request.headers.get(names.EXPECTED_ENDPOINT, self.endpoint_id)
        if expected != self.endpoint_id:
            return 421
        return 503 if self.n_running >= 2 * N_SLOTS else None

    def _make_run(self, request: web.Request, body: bytes) -> Run:
        return Run(
            request_id=request.headers.get(names.REQUEST_ID, ""),
            endpoint=self.endpoint_id,
            organisation=request.headers.get(names.ORGANISATION),
            path=request.path_qs,
            version=self.version,
            began_s=time.monotonic(),
            body=body,
        )

    async def _answer(
        self, request: web.Request, run: Run, echo: dict[str, str]
    ) -> web.StreamResponse:
        """Send the answer of a run.

        Raises
        ------
        ConnectionError
            If the connection closes before the whole answer is sent.
        """
        request_id = run.request_id
        signed = {**echo, names.SIGNATURE: make_signature(request_id, self.endpoint_id)}
        is_slow = self.rng.random() < SLOW_SHARE
        slow_s = self.rng.uniform(MIN_SLOW_S, MAX_SLOW_S) if is_slow else 0.0
        is_stream = request.path.startswith(STREAMS)
        await self._work(
            request,
            MEAN_WORK_S * (0.5 + self.rng.random())
            + self.faults.slow_s
            + (0.0 if is_stream else slow_s),
        )
        if self.rng.random() < self.faults.lost_share and request.transport:
            run.end = RunEnd.BROKEN_OFF
            request.transport.abort()
        if self.rng.random() < self.faults.failed_share:
            return await _send_whole(request, web.Response(status=500, headers=signed))
        if not is_stream:
            body = make_body(request_id)
            return await _send_whole(request, web.Response(body=body, headers=signed))
        return await self._send_stream(request, run, signed, slow_s)

    async def _work(self, request: web.Request, seconds: float) -> None:
        await asyncio.sleep(seconds)

    async def _send_stream(
        self, request: web.Request, run: Run, signed: dict[str, str], slow_s: float
    ) -> web.StreamResponse:
        raise NotImplementedError(f"Got a stream at {self.name}, expected an engine.")


async def _send_whole(request: web.Request, answer: web.Response) -> web.StreamResponse:
    if request.transport is None or request.transport.is_closing():
        raise ConnectionResetError("The connection was closed during the run.")
    await answer.prepare(request)
    await answer.write_eof()
    return answer
