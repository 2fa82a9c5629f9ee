"""A service whose endpoints crash on a part of a prompt, behind many instances."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.endpoints.errors import EndpointConnectError, EndpointCutError
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.path import RequestPath
from lagoonring.serving.state_sync import StateSync
from lagoonring.serving.true_time import TrueClock
from lagoonring.tests.builders.exchanges import ROUND_S, Deployment
from lagoonring.tests.builders.serving import (
    CapturingSink,
    FakeAnswer,
    make_configuration,
    make_event,
    make_parts,
    make_record,
    make_request,
    make_route,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

TICK_S = 0.05
BEGIN_S = 0.1  # until an answer begins
EVENT_GAP_S = 0.1
N_EVENTS = 8
RESTART_S = 3.0
STABLE_S = 3.0  # after which the instances must have learned of a crash
CULPRIT = "bad0"


class Breakable:
    """An endpoint that crashes, cuts what it runs and is back after some seconds."""

    def __init__(self, name: str, clock: Any) -> None:
        self.name = name
        self.clock = clock
        self.crashed = asyncio.Event()
        self.back_s = 0.0
        self.n_lives = 1

    @property
    def is_down(self) -> bool:
        """Whether the endpoint has not restarted yet."""
        return self.clock.monotonic() < self.back_s

    def crash(self) -> None:
        """Cut everything that runs."""
        self.crashed.set()
        self.crashed = asyncio.Event()
        self.back_s = self.clock.monotonic() + RESTART_S
        self.n_lives += 1

    async def run(self, crashed: asyncio.Event, seconds: float) -> None:
        """Work for a time; raises ``EndpointCutError`` if the endpoint crashes."""
        for _ in range(max(round(seconds / TICK_S), 1)):
            await self.clock.sleep(TICK_S)
            if crashed.is_set():
                raise EndpointCutError("Got a cut, expected an answer.")


class StreamingAnswer(FakeAnswer):
    """An answer whose events are made while the endpoint runs."""

    def __init__(self, endpoint: Breakable, crashed: asyncio.Event) -> None:
        super().__init__()
        self.endpoint, self.life = endpoint, crashed

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the events."""
        for number in range(N_EVENTS):
            yield make_event(number)
            await self.endpoint.run(self.life, EVENT_GAP_S)


@attrs.frozen
class Arrival:
    """A request that reached an endpoint, or with ``sink`` what its caller got.

    ``instance`` is the one that sent it, or that the caller had sent it to.
    """

    at_s: float
    parts: tuple[str, ...]
    is_repeat: bool = False
    sink: CapturingSink | None = None
    instance: str = ""


class InstanceSender:
    """Sends the requests of an instance to the endpoints."""

    def __init__(self, service: CrashingService, instance: str) -> None:
        self.service = service
        self.instance = instance

    async def send(self, request: Any, order: Any) -> FakeAnswer:
        """Send a request once."""
        service = self.service
        endpoint = service.endpoints[order.endpoint.endpoint]
        if endpoint.is_down:
            raise EndpointConnectError("Got no connection, expected one.")
        parts = tuple(part for part, _ in request.prompt_parts)
        is_repeat = request.request_id in service.sent
        service.sent.add(request.request_id)
        now_s = service.clock.monotonic()
        service.arrivals.append(
            Arrival(now_s, parts, is_repeat, instance=self.instance)
        )
        crashed = endpoint.crashed
        await endpoint.run(crashed, BEGIN_S)
        if service.crashes(parts, order.endpoint):
            service.crash_s.append(service.clock.monotonic())
            service.restart_later(endpoint)
            endpoint.crash()
            raise EndpointCutError("Got a cut, expected an answer.")
        return StreamingAnswer(endpoint, crashed)


class CrashingService(Deployment):
    """Instances of three data centres before endpoints that a prompt part crashes.

    ``crashes(parts, record)`` tells whether a request crashes its endpoint. The parts
    of requests, but the last, are drawn from ``sound_parts``.
    """

    def __init__(
        self,
        *,
        crashes: Callable[[tuple[str, ...], Any], bool] | None = None,
        n_endpoints: int = 8,
        n_each: int = 3,
        seed: int = 3,
    ) -> None:
        self.rng = random.Random(seed)
        self.crashes = crashes or (lambda parts, record: CULPRIT in parts[:-1])
        self.names = [f"e{number}" for number in range(n_endpoints)]
        self.endpoints: dict[str, Breakable] = {}
        self.arrivals: list[Arrival] = []
        self.sent: set[str] = set()
        self.crash_s: list[float] = []
        self.outcomes: list[Arrival] = []
        self.tasks: set[asyncio.Task[None]] = set()
        super().__init__(centres=("east", "west", "north"), n_each=n_each)

    def start(self, name: str, **options: Any) -> Any:
        """Start an instance with its own view of the endpoints."""
        exchange = super().start(name, **options)
        for endpoint in self.names:
            self.endpoints.setdefault(endpoint, Breakable(endpoint, self.clock))
        route = make_route(
            name="guide",
            kind=RequestKind.STREAM,
            objective_s=1.0,
            timeout_s=10.0,
            max_wait_s=10.0,
            may_resume=True,
        )
        parts = make_parts(
            self.make_sender(name),
            *(self.record_of(endpoint) for endpoint in self.endpoints.values()),
            configuration=make_configuration(route),
            clock=self.clock,
            exchange=exchange,
            probe=self.make_probe(name),
        )
        parts.app.rng.seed(name)
        exchange.parts = parts
        exchange.state_handler = StateSync(parts, TrueClock(self.clock), None)
        return exchange

    def make_sender(self, instance: str) -> InstanceSender:
        """Return the sender of an instance."""
        return InstanceSender(self, instance)

    def make_probe(self, instance: str) -> Any:
        """Return a function that probes endpoints from an instance."""

        async def probe(record: Any) -> bool:
            return not self.endpoints[record.endpoint].is_down

        return probe

    def record_of(self, endpoint: Breakable) -> Any:
        """Return the record of an endpoint's present life."""
        born_ms = 1000 * endpoint.n_lives
        return make_record(endpoint.name, n_slots=16, born_ms=born_ms)

    def restart_later(self, endpoint: Breakable) -> None:
        """Let a crashed endpoint reappear in the instances' tables."""
        self.tasks.add(asyncio.create_task(self._reappear(endpoint)))

    def parts(self) -> list[Any]:
        """Return the components of each instance."""
        return [exchange.parts for exchange in self.exchanges.values()]

    def crash(self, name: str) -> None:
        """Let an endpoint crash by itself."""
        self.restart_later(self.endpoints[name])
        self.endpoints[name].crash()

    def call(self, instance: str, *parts: str, resume_after: int | None = None) -> None:
        """Let a caller send a request whose prompt has the parts and one of its own."""
        request = make_request(
            request_id=f"{self.rng.getrandbits(64):016x}",
            body=b"%d" % self.rng.getrandbits(32),
            received_s=self.clock.monotonic(),
            allowed_s=10.0,
            resume_after=resume_after,
            prompt_parts=tuple(
                (part, 100) for part in (*parts, f"own{self.rng.getrandbits(40)}")
            ),
        )
        self.tasks.add(asyncio.create_task(self._serve(instance, request)))

    def call_sound(self) -> None:
        """Let a caller send a sound request to any instance."""
        session = f"s{self.rng.randrange(12)}"
        self.call(self.any_instance(), "first", "second", session)

    def any_instance(self) -> str:
        """Return the name of an instance that runs."""
        return self.rng.choice(list(self.exchanges))

    async def play(
        self,
        seconds: float,
        *,
        sound_per_s: float = 30.0,
        bad_per_s: float = 0.0,
        bad_parts: tuple[str, ...] = ("first", CULPRIT, "s1"),
        instances: Callable[[], str] | None = None,
    ) -> None:
        """Let callers send requests while the instances exchange their state."""
        n_ticks_per_round = round(ROUND_S / TICK_S)
        for tick in range(round(seconds / TICK_S)):
            for _ in range(2):
                if self.rng.random() < sound_per_s * TICK_S / 2:
                    self.call_sound()
            if self.rng.random() < bad_per_s * TICK_S:
                self.call((instances or self.any_instance)(), *bad_parts)
            if tick % n_ticks_per_round == 0:
                for exchange in list(self.exchanges.values()):
                    exchange.send_round()
                self.network.deliver()
            await self.clock.advance(TICK_S)

    def bad_arrivals_since(self, since_s: float, part: str = CULPRIT) -> list[Arrival]:
        """Return the requests with a part that reached endpoints since a time."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.at_s > since_s and part in arrival.parts[:-1]
        ]

    def learned_s(self) -> float:
        """Return the time from which on the part at fault must be known."""
        return self.crash_s[min(len(self.crash_s), 5) - 1] + STABLE_S

    def share_served(self, since_s: float) -> float:
        """Return the share of sound requests since a time that were answered."""
        ended = [
            outcome.sink.is_whole and outcome.sink.status == 200
            for outcome in self.outcomes
            if outcome.at_s > since_s and not self.crashes(outcome.parts, None)
        ]
        return sum(ended) / len(ended)

    async def _serve(self, instance: str, request: Any) -> None:
        sink = CapturingSink()
        path = RequestPath(self.exchanges[instance].parts)
        started_s = self.clock.monotonic()
        await path.serve(request, sink)
        parts = tuple(part for part, _ in request.prompt_parts)
        self.outcomes.append(Arrival(started_s, parts, sink=sink, instance=instance))

    async def _reappear(self, endpoint: Breakable) -> None:
        await self.clock.sleep(RESTART_S)
        for exchange in self.exchanges.values():
            exchange.parts.table.apply(self.record_of(endpoint), n_cache_tokens=50_000)
