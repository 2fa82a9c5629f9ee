"""Stand-in for a plain booking service over HTTP, with run counts and faults.

``POST`` of ``{"seats": N}`` to any path books that many of the path's seats; ``GET``
returns how many are left. ``GET /runs`` returns how often each key was run.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Any

import attrs
import msgspec
from aiohttp import web

from lagoonring.endpoints.messages import LoadReport
from lagoonring.kernel import Clock
from lagoonring.settings.validators import between
from lagoonring.standins.answer_swap import AnswerSwap
from lagoonring.standins.fault_counts import consume_fault
from lagoonring.standins.http_server import (
    BODY_LIMIT_BYTES,
    answer_json,
    answer_not_run,
    wait_forever,
)
from lagoonring.standins.http_standin import HttpStandin
from lagoonring.standins.options import PlainOptions

READ_METHODS = ("GET", "HEAD", "OPTIONS")
HELD_TIMEOUT_S = 10.0
N_SLOTS = 64
MANY = 1_000_000_000


@attrs.define(kw_only=True)
class PlainFaults:
    """Faults in force.

    Counts (``n_...``) go down with each request hit, all other faults stay until
    changed. ``n_lost`` requests run and lose their answer, ``n_cut`` lose the second
    half of it, ``n_refused`` are not run (503), ``n_errors`` run and answer 500,
    ``n_late`` answer after ``late_s``, ``n_crossed`` swap answers in pairs.
    ``is_held`` holds back all answers after the run.
    """

    n_lost: int = attrs.field(default=0, validator=between(0, MANY))
    n_cut: int = attrs.field(default=0, validator=between(0, MANY))
    n_refused: int = attrs.field(default=0, validator=between(0, MANY))
    n_errors: int = attrs.field(default=0, validator=between(0, MANY))
    n_late: int = attrs.field(default=0, validator=between(0, MANY))
    late_s: float = attrs.field(default=0.0, validator=between(0, 3600))
    n_crossed: int = attrs.field(default=0, validator=between(0, MANY))
    slow_factor: float = attrs.field(default=1.0, validator=between(0.01, 1000))
    is_held: bool = False
    crash_on: list[str] = attrs.field(factory=list)
    restart_s: float = attrs.field(default=1.0, validator=between(0, 3600))
    refuse_s: float = attrs.field(default=0.0, validator=between(0, 3600))


@attrs.frozen(kw_only=True)
class PlainBody:
    """Request body of a booking; other keys are ignored."""

    seats: int = 1


@attrs.frozen(kw_only=True)
class Run:
    """A run, as returned to the caller; ``run`` counts from 1 over all keys."""

    run: int
    key: str
    method: str
    path: str
    seats_left: int
    is_sold_out: bool = False


@attrs.frozen
class Reply:
    """A run and the ids of the request to which it belongs."""

    run: Run
    request_id: str
    attempt_id: str


class PlainStandin(HttpStandin[PlainFaults]):
    """HTTP server of a plain service.

    Parameters
    ----------
    options : PlainOptions or None
        Seats, speed and whether keys are deduplicated.
    host, port : str, int
        Where to listen; port 0 lets the system choose.
    clock : Clock or None
        Times the answers.
    """

    def __init__(
        self,
        options: PlainOptions | None = None,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Clock | None = None,
    ) -> None:
        self.options = options or PlainOptions()
        self.clock = clock or Clock()
        self.faults = PlainFaults()
        self.faults_changed = asyncio.Event()
        self.answer_swap: AnswerSwap[Reply] = AnswerSwap()
        self.n_requests = 0
        self.n_runs = 0
        self.n_runs_by_key: OrderedDict[str, int] = OrderedDict()
        self.runs_by_key: OrderedDict[str, Run] = OrderedDict()
        self.seats: dict[str, int] = {}
        self.n_running = 0
        self.n_held = 0
        self.held_changed = asyncio.Event()
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        routes = [
            web.get("/load", self._load),
            web.get("/runs", self._runs),
            web.get("/held", self._held),
            web.route("*", "/{path:.*}", self._call),
        ]
        super().__init__(app, routes, host=host, port=port)

    def begin(self) -> None:
        """Accept connections, as on a new instance; bookings are persistent."""
        self.server.spawn(self.server.accept())

    def end(self) -> None:
        """Reset all connections and refuse new ones, as the instance has ended."""
        self.server.spawn(self.server.crash(None))

    async def wait_until_held(self, n: int) -> None:
        """Return once at least ``n`` answers are held back."""
        while self.n_held < n:
            await self.held_changed.wait()

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.n_requests += 1
        if any(text.encode() in body for text in self.faults.crash_on):
            await self.server.crash(self.faults.restart_s)
            await wait_forever()
        if consume_fault(self.faults, "n_refused"):
            return answer_not_run("refused", "Got a fault on command.")
        if request.method in READ_METHODS:
            run = self._read(request)
        else:
            try:
                booking = msgspec.json.decode(body or b"{}", type=PlainBody)
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                return answer_json({"error": str(error)}, status=400)
            run = self._run_once(request, booking)
        self.n_running += 1
        try:
            return await self._answer(request, run)
        finally:
            self.n_running -= 1

    def _read(self, request: web.Request) -> Run:
        n_seats_left = self.seats.get(request.path, self.options.n_seats)
        key = request.headers.get("Idempotency-Key", "")
        return Run(
            run=0,
            key=key,
            method=request.method,
            path=request.path,
            seats_left=n_seats_left,
        )

    def _run_once(self, request: web.Request, booking: PlainBody) -> Run:
        """Run, or return the earlier run of the key if keys are deduplicated."""
        key = request.headers.get("Idempotency-Key", "")
        if self.options.deduplicates and key in self.runs_by_key:
            return self.runs_by_key[key]
        self.n_runs += 1
        n_seats_left = self.seats.get(request.path, self.options.n_seats)
        is_sold_out = n_seats_left < booking.seats
        if not is_sold_out:
            n_seats_left -= max(0, booking.seats)
            self.seats[request.path] = n_seats_left
        run = Run(
            run=self.n_runs,
            key=key,
            method=request.method,
            path=request.path,
            seats_left=n_seats_left,
            is_sold_out=is_sold_out,
        )
        if key:
            self._record(key, run)
        return run

    def _record(self, key: str, run: Run) -> None:
        self.n_runs_by_key[key] = self.n_runs_by_key.get(key, 0) + 1
        self.runs_by_key.setdefault(key, run)
        while len(self.n_runs_by_key) > self.options.n_runs_kept:
            oldest, _ = self.n_runs_by_key.popitem(last=False)
            self.runs_by_key.pop(oldest, None)

    async def _answer(self, request: web.Request, run: Run) -> web.StreamResponse:
        """Answer a run, with the faults in force."""
        await self._wait(self.options.answer_s * self.faults.slow_factor)
        await self._hold()
        if consume_fault(self.faults, "n_lost"):
            _close(request)
        if consume_fault(self.faults, "n_late"):
            await self._wait(self.faults.late_s)
        reply = Reply(
            run,
            request.headers.get("X-Request-Id", ""),
            request.headers.get("X-Attempt-Id", ""),
        )
        if consume_fault(self.faults, "n_crossed"):
            reply = await self.answer_swap.swap(reply)
        headers = {
            "X-Request-Id": reply.request_id,
            "X-Attempt-Id": reply.attempt_id,
        }
        if consume_fault(self.faults, "n_errors"):
            return web.json_response({"error": "a fault"}, status=500, headers=headers)
        body = msgspec.json.encode(reply.run)
        if consume_fault(self.faults, "n_cut"):
            return await _answer_half(request, body, headers)
        status = 409 if reply.run.is_sold_out else 200
        return web.Response(
            body=body, status=status, content_type="application/json", headers=headers
        )

    async def _wait(self, delay_s: float) -> None:
        if delay_s > 0:
            await self.clock.sleep(delay_s)

    async def _hold(self) -> None:
        if not self.faults.is_held:
            return
        self._count_held(1)
        try:
            while self.faults.is_held:
                await self.faults_changed.wait()
        finally:
            self._count_held(-1)

    def _count_held(self, change: int) -> None:
        self.n_held += change
        self.held_changed.set()
        self.held_changed = asyncio.Event()

    async def _load(self, request: web.Request) -> web.Response:
        report = LoadReport(
            n_running=self.n_running,
            n_slots=N_SLOTS,
            versions=["1"],
            time_s=self.clock.time(),
        )
        return answer_json(report)

    async def _runs(self, request: web.Request) -> web.Response:
        runs: dict[str, Any] = {"n_runs": self.n_runs, "by_key": self.n_runs_by_key}
        return answer_json(runs)

    async def _held(self, request: web.Request) -> web.Response:
        n = int(request.query.get("n", "1"))
        async with asyncio.timeout(HELD_TIMEOUT_S):
            await self.wait_until_held(n)
        return answer_json({"n_held": self.n_held})

    async def set_faults(self, faults: PlainFaults) -> None:
        """Put faults in force; start to refuse connections if requested."""
        self.faults = faults
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()
        if faults.refuse_s > 0:
            duration_s, faults.refuse_s = faults.refuse_s, 0.0
            await self.server.refuse(duration_s)


async def _answer_half(
    request: web.Request, body: bytes, headers: dict[str, str]
) -> web.StreamResponse:
    """Send half of an answer and close the connection."""
    response = web.StreamResponse(headers=headers)
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    _close(request)
    return response


def _close(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.close()
