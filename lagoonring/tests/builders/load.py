"""Builders for load settings, answer events, reports and fake entry instances."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web

from lagoonring.load.arrivals import ChatArrival, Message
from lagoonring.load.checker import BookingFaults
from lagoonring.load.counts import EngineCounts
from lagoonring.load.options import LoadSettings
from lagoonring.load.results import (
    Checks,
    Costs,
    Latency,
    MoveResult,
    Outcomes,
    Report,
    SecondResult,
)
from lagoonring.settings import convert
from lagoonring.standins.tokens import text_of, token_at
from lagoonring.tests.builders.deployments import KEYS, OPERATOR_TOKEN

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from lagoonring.tests.builders.deployments import Deployment

FOREIGN_TOKEN = " x0000"
REQUEST_ID = "entry-0.1"
MOVE = MoveResult(
    name="move-1", entry="guide", to_version="2", phase="finished", is_in_time=True
)


def make_load_settings(**overrides: Any) -> LoadSettings:
    """Return settings of a short run with two organisations."""
    document: dict[str, Any] = {
        "duration_s": 1.0,
        "balancer_check_s": 0.0,
        "entries": [make_target("entry-0", "http://127.0.0.1:1")],
        "organisations": {
            "hann": {"key": KEYS["hann"], "weight": 3},
            "ngor": {"key": KEYS["ngor"]},
        },
        "classes": {"assistant": {}, "desk": {"deadline_ms": 5000}},
        "chats": [
            {
                "entry": "guide",
                "service_class": "assistant",
                "conversations_per_s": 10,
                "think_s": 0.1,
                "system_bytes": 600,
                "n_tokens_least": 3,
                "n_tokens_most": 9,
            }
        ],
        "calls": [
            {
                "entry": "booking",
                "service_class": "desk",
                "per_s": 10,
                "resend_share": 0.5,
            },
            {
                "entry": "booking",
                "service_class": "desk",
                "method": "GET",
                "per_s": 10,
            },
        ],
    }
    return convert({**document, **overrides}, LoadSettings)


def make_target(instance: str, url: str) -> dict[str, str]:
    """Return an item of the ``entries`` setting."""
    return {"instance": instance, "data_centre": "plateau", "url": url}


def settings_for(deployment: Deployment, **overrides: Any) -> LoadSettings:
    """Return settings of a run on an in-process deployment."""
    running = {"engines": deployment.engines, "services": deployment.services}
    targets = {
        section: {name: {"url": standin.url} for name, standin in standins.items()}
        for section, standins in running.items()
    }
    entries = [
        make_target(f"entry-{index}", deployment.url(index))
        for index in range(len(deployment.entries))
    ]
    return make_load_settings(
        entries=entries, operator_token=OPERATOR_TOKEN, **targets, **overrides
    )


def make_chat(n_tokens: int = 8) -> ChatArrival:
    """Return a chat request that arrives at the start of the run."""
    return ChatArrival(
        at_s=0.0,
        name="chat",
        organisation="hann",
        entry="guide",
        service_class="assistant",
        messages=(Message(role="user", content="when are the turtles fed"),),
        n_tokens=n_tokens,
    )


def make_event(prompt: str, start: int, stop: int, *, text: str = "") -> bytes:
    """Return the event that carries tokens ``start`` to ``stop - 1``."""
    content = text or text_of(prompt, start, stop)
    chunk = {"choices": [{"delta": {"content": content}}]}
    return f"id: {REQUEST_ID}:{stop}\ndata: {json.dumps(chunk)}".encode()


def make_events(prompt: str, n_tokens: int) -> list[bytes]:
    """Return the events of an answer, one token each, without the end marker."""
    return [make_event(prompt, k, k + 1) for k in range(n_tokens)]


def make_faulty_events(
    prompt: str,
    n_tokens: int,
    *,
    lost: Iterable[int],
    doubled: Iterable[int],
    foreign: Iterable[int],
) -> list[bytes]:
    """Return an answer's events with tokens omitted, repeated and replaced."""
    events = []
    for k in range(n_tokens):
        if k in lost:
            continue
        if k in foreign:
            events.append(make_event(prompt, k, k + 1, text=FOREIGN_TOKEN))
            assert token_at(prompt, k) != FOREIGN_TOKEN
            continue
        events.append(make_event(prompt, k, k + 1))
        if k in doubled:
            events.append(events[-1])
    return [*events, b"data: [DONE]"]


@attrs.define
class FakeEntry:
    """A fake entry instance; ``positions`` are the Last-Event-IDs of re-attachments.

    Parameters
    ----------
    arrival : ChatArrival
        Chat request that it answers.
    n_before_break : int
        Tokens after which the stream of a new request breaks off; None: never.
    n_refused : int
        Number of requests to refuse at the start.
    n_held : int
        No request is answered before this many have arrived.
    """

    arrival: ChatArrival
    n_before_break: int | None = None
    n_refused: int = 0
    n_held: int = 0
    n_received: int = 0
    is_ready: bool = True
    deadlines: list[int] = attrs.field(factory=list)
    positions: list[str] = attrs.field(factory=list)
    all_arrived: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def ask(self, request: web.Request) -> web.StreamResponse:
        """Answer a chat request, refuse it, or break off its stream."""
        self.n_received += 1
        self.deadlines.append(int(request.headers["X-Deadline-Ms"]))
        if self.n_received >= self.n_held:
            self.all_arrived.set()
        await self.all_arrived.wait()
        if self.n_refused:
            self.n_refused -= 1
            error = {"code": "overloaded", "outcome": "not_run", "retry_after_s": 0.01}
            return web.json_response({"error": error}, status=503)
        return await self._send(request, 0, self.n_before_break)

    async def attach(self, request: web.Request) -> web.StreamResponse:
        """Resume the stream after the caller's Last-Event-ID."""
        self.positions.append(request.headers["Last-Event-ID"])
        start = int(self.positions[-1].rpartition(":")[2])
        return await self._send(request, start, None)

    async def get_ready(self, request: web.Request) -> web.Response:
        """Answer readiness probes, 200 if ready and 503 otherwise."""
        return web.json_response({}, status=200 if self.is_ready else 503)

    async def _send(
        self, request: web.Request, start: int, stop: int | None
    ) -> web.StreamResponse:
        answer = web.StreamResponse(headers={"X-Request-Id": REQUEST_ID})
        await answer.prepare(request)
        events = make_events(self.arrival.prompt, self.arrival.n_tokens)[start:stop]
        for event in events:
            await answer.write(event + b"\n\n")
        if stop is None:
            await answer.write(b"data: [DONE]\n\n")
        return answer


@contextlib.asynccontextmanager
async def serve(entry: FakeEntry) -> AsyncIterator[str]:
    """Serve a fake entry instance until the block ends and yield its root URL."""
    app = web.Application()
    app.add_routes(
        [
            web.post("/v1/chat/completions", entry.ask),
            web.get("/v1/streams/{request_id}", entry.attach),
            web.get("/readyz", entry.get_ready),
        ]
    )
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


def make_report(policy: str, *, n_in_target: int, p90_ms: float) -> Report:
    """Return a report of one kind of request with round numbers."""
    return Report(
        name="dakar",
        policy=policy,
        seed=7,
        duration_s=30.0,
        took_s=31.5,
        n_entries=8,
        n_arrived=200,
        outcomes=[
            Outcomes(
                kind="chat",
                organisation="all",
                n=200,
                n_whole=198,
                n_in_target=n_in_target,
                n_refused=2,
            )
        ],
        latencies=[
            Latency(
                kind="chat",
                measure="first_token",
                organisation=organisation,
                n=198,
                p50_ms=40.0,
                p90_ms=p90_ms,
                p99_ms=2 * p90_ms,
                most_ms=3 * p90_ms,
            )
            for organisation in ("all", "hann")
        ],
        seconds=[
            SecondResult(
                second=0, n_arrived=9, n_whole=9, n_in_target=8, n_refused=0, n_lost=0
            )
        ],
        checks=Checks(n_answers=198, bookings=BookingFaults(n_keys=10, n_doubled=1)),
        costs=Costs(source="cloud", total=0.5, per_1000_in_target=500 / n_in_target),
        engines=EngineCounts(n_blocks_prefilled=300, n_blocks_cached=700),
        moves=[MOVE],
    )
