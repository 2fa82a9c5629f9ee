"""Model engines, and callers of two ranks and many organisations."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.messages import Scope, Source
from lagoonring.serving.path import RequestPath
from lagoonring.serving.placer import MIN_PREFILL_SAMPLES
from lagoonring.tests.builders.limited_service import (
    EXCHANGE_S,
    REAL_TIMEOUT_S,
    TICK_S,
    LimitedService,
)
from lagoonring.tests.builders.serving import (
    CapturingSink,
    FakeAnswer,
    make_configuration,
    make_event,
    make_organisation,
    make_request,
    make_route,
)

if TYPE_CHECKING:
    from lagoonring.serving.configuration import Configuration
    from lagoonring.serving.requests import CallerRequest, SendOrder

TOKENS_PER_S = 61_200.0  # that an engine reads
CHUNK_TOKENS = 2048  # of prompts, read in turn
ROUND_DELAY = 2  # exchanges, of 0.4 s each, until sums reach an instance
RATE_FACTOR = 2.5  # limit of an organisation against its usual tokens a second


@attrs.frozen(kw_only=True)
class CallKind:
    """A kind of request: its rank, objective in s, tokens, and rate at usual load."""

    name: str
    rank: int
    objective_s: float
    n_tokens: int
    share: float  # of the engines' time at usual load

    def work_s(self) -> float:
        """Return the time that an engine takes for one request."""
        return self.n_tokens / TOKENS_PER_S


URGENT = CallKind(name="urgent", rank=0, objective_s=0.52, n_tokens=2000, share=0.2)
PATIENT = CallKind(name="patient", rank=2, objective_s=2.0, n_tokens=7000, share=0.2)


@attrs.define(kw_only=True)
class Call:
    """A request of a caller, when it arrived and what became of it; times in s."""

    kind: CallKind
    organisation: str
    arrived_s: float
    ended_s: float = math.inf
    first_s: float = math.inf
    n_tries: int = 0
    refused_s: float | None = None

    @property
    def is_in_aim(self) -> bool:
        """Whether the first answer came within the objective."""
        return self.first_s <= self.kind.objective_s


@attrs.define(slots=False)
class TimedSink(CapturingSink):
    """Records when a stream begins."""

    call: Any = None
    clock: Any = None

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Record the status and the time."""
        await super().begin(status, headers)
        self.call.first_s = self.clock.monotonic() - self.call.arrived_s


class Engine:
    """Reads prompts in chunks, one after the other in turn, as they arrived."""

    def __init__(self, clock: Any) -> None:
        self.clock = clock
        self.prompts: list[list[Any]] = []
        self.work: asyncio.Task[None] | None = None
        self.busy_s = 0.0

    async def read(self, n_tokens: int) -> None:
        """Return once a prompt was read."""
        done = asyncio.get_running_loop().create_future()
        prompt = [n_tokens, done]
        self.prompts.append(prompt)
        if self.work is None or self.work.done():
            self.work = asyncio.create_task(self._run())
        try:
            await done
        except asyncio.CancelledError:
            if prompt in self.prompts:
                self.prompts.remove(prompt)
            raise

    async def _run(self) -> None:
        while self.prompts:
            prompt = self.prompts[0]
            n_tokens = min(prompt[0], CHUNK_TOKENS)
            seconds = n_tokens / TOKENS_PER_S
            self.busy_s += seconds
            await self.clock.sleep(seconds)
            prompt[0] -= n_tokens
            if prompt[0] <= 0 and prompt in self.prompts:
                self.prompts.remove(prompt)
                if not prompt[1].done():
                    prompt[1].set_result(None)


@attrs.define(kw_only=True, slots=False)
class EngineService(LimitedService):
    """Engines with callers at ``load`` times the usual load, by kind and organisation.

    At the usual load, engines are used for the sum of the kinds' shares. ``returns`` is
    whether refused callers come back once as told, at once, or not.
    """

    limits: dict[str, float] = attrs.field(factory=dict)
    kinds: tuple[CallKind, ...] = (URGENT, PATIENT)
    n_organisations: int = 8
    loads: dict[str, float] = attrs.field(factory=dict)  # by kind
    heavy: dict[str, float] = attrs.field(factory=dict)  # by organisation
    returns: str = "as told"

    def __attrs_post_init__(self) -> None:
        self.names = [f"org{number}" for number in range(self.n_organisations)]
        self.calls: list[Call] = []
        self.sums: list[list[Any]] = []
        super().__attrs_post_init__()
        self.engines = {name: Engine(self.clock) for name in self.endpoints}
        for number, instance in enumerate(self.instances):
            instance.sender = EngineSender(self.engines)
            instance.quotas.slack = 1e9  # the limits only weigh shares
            instance.app.rng.seed(number)
            samples = [1 / TOKENS_PER_S] * MIN_PREFILL_SAMPLES
            instance.placer.prefill_samples["desk"] = deque(samples)
            instance.exchange.n_instances = len(self.instances)
            instance.exchange.delay_s = ROUND_DELAY * EXCHANGE_S

    async def run(self, seconds: float) -> None:
        """Let callers send requests."""
        end_s = self.elapsed_s() + seconds
        next_exchange_s = self.elapsed_s()
        while self.elapsed_s() < end_s:
            for kind in self.kinds:
                for name in self.names:
                    n_expected = self._rate_per_s(kind, name) * TICK_S
                    n_calls = int(n_expected) + (self.rng.random() < n_expected % 1)
                    for _ in range(n_calls):
                        self._call(kind, name)
            if self.elapsed_s() >= next_exchange_s:
                next_exchange_s += EXCHANGE_S
                self._exchange()
            await self.clock.advance(TICK_S)

    async def finish(self) -> None:
        """Let all requests end."""
        while not all(task.done() for task in self.tasks):
            await self.clock.advance(0.1)

    def share_in_aim(
        self, from_s: float, to_s: float, *, kind: Any = None, names: Any = None
    ) -> float:
        """Return the share of the calls of a span that were answered in time."""
        calls = [
            call
            for call in self.calls
            if from_s <= call.arrived_s - self.started_s < to_s
            and (kind is None or call.kind is kind)
            and (names is None or call.organisation in names)
        ]
        return sum(call.is_in_aim for call in calls) / max(len(calls), 1)

    def work_in_aim(self, from_s: float, to_s: float) -> float:
        """Return the engines' time per second that went into answers in time."""
        done_s = sum(
            call.kind.work_s()
            for call in self.calls
            if call.is_in_aim
            and from_s <= call.arrived_s + call.first_s - self.started_s < to_s
        )
        return done_s / (to_s - from_s)

    def _rate_per_s(self, kind: CallKind, name: str) -> float:
        n_usual = kind.share * len(self.endpoints) / kind.work_s()
        factor = self.loads.get(kind.name, 1.0) * self.heavy.get(name, 1.0)
        return n_usual / self.n_organisations * factor

    def _call(self, kind: CallKind, name: str) -> None:
        call = Call(kind=kind, organisation=name, arrived_s=self.clock.monotonic())
        self.calls.append(call)
        self.tasks.append(asyncio.create_task(self._serve_call(call)))

    async def _serve_call(self, call: Call) -> CapturingSink:
        sink = await self._try(call)
        if sink.status != 503 or self.returns == "never":
            return sink
        left_s = call.kind.objective_s * 3 - (self.clock.monotonic() - call.arrived_s)
        if self.returns == "as told":
            await self.clock.sleep(min(sink.error.retry_after_s, left_s / 3))
        return await self._try(call)

    async def _try(self, call: Call) -> TimedSink:
        call.n_tries += 1
        sink = TimedSink(call=call, clock=self.clock)
        request = make_request(
            request_id=f"{self.rng.getrandbits(64):016x}",
            method="POST",
            path=f"/{call.kind.name}/1",
            target=f"/{call.kind.name}/1",
            key=f"key-{call.organisation}",
            received_s=self.clock.monotonic(),
            allowed_s=REAL_TIMEOUT_S,
            n_prompt_tokens=call.kind.n_tokens,
            counts_tokens=True,
        )
        begun_s = self.clock.monotonic()
        number = self.rng.randrange(len(self.instances))
        await RequestPath(self.instances[number]).serve(request, sink)
        if sink.status == 503 and call.refused_s is None:
            call.refused_s = self.clock.monotonic() - begun_s
        return sink

    def _make_configuration(self) -> Configuration:
        usual = sum(
            kind.share * len(self.endpoints) * TOKENS_PER_S for kind in self.kinds
        )
        rate_per_s = RATE_FACTOR * usual / self.n_organisations
        return make_configuration(
            *(
                make_route(
                    name=kind.name,
                    path_prefix=f"/{kind.name}/",
                    kind=RequestKind.STREAM,
                    objective_s=kind.objective_s,
                    max_wait_s=max(2.0, 4 * kind.objective_s),
                    timeout_s=REAL_TIMEOUT_S,
                    rank=kind.rank,
                    max_attempts=1,
                )
                for kind in self.kinds
            ),
            organisations=tuple(
                make_organisation(
                    name=name,
                    keys=frozenset({f"key-{name}"}),
                    counts_tokens=True,
                    rate_per_s=rate_per_s,
                    burst=rate_per_s,
                )
                for name in self.names
            ),
        )

    def _exchange(self) -> None:
        """Let instances learn the sums of some rounds ago."""
        now_s = self.clock.monotonic()
        self.sums.append(
            [
                (instance.table.own_loads(), instance.quotas.totals(now_s))
                for instance in self.instances
            ]
        )
        if len(self.sums) <= ROUND_DELAY:
            return
        sums = self.sums.pop(0)
        for number, instance in enumerate(self.instances):
            for other, (loads, totals) in enumerate(sums):
                if other != number:
                    source = Source(Scope.INSTANCE, f"{other}")
                    instance.table.update_peer_load(source, loads, now_s)
                    instance.quotas.update_peer(source, 1, totals, now_s)


class EngineSender:
    """Lets engines read prompts; an answer begins once its prompt was read."""

    def __init__(self, engines: dict[str, Engine]) -> None:
        self.engines = engines

    async def send(self, request: CallerRequest, order: SendOrder) -> FakeAnswer:
        """Return the answer of the engine that the order names."""
        engine = self.engines[order.endpoint.endpoint]
        await engine.read(request.n_prompt_tokens)
        return FakeAnswer([make_event(1)])
