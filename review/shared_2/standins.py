"""Stand-ins that follow the users' pages: plain servers, and engines with streams.

The platform is the project's own stand-in, one for the store and one for the cloud.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import msgspec
from aiohttp import web

from lagoonring.platform.store import STATUS_TOPIC, decode_batch
from lagoonring.standins.platform_standin import PlatformStandin

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.shared_2.deployment import Record

HEARTBEAT_S = 1.2
DRAINS_AFTER_S, DRAIN_S = 4.0, 2.0
HOST = "case.example"
KEY = "key-of-one"
TENANT = "one"
MAX_PER_S = 1000
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


@attrs.define
class Arrival:
    """A request that a server ran; ``failed_s`` is when it answered with a failure."""

    request_id: str
    at_s: float
    failed_s: float | None = None


class Server:
    """A server of a plain service, registered in the store.

    Parameters
    ----------
    fails : callable or None
        ``fails(server)`` returns whether the answer to the request that has just
        arrived is a failure of the server, status 500.
    """

    def __init__(
        self,
        name: str,
        *,
        service: str,
        zone: str,
        version: str,
        store: PlatformStandin,
        record: Record,
        work_s: float = 0.09,
        slots: int = 64,
        fails: Callable[[Server], bool] | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.store = store
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.fails = fails
        self.state = "ready"
        self.extra: dict[str, Any] = {}
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.address = ""
        self.n_running = 0
        self.arrivals: list[Arrival] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.rng = random.Random(name)
        self.runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen, and register."""
        self.runner = web.ServerRunner(
            web.Server(self.handle, handler_cancellation=True), shutdown_timeout=0.1
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self.spawn(self._check_in())

    async def stop(self) -> None:
        """Exit; whatever runs is cut off."""
        for task in self.tasks:
            task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    def spawn(self, work: Any) -> None:
        """Run a task of this server."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def register(self) -> None:
        """Write the server's entry; the store has accepted it when this returns."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.sequence,
            "born": self.born_ms,
            **self.extra,
        }
        self.store.write_endpoint(self.name, entry)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        request_id = request.headers.get("Lagoonring-Request-Id")
        expected = request.headers.get("Lagoonring-Expect-Instance")
        body = await request.read()
        if request_id is None:
            return await self.handle_other(request, body)
        if expected not in (None, self.name):
            return self.refuse(request_id, 421)
        return await self.run(request, request_id)

    async def handle_other(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        """Answer a call that is no request of a requester."""
        return web.Response(status=200, headers={"Lagoonring-Instance-Id": self.name})

    def refuse(self, request_id: str, status: int) -> web.StreamResponse:
        """Return the answer to a request that is not run."""
        headers = {
            "Lagoonring-Request-Id": request_id,
            "Lagoonring-Not-Executed": "1",
        }
        return web.Response(status=status, headers=headers)

    async def run(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        """Run a request, and answer with the server's stamp."""
        arrival = Arrival(request_id, time.monotonic())
        self.arrivals.append(arrival)
        is_failure = self.fails is not None and self.fails(self)
        self.record.add(
            "runs",
            server=self.name,
            version=self.version,
            id=request_id,
            fails=int(is_failure),
        )
        self.n_running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.n_running -= 1
        headers = {
            "Lagoonring-Request-Id": request_id,
            "Lagoonring-Response-Stamp": STAMP,
            "Lagoonring-Server-Load": f"{self.n_running},0,{self.slots}",
        }
        if is_failure:
            arrival.failed_s = time.monotonic()
        status = 500 if is_failure else 200
        return web.Response(status=status, headers=headers, body=b"x" * 200)

    def rate_per_s(self) -> int:
        """Return the requests that arrived in the last second."""
        since_s = time.monotonic() - 1
        newest = self.arrivals[-MAX_PER_S:]
        return sum(arrival.at_s > since_s for arrival in newest)

    async def _check_in(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)


def make_route(
    name: str,
    service: str,
    *,
    kind: str,
    timeout_ms: float,
    slo_ms: float,
    max_attempts: int = 1,
    **more: Any,
) -> dict[str, Any]:
    """Return a route with the prefix ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "sloMs": slo_ms,
        "priority": 1,
        "maxAttempts": max_attempts,
        **more,
    }


def make_config(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a config with one tenant that has no limit."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "ratePerS": 0, "burst": 0}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Requesters:
    """Sends requests to instances, and counts the answers."""

    def __init__(self, session: aiohttp.ClientSession, record: Record) -> None:
        self.session = session
        self.record = record
        self.rng = random.Random(7)
        self.sent_s: dict[str, float] = {}
        self.statuses: dict[str, str] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def call(self, url: str, path: str, *, deadline_ms: int) -> str:
        """Send one request; return the status, or what became of it."""
        request_id = f"{self.rng.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            "Lagoonring-Request-Id": request_id,
            "Lagoonring-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}",
        }
        self.sent_s[request_id] = time.monotonic()
        self.record.add("sent", id=request_id, to=url + path)
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 1)
        try:
            async with self.session.post(
                url + path, data=b"{}", headers=headers, timeout=timeout
            ) as response:
                await response.read()
                got = str(response.status)
        except (TimeoutError, aiohttp.ClientError) as error:
            got = type(error).__name__
        self.statuses[request_id] = got
        self.record.add("answered", id=request_id, status=got)
        return got

    def count(self, from_s: float, to_s: float) -> tuple[int, int]:
        """Return how many requests sent in a span were served, and how many sent."""
        sent = [name for name, at_s in self.sent_s.items() if from_s <= at_s < to_s]
        n_served = sum(self.statuses.get(name) == "200" for name in sent)
        return n_served, len(sent)

    async def press(
        self,
        urls: list[str],
        path: str,
        *,
        per_s: float,
        until_s: float,
        deadline_ms: int,
    ) -> None:
        """Send requests at a steady rate until a time, and wait for their answers."""
        next_s = time.monotonic()
        while next_s < until_s:
            url = self.rng.choice(urls)
            task = asyncio.create_task(self._call(url, path, deadline_ms))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            next_s += 1 / per_s
            await asyncio.sleep(max(next_s - time.monotonic(), 0))
        if self.tasks:
            await asyncio.wait(set(self.tasks))

    async def _call(self, url: str, path: str, deadline_ms: int) -> None:
        await self.call(url, path, deadline_ms=deadline_ms)


class Engine(Server):
    """A model server whose answers are streams, with the calls that move a run.

    Parameters
    ----------
    n_events, gap_s : int, float
        Events of a stream, and the time between two of them.
    """

    def __init__(
        self, *args: Any, n_events: int = 80, gap_s: float = 0.1, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self.n_events = n_events
        self.gap_s = gap_s
        self.leaves_s: float | None = None
        self.runs: dict[str, int] = {}
        self.stopping: set[str] = set()
        self.kept: dict[str, tuple[str, int]] = {}
        self.peers: dict[str, Engine] = {}
        self.n_handles = 0
        # Sends of a run that this engine had stopped, by when they arrived.
        self.continued_s: list[float] = []

    def reclaim(self, notice_s: float) -> None:
        """Report draining, and the time that remains."""
        self.state = "draining"
        self.leaves_s = time.monotonic() + notice_s
        self.extra["leaves_ms"] = int(notice_s * 1000)
        self.register()

    def has_room(self) -> bool:
        """Return whether a further run, or the copy of one, finds a slot."""
        return len(self.runs) < self.slots

    async def handle_other(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        """Answer ``/report`` and ``/kv-move``."""
        if request.path == "/report":
            return web.json_response(self._report())
        if request.path == "/kv-move":
            return await self._move(msgspec.json.decode(body))
        return await super().handle_other(request, body)

    async def run(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        """Stream events, from the one after ``Last-Event-Id`` on."""
        now_s = time.monotonic()
        handle = request.headers.get("Kv-From", "").partition("/")[2]
        if handle:
            if self.kept.pop(handle, None) is None:
                return self.refuse(request_id, 503)
            self.continued_s.append(now_s)
        elif not self.has_room():
            return self.refuse(request_id, 503)
        self.arrivals.append(Arrival(request_id, now_s))
        last = request.headers.get("Last-Event-Id")
        first = 0 if last is None else int(last) + 1
        self.record.add(
            "runs", server=self.name, id=request_id, first=first, handle=handle or "-"
        )
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Lagoonring-Request-Id": request_id,
                "Lagoonring-Response-Stamp": STAMP,
            }
        )
        response.enable_chunked_encoding()
        self.runs[request_id] = first
        try:
            await asyncio.sleep(self.work_s)
            await response.prepare(request)
            for number in range(first, self.n_events):
                if request_id in self.stopping:
                    assert request.transport is not None
                    request.transport.close()
                    return response
                event = f"id: {number}\ndata: event {number}\n\n"
                await response.write(event.encode())
                self.runs[request_id] = number + 1
                await asyncio.sleep(self.gap_s)
            await response.write_eof()
        finally:
            self.runs.pop(request_id, None)
            self.stopping.discard(request_id)
        return response

    def _report(self) -> dict[str, Any]:
        report: dict[str, Any] = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "queued": 0,
            "running": len(self.runs),
            "kvUsed": 10_000 * len(self.runs),
            "kvTotal": 10_000 * self.slots,
            "handles": len(self.kept),
            "state": self.state,
        }
        if self.leaves_s is not None:
            report["leaves_ms"] = int((self.leaves_s - time.monotonic()) * 1000)
        return report

    async def _move(self, call: dict[str, Any]) -> web.StreamResponse:
        """Stop a run; copy its memory if the other engine has room."""
        request_id, target = call["id"], self.peers.get(call["target"])
        if request_id not in self.runs:
            return web.Response(status=404)
        self.stopping.add(request_id)
        self.n_handles += 1
        handle, n_events = f"h{self.n_handles}", self.runs[request_id]
        self.kept[handle] = (request_id, n_events)
        has_room = target is not None and target.has_room()
        if target is not None and has_room:
            target.kept[handle] = (request_id, n_events)
        self.record.add(
            "kv-move", server=self.name, id=request_id, status=200 if has_room else 503
        )
        content = {"handle": handle, "createRevision": n_events}
        return web.json_response(content, status=200 if has_room else 503)


class LateStore(PlatformStandin):
    """A store that loses the answer of a write, and executes the write later.

    ``late_s`` is how much later, ``picks`` which write it is; only one is hit.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.late_s = 0.0
        self.picks: Callable[[str, bytes], bool] | None = None
        self.late_tasks: set[asyncio.Task[None]] = set()

    async def _append(self, request: web.Request) -> web.Response:
        topic, body = request.query["topic"], await request.read()
        if self.picks is None or not self.picks(topic, body):
            return await super()._append(request)
        self.picks = None
        self.record.add("store loses an answer", topic=topic)
        self.late_tasks.add(asyncio.create_task(self._append_late(topic, body)))
        # The channel returns nothing further.
        await asyncio.sleep(30)
        return web.Response(status=503)

    async def _append_late(self, topic: str, body: bytes) -> None:
        await asyncio.sleep(self.late_s)
        offset = self._add(topic, list(decode_batch(body)))
        self.record.add("store executes it", topic=topic, offset=offset)


class Rollout:
    """The operator's side of a roll-out: the order, and what follows on each state.

    At ``completed`` the old servers stop at once, at ``rolled_back`` the new ones drain
    some seconds later.
    """

    def __init__(
        self,
        store: PlatformStandin,
        record: Record,
        old: list[Server],
        new: list[Server],
        *,
        duration_s: float,
    ) -> None:
        self.store = store
        self.record = record
        self.old = old
        self.new = new
        self.service = old[0].service
        self.duration_s = duration_s
        self.ordered_s = 0.0
        self.states: list[str] = []

    async def order(self) -> None:
        """Write the order, and start the new servers alongside the old ones."""
        content = {
            "service": self.service,
            "target": self.new[0].version,
            "durationS": self.duration_s,
        }
        self.store.write_operator(f"rollout/{self.service}", content)
        self.ordered_s = time.monotonic()
        self.record.add("ordered", **content)
        for server in self.new:
            await server.start()

    async def follow(self) -> None:
        """Act on each state that the system writes, until cancelled."""
        n_read = 0
        while True:
            topic = self.store.topics.get(STATUS_TOPIC)
            records = topic.records[n_read:] if topic is not None else []
            n_read += len(records)
            for record in records:
                status = msgspec.json.decode(record[1 + record[0] :])
                self.states.append(status["state"])
                self.record.add("status", **status)
                if status["state"] == "completed":
                    await _end(self.store, self.old)
                elif status["state"] == "rolled_back":
                    await asyncio.sleep(DRAINS_AFTER_S)
                    for server in self.new:
                        server.state = "draining"
                        server.register()
                    await asyncio.sleep(DRAIN_S)
                    await _end(self.store, self.new)
            await asyncio.sleep(0.05)


async def _end(store: PlatformStandin, servers: list[Server]) -> None:
    for server in servers:
        store.write_endpoint(server.name, None)
        await server.stop()
