"""Engines: endpoints that run streams, and move them to each other."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from lagoonring.platform import headers as names
from lagoonring.platform.engine_calls import MOVE_PATH, REPORT_PATH
from lagoonring.serving.endpoints import EndpointState
from lagoonring.soak.endpoints import N_SLOTS, Run, RunEnd, SoakEndpoint
from lagoonring.soak.kv_moves import (
    COPY_OUTCOMES,
    CallOutcome,
    KvCopy,
    MoveBody,
    MoveCall,
    RunningStream,
)
from lagoonring.soak.routes import LONG_STREAMS
from lagoonring.soak.stream_answers import FramedAnswer, UnframedAnswer
from lagoonring.soak.streams import make_events
from lagoonring.standins.link_standin import reset_transport

if TYPE_CHECKING:
    from collections.abc import Sequence

HANDLE_PATH = "/kv-handle/"
EVENT_INTERVAL_S = 0.02
POLL_INTERVAL_S = 0.1
HANDLE_S = 8.0  # after which an unused copy is dropped
MIN_LONG_INTERVAL_S, MAX_LONG_INTERVAL_S = 0.04, 0.09
UNFRAMED_SHARE = 0.4  # share of the streams that end with their connection
MID_EVENT_SHARE = 0.3  # share of the stopped runs that stop within an event
CLOSED_SHARE = 0.5  # share of the engines that close their connections at their end
CLOSE_S = 0.1  # in which closed connections end before the link is reset
MAX_COPY_S = 0.1
MAX_LATE_S = 2.0  # of an answer that is late
MAX_DELAY_S = 4.0  # of a call that is executed after its connection has failed
HANG_S = 3.0  # for which a lost answer's connection stays open, if it does
COPY_FAULT_SHARE = 0.2  # of the calls that don't stop a run; the others all fail


class SoakEngine(SoakEndpoint):
    """An endpoint whose streams can be moved.

    Attributes
    ----------
    peers : list of SoakEndpoint
        All endpoints, among them those to which streams are moved.
    outcomes : sequence of CallOutcome
        What may become of the calls that move a run; one is drawn for each.
    calls : list of MoveCall
        The calls received.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.peers: list[SoakEndpoint] = []
        self.outcomes: Sequence[CallOutcome] = (CallOutcome.DONE,)
        self.calls: list[MoveCall] = []
        self.streams: dict[str, RunningStream] = {}
        self.copies: dict[str, KvCopy] = {}
        self.leaves_at_s: float | None = None
        self.n_handles = 0
        self.delayed: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Start with an empty memory; see `SoakEndpoint.start`."""
        self.streams, self.copies, self.leaves_at_s = {}, {}, None
        await super().start()

    async def _stop(self) -> None:
        for task in self.delayed:
            task.cancel()
        await super()._stop()

    async def reclaim(self, notice_s: float) -> None:
        """Drain, stop after the notice and return once the record has expired."""
        started_s = time.monotonic()
        self.leaves_at_s = started_s + notice_s
        self.drain()
        await asyncio.sleep(notice_s)
        await self._close_streams()
        if not self.is_retired:
            self.unplanned_spans.append((started_s, time.monotonic()))
            await self.crash()

    async def retire(self) -> None:
        """Stop at once; see `SoakEndpoint.retire`."""
        await self._close_streams()
        await super().retire()

    async def _close_streams(self) -> None:
        """Close the connections of all streams regularly, in a share of the cases.

        In the other cases they are reset as the engine stops.
        """
        if self.rng.random() >= CLOSED_SHARE:
            return
        streams = list(self.streams.values())
        for stream in streams:
            stream.is_closed = True
            stream.stopping.set()
        for stream in streams:
            await stream.ended.wait()
        await asyncio.sleep(CLOSE_S)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if request.path == REPORT_PATH:
            return web.json_response(self._report())
        if request.path == MOVE_PATH:
            return await self._move(request)
        if request.path.startswith(HANDLE_PATH):
            return self._drop(request.path.removeprefix(HANDLE_PATH))
        return await super()._serve(request)

    def _report(self) -> dict[str, Any]:
        report = {
            "stage": "both",
            "state": self.state.value,
            "born": self.born_ms,
            "queued": 0,
            "running": self.n_running,
            "handles": len(self.copies),
        }
        if self.leaves_at_s is not None:
            report["leaves_ms"] = int((self.leaves_at_s - time.monotonic()) * 1000)
        return report

    def _refuse(self, request: web.Request) -> int | None:
        refused = super()._refuse(request)
        if names.MOVED_FROM not in request.headers or refused == 421:
            return refused
        return None if self._find_copy(request) else 503

    def _find_copy(self, request: web.Request) -> KvCopy | None:
        """Return the unused copy from which a request may continue here."""
        source, _, handle = request.headers[names.MOVED_FROM].rpartition("/")
        copy = self.copies.get(handle)
        if copy is None or copy.is_used or copy.source != source:
            return None
        if copy.made_s <= time.monotonic() - HANDLE_S:
            return None
        if copy.run.request_id != request.headers.get(names.REQUEST_ID):
            return None
        return copy if copy.is_stopped or source != self.address else None

    def _make_run(self, request: web.Request, body: bytes) -> Run:
        run = super()._make_run(request, body)
        run.first_event = int(request.headers.get(names.LAST_EVENT, "0")) + 1
        run.lineage = f"{self.endpoint_id}.{len(self.runs)}"
        if names.MOVED_FROM in request.headers:
            copy = self._find_copy(request)
            assert copy is not None
            copy.is_used, run.is_moved = True, True
            run.lineage = copy.run.lineage
        return run

    async def _work(
        self,
        request: web.Request,
        seconds: float,
        stopping: asyncio.Event | None = None,
    ) -> None:
        """Wait until the time is over, the run is to stop or its connection closes."""
        until_s = time.monotonic() + seconds
        while (left_s := until_s - time.monotonic()) > 0:
            if request.transport is None or request.transport.is_closing():
                raise ConnectionResetError("The connection was closed during the run.")
            if stopping is not None and stopping.is_set():
                return
            await asyncio.sleep(min(left_s, POLL_INTERVAL_S))

    async def _send_stream(
        self, request: web.Request, run: Run, signed: dict[str, str], slow_s: float
    ) -> web.StreamResponse:
        stream = RunningStream(run=run, n_sent=run.first_event - 1)
        self.streams[run.request_id] = stream
        try:
            return await self._send_events(request, stream, signed, slow_s)
        finally:
            stream.ended.set()
            if self.streams.get(run.request_id) is stream:
                del self.streams[run.request_id]

    async def _send_events(
        self,
        request: web.Request,
        stream: RunningStream,
        signed: dict[str, str],
        slow_s: float,
    ) -> web.StreamResponse:
        """Send the rest of a stream; raises ``ConnectionError`` if it is stopped."""
        run = stream.run
        events = make_events(
            run.request_id, run.first_event, path=run.path, lineage=run.lineage
        )
        if request.path.startswith(LONG_STREAMS):
            pause_s = self.rng.uniform(MIN_LONG_INTERVAL_S, MAX_LONG_INTERVAL_S)
        else:
            pause_s = EVENT_INTERVAL_S + slow_s / max(len(events), 1)
        is_unframed = self.rng.random() < UNFRAMED_SHARE
        answer: type[FramedAnswer | UnframedAnswer]
        answer = UnframedAnswer if is_unframed else FramedAnswer
        sending = answer(request, {**signed, "Content-Type": "text/event-stream"})
        await sending.begin()
        for event in events:
            await self._work(request, pause_s, stream.stopping)
            if not stream.stopping.is_set():
                await sending.write(event)
                stream.n_sent += 1
                continue
            run.end = RunEnd.BROKEN_OFF if stream.is_closed else RunEnd.STOPPED
            if self.rng.random() < MID_EVENT_SHARE:
                await sending.write(event[: len(event) // 2])
            sending.close()
            raise ConnectionResetError("The run was stopped.")
        return await sending.end()

    async def _move(self, request: web.Request) -> web.Response:
        """Answer a call that moves a run, with what becomes of the call drawn."""
        body = msgspec.json.decode(await request.read(), type=MoveBody)
        outcome = self.rng.choice(self.outcomes)
        if not body.last and (
            outcome not in COPY_OUTCOMES or self.rng.random() >= COPY_FAULT_SHARE
        ):
            outcome = CallOutcome.DONE
        self.calls.append(
            MoveCall(
                request_id=body.id,
                endpoint=self.endpoint_id,
                target=body.target,
                is_last=body.last,
                outcome=outcome,
                at_s=time.monotonic(),
            )
        )
        if outcome is CallOutcome.DELAYED:
            task = asyncio.create_task(self._execute_later(body))
            self.delayed.add(task)
            task.add_done_callback(self.delayed.discard)
        if outcome in (CallOutcome.DELAYED, CallOutcome.NOT_EXECUTED):
            return await self._lose_answer(request)
        answer = await self._execute(body, has_room=outcome is not CallOutcome.NO_ROOM)
        if outcome is CallOutcome.LOST:
            return await self._lose_answer(request)
        if outcome is CallOutcome.NOT_FOUND:
            return web.json_response({}, status=404)
        if outcome is CallOutcome.LATE:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_LATE_S))
        return answer

    async def _lose_answer(self, request: web.Request) -> web.Response:
        """Reset the connection, at once or after a silence."""
        if self.rng.random() < 0.5:
            await asyncio.sleep(HANG_S)
        if request.transport is not None:
            reset_transport(request.transport)
        return web.Response()

    async def _execute_later(self, body: MoveBody) -> None:
        await asyncio.sleep(self.rng.uniform(0.2, MAX_DELAY_S))
        await self._execute(body, has_room=True)

    async def _execute(self, body: MoveBody, *, has_room: bool) -> web.Response:
        stream = self.streams.get(body.id)
        if stream is None:
            return web.json_response({}, status=404)
        if stream.is_moving:
            return web.json_response({}, status=409)
        stream.is_moving = True
        try:
            if body.last:
                stream.stopping.set()
                await stream.ended.wait()
                if stream.run.end is not RunEnd.STOPPED:
                    return web.json_response({}, status=404)
            copy = self._keep(stream, body.target)
            await asyncio.sleep(self.rng.uniform(0.0, MAX_COPY_S))
            target = self._find_target(body.target)
            content = {"handle": copy.handle, "createRevision": stream.n_sent}
            if target is None or not has_room or not target.take_copy(copy):
                if not copy.is_stopped:
                    self.copies.pop(copy.handle, None)
                    content = {}
                return web.json_response(content, status=503)
            return web.json_response(content)
        finally:
            stream.is_moving = False

    def _keep(self, stream: RunningStream, target: str) -> KvCopy:
        """Return the copy of a run for a target; a run has one for each."""
        is_stopped = stream.ended.is_set()
        for copy in self.copies.values():
            if copy.run is stream.run and copy.target == target:
                copy.is_stopped = is_stopped
                return copy
        self.n_handles += 1
        copy = KvCopy(
            handle=f"{self.endpoint_id}.{self.n_handles}",
            run=stream.run,
            source=self.address,
            target=target,
            made_s=time.monotonic(),
            is_stopped=is_stopped,
        )
        self.copies[copy.handle] = copy
        return copy

    def _find_target(self, address: str) -> SoakEngine | None:
        for peer in self.peers:
            if isinstance(peer, SoakEngine) and peer.address == address:
                is_reached = peer.link is not None and not peer.link.faults.is_cut
                return peer if is_reached and peer.runner is not None else None
        return None

    def take_copy(self, copy: KvCopy) -> bool:
        """Store a copy from another engine; return whether there is room."""
        since_s = time.monotonic() - HANDLE_S
        self.copies = {
            handle: held
            for handle, held in self.copies.items()
            if held.made_s > since_s
        }
        n_reserved = sum(
            not held.is_used and held.source != self.address
            for held in self.copies.values()
        )
        if copy.handle not in self.copies and self.n_running + n_reserved >= N_SLOTS:
            return False
        self.copies[copy.handle] = copy
        return True

    def _drop(self, handle: str) -> web.Response:
        """Drop a copy, at both ends if this is the source."""
        copy = self.copies.pop(handle, None)
        if copy is None:
            return web.json_response({}, status=404)
        target = self._find_target(copy.target)
        if copy.source == self.address and target is not None:
            target.copies.pop(handle, None)
        return web.json_response({})


def make_endpoint(
    deployment: Any, name: str, service: str, data_centre: str, version: str = "v1"
) -> SoakEndpoint:
    """Return an endpoint of a deployment, an engine if its service is that."""
    cls = SoakEngine if service == "engine" else SoakEndpoint
    endpoint = cls(
        name,
        service,
        data_centre,
        deployment.platform,
        deployment.runs,
        deployment.rng,
        version=version,
    )
    if isinstance(endpoint, SoakEngine):
        endpoint.peers = deployment.endpoints
    return endpoint


def ready_engines(endpoints: Sequence[SoakEndpoint]) -> list[SoakEngine]:
    """Return the engines that are up and take new work."""
    return [
        endpoint
        for endpoint in endpoints
        if isinstance(endpoint, SoakEngine)
        and endpoint.runner is not None
        and endpoint.state is EndpointState.READY
    ]
