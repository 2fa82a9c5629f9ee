"""Builders of a service whose endpoints name limits, behind several instances."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.kernel import ManualClock
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.path import RequestPath
from lagoonring.serving.statements import (
    Statement,
    apply_statement_rows,
    statement_rows,
)
from lagoonring.tests.builders.serving import (
    CapturingSink,
    FakeAnswer,
    FakeSender,
    make_configuration,
    make_parts,
    make_record,
    make_request,
    make_route,
)

if TYPE_CHECKING:
    from lagoonring.serving.configuration import Configuration
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import SendOrder

DATA_CENTRES = ("east", "north", "west")
TICK_S = 0.02
ANSWER_S = 0.08
EXCHANGE_S = 0.4
REAL_TIMEOUT_S = 60.0  # elapses in real time, unlike the manual clock
TOLD_S = 0.5  # after an answer, an instance is expected to know what it says


@attrs.define(kw_only=True, slots=False)
class LimitedService:
    """Endpoints of which some name limits, and the requests that they get.

    ``limits`` holds limits per second by endpoint. Requests of callers arrive at random
    instances. ``told_s`` is when an instance got the first answer that names a limit.
    """

    limits: dict[str, float]
    endpoints: tuple[str, ...] = ("a", "b", "c", "d", "e")
    clock: ManualClock = attrs.field(factory=ManualClock)
    n_per_data_centre: int = 3
    rate_per_s: float = 30.0
    from_s: float = 0.0
    until_s: float = 1e9
    fails: bool = False
    timeout_s: float = 2.0
    seed: int = 3

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.started_s = self.clock.monotonic()
        self.arrivals: list[tuple[float, str, int]] = []
        self.told_s: dict[tuple[int, str], float] = {}
        self.named_s: dict[str, float] = {}
        self.tasks: list[asyncio.Task[CapturingSink]] = []
        self.instances: list[ServingParts] = []
        for data_centre in DATA_CENTRES:
            addresses = [
                f"{data_centre}-{number}" for number in range(self.n_per_data_centre)
            ]
            for address in addresses:
                self.instances.append(
                    self._make_instance(data_centre, addresses, address)
                )

    def elapsed_s(self) -> float:
        """Return the time since the start."""
        return self.clock.monotonic() - self.started_s

    async def run(self, seconds: float) -> None:
        """Let callers send requests."""
        next_exchange_s = self.elapsed_s()
        end_s = next_exchange_s + seconds
        while self.elapsed_s() < end_s:
            n_expected = self.rate_per_s * TICK_S
            for _ in range(int(n_expected) + (self.rng.random() < n_expected % 1)):
                number = self.rng.randrange(len(self.instances))
                self.tasks.append(asyncio.create_task(self._serve(number)))
            if self.elapsed_s() >= next_exchange_s:
                next_exchange_s += EXCHANGE_S
                self._exchange()
            await self.clock.advance(TICK_S)

    async def finish_requests(self) -> list[CapturingSink]:
        """Let all requests end and return what their callers received."""
        while not all(task.done() for task in self.tasks):
            await self.clock.advance(0.1)
        return [task.result() for task in self.tasks]

    def worst_excess(self, endpoint: str, *, window_s: float = 4.0) -> float:
        """Return the most by which a window exceeds what is tolerated.

        Counts requests of instances that had been told, from 3 s after the endpoint
        first named its limit until it names none.
        """
        allowed = 1.5 * self.limits[endpoint] * window_s + 5
        counted = [
            at_s
            for at_s, name, instance in self.arrivals
            if name == endpoint
            and at_s >= self.told_s.get((instance, name), 1e9) + TOLD_S
            and self.named_s[name] + 3.0 <= at_s < self.until_s
        ]
        most = max(
            (
                sum(0 <= other - at_s < window_s for other in counted)
                for at_s in counted
            ),
            default=0,
        )
        return most - allowed

    def count_arrivals(self, endpoint: str, from_s: float, to_s: float) -> int:
        """Return the requests that an endpoint got in a span."""
        return sum(
            name == endpoint and from_s <= at_s < to_s
            for at_s, name, _ in self.arrivals
        )

    def _exchange(self) -> None:
        """Let all instances learn what endpoints said to the others."""
        now_s = self.clock.monotonic()
        tables = [instance.table for instance in self.instances]
        rows = [statement_rows(table.endpoints.values(), now_s) for table in tables]
        for table in tables:
            for row in rows:
                apply_statement_rows(table, row, now_s)

    async def _serve(self, number: int) -> CapturingSink:
        sink = CapturingSink()
        request = make_request(
            request_id=f"{self.rng.getrandbits(64):016x}",
            received_s=self.clock.monotonic(),
            allowed_s=REAL_TIMEOUT_S,
        )
        await RequestPath(self.instances[number]).serve(request, sink)
        return sink

    def _make_instance(
        self, data_centre: str, addresses: list[str], address: str
    ) -> ServingParts:
        number = len(self.instances)

        async def answer(order: SendOrder) -> FakeAnswer:
            return await self._answer(number, order.endpoint.endpoint)

        parts = make_parts(
            FakeSender(answer),
            *(make_record(name) for name in self.endpoints),
            configuration=self._make_configuration(),
            clock=self.clock,
        )
        parts.app.rng.seed(number)
        parts.exchange.address = address
        parts.exchange.peers = [other for other in addresses if other != address]
        parts.exchange.settings = SimpleNamespace(
            instance=address, data_centre=data_centre, data_centres=DATA_CENTRES
        )
        return parts

    def _make_configuration(self) -> Configuration:
        route = make_route(
            kind=RequestKind.IDEMPOTENT,
            max_wait_s=self.timeout_s,
            objective_s=self.timeout_s,
            timeout_s=REAL_TIMEOUT_S,
        )
        return make_configuration(route)

    async def _answer(self, number: int, endpoint: str) -> Any:
        self.arrivals.append((self.elapsed_s(), endpoint, number))
        await self.clock.sleep(ANSWER_S)
        limit = self.limits.get(endpoint)
        if limit is None or not self.from_s <= self.elapsed_s() < self.until_s:
            return FakeAnswer([b"done"])
        self.told_s.setdefault((number, endpoint), self.elapsed_s())
        self.named_s.setdefault(endpoint, self.elapsed_s())
        return FakeAnswer(
            [b"done"],
            status=500 if self.fails else 200,
            statement=Statement(limit_per_s=limit),
        )


def make_refusal(pause_s: float) -> FakeAnswer:
    """Return the answer of an endpoint that wants no request for some seconds."""
    return FakeAnswer(
        [b"busy"],
        status=503,
        is_not_run=True,
        is_signed=False,
        statement=Statement(pause_s=pause_s),
    )
