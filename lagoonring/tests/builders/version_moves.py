"""Builders of a moving service with several instances, without a network."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.kernel import ManualClock
from lagoonring.platform.exchange import PlatformAnswerLostError
from lagoonring.serving.configuration import RequestKind, WeightedService
from lagoonring.serving.duties import DutyLedger
from lagoonring.serving.move_reports import MoveEnd, MoveReports
from lagoonring.serving.moves import MoveOrder, MoveState
from lagoonring.serving.path import RequestPath
from lagoonring.serving.versions import MovesDuty
from lagoonring.standins.fault_counts import consume_fault
from lagoonring.tests.builders.serving import (
    CapturingSink,
    FakeAnswer,
    FakeSender,
    make_configuration,
    make_event,
    make_parts,
    make_record,
    make_request,
    make_route,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import SendOrder

STEP_S = 0.5  # between steps of the duty
TICK_S = 0.05
N_EVENTS = 6
EVENT_GAP_S = 0.02
FIRST_EVENT_S = 0.09
PLAIN_ANSWER_S = 0.05


class FakeLease:
    """A held lease that writes appended records to a ledger."""

    def __init__(self, ledger: DutyLedger, fencing_number: int = 1) -> None:
        self.ledger = ledger
        self.fencing_number = fencing_number
        self.n_appends = 0

    def is_held(self) -> bool:
        """Return True."""
        return True

    async def append(self, data: object) -> int:
        """Write a record."""
        self.n_appends += 1
        self.ledger.on_data(0, 0.0, msgspec.Raw(msgspec.json.encode(data)))
        return 0


class MemoryMoveRecords:
    """Statuses and ends of moves, in memory.

    ``written`` holds all statuses with the time at which they were written.
    ``n_lost_statuses`` writes of a status are not executed and their answer is lost.
    """

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.statuses: dict[str, tuple[str, MoveState]] = {}
        self.ends: list[MoveEnd] = []
        self.written: list[tuple[float, MoveState]] = []
        self.n_lost_statuses = 0
        self.n_reads = 0

    async def write_status(self, service: str, target: str, state: MoveState) -> None:
        """Replace the status of a service's move."""
        if consume_fault(self, "n_lost_statuses"):
            raise PlatformAnswerLostError("Got no answer, expected one.")
        self.written.append((self.clock.time(), state))
        self.statuses[service] = target, state

    async def read_statuses(self) -> dict[str, tuple[str, MoveState]]:
        """Return the target and state last reported, by service."""
        self.n_reads += 1
        return dict(self.statuses)

    async def write_end(self, end: MoveEnd, older: Sequence[MoveEnd]) -> None:
        """Record an end, and drop older ones of the service."""
        self.ends = [one for one in self.ends if one not in older] + [end]

    async def read_ends(self) -> list[MoveEnd]:
        """Return all ends recorded."""
        return list(self.ends)


class SleepingAnswer(FakeAnswer):
    """An answer whose chunks arrive at intervals of a manual clock."""

    def __init__(self, clock: ManualClock, waits_s: list[float], **values: Any) -> None:
        super().__init__(**values)
        self.clock = clock
        self.waits_s = waits_s

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield each chunk after its wait."""
        for chunk, wait_s in zip(self.chunks_made, self.waits_s, strict=True):
            await self.clock.sleep(wait_s)
            yield chunk


@attrs.define(kw_only=True, slots=False)
class MovingService:
    """A service with endpoints of two versions, behind several instances.

    ``slowdown(version, elapsed_s, rng)`` is the factor by which an answer takes longer,
    ``fails(version, elapsed_s, rng)`` whether it is a failure. ``usual_factor``
    lengthens the answers of both versions. ``disturbed`` holds the factors of endpoints
    that are slow whatever version they run; "a", "b", "c" run the old one, "x", "y",
    "z" the new one. Times are since the order, which is given after ``lead_s``.
    """

    clock: ManualClock
    lead_s: float = 0.0
    slowdown: Callable[[str, float, random.Random], float] = lambda *_: 1.0
    fails: Callable[[str, float, random.Random], bool] = lambda *_: False
    rate_per_s: float = 30.0
    n_instances: int = 9
    duration_s: float = 15.0
    usual_factor: float = 1.0
    disturbed: dict[str, float] = attrs.field(factory=dict)
    kind: RequestKind = RequestKind.STREAM
    seed: int = 5

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.order = MoveOrder(
            service="desk", target="v2", duration_s=self.duration_s, offset=5
        )
        self.started_s = self.clock.time() + self.lead_s
        self.ledger = DutyLedger()
        self.records = MemoryMoveRecords(self.clock)
        self.arrivals: list[tuple[float, str, str]] = []
        self.bad_s: list[float] = []
        self.tasks: list[asyncio.Task[CapturingSink]] = []
        self.route = make_route(
            name="guide",
            kind=self.kind,
            objective_s=1.0,
            timeout_s=15.0,
            max_wait_s=15.0,
            targets=(WeightedService(service="desk", weight=1.0),),
        )
        self.instances = [self._make_instance(n) for n in range(self.n_instances)]
        self.fencing_number = 0
        self.take_over()

    def take_over(self) -> None:
        """Let a holder without any memory continue the duty."""
        self.fencing_number += 1
        self.lease = FakeLease(self.ledger, self.fencing_number)
        holder = self.instances[0]
        self.duty = MovesDuty(
            self.ledger,
            holder.follower,
            holder.gate,
            holder.table,
            holder.counters,
            self.clock,
            MoveReports(self.records, self.clock),
            exposure_share=0.1,
            exposure_slack=50,
            true_time=self.clock.time,
        )

    def restart_all(self) -> None:
        """Replace all instances by new processes, and the holder with them."""
        self.instances = [self._make_instance(n) for n in range(self.n_instances)]
        self.take_over()

    def elapsed_s(self) -> float:
        """Return the time since the order."""
        return self.clock.time() - self.started_s

    def count_new(self) -> int:
        """Return the requests that arrived at the new version until the limit."""
        return sum(
            version == "v2" and 0 <= at_s <= self.duration_s
            for at_s, version, _ in self.arrivals
        )

    def count_all(self) -> int:
        """Return all requests that arrived until the time limit."""
        return sum(0 <= at_s <= self.duration_s for at_s, _, _ in self.arrivals)

    @property
    def reported(self) -> list[tuple[float, MoveState]]:
        """The states reported, and when since the order."""
        return [(at_s - self.started_s, state) for at_s, state in self.records.written]

    def final_state(self) -> MoveState:
        """Return the state that was reported last."""
        return self.reported[-1][1]

    async def run(self, until_s: float | None = None) -> None:
        """Serve callers and carry out the move, by default to one second past it."""
        until_s = self.duration_s + 1.0 if until_s is None else until_s
        next_step_s = max(self.elapsed_s(), 0.0)
        while self.elapsed_s() < until_s:
            if self.elapsed_s() >= 0 and not self.instances[0].follower.orders:
                for instance in self.instances:
                    self._give_order(instance)
            if self.elapsed_s() >= next_step_s:
                next_step_s += STEP_S
                await self._step()
            for number in range(math.ceil(self.rate_per_s * TICK_S)):
                if self.rng.random() < self.rate_per_s * TICK_S - number:
                    self._call()
            await self.clock.advance(TICK_S)

    async def finish_requests(self) -> list[CapturingSink]:
        """Let all requests end and return what their callers received."""
        while not all(task.done() for task in self.tasks):
            await self.clock.advance(1.0)
        return [task.result() for task in self.tasks]

    async def _step(self) -> None:
        await self.duty.step(self.lease)
        holder = self.instances[0]
        for number, instance in enumerate(self.instances[1:], 1):
            for name, known in holder.gate.views.items():
                instance.gate.update(name, known.view)
            self.duty.update_peer(f"instance-{number}", instance.counters.rows())

    def _call(self) -> None:
        instance = self.rng.choice(self.instances)
        request = make_request(
            request_id=f"{self.rng.getrandbits(64):016x}",
            received_s=self.clock.monotonic(),
            allowed_s=15.0,
        )
        self.tasks.append(asyncio.create_task(self._serve(instance, request)))

    async def _serve(self, instance: ServingParts, request: Any) -> CapturingSink:
        sink = CapturingSink()
        await RequestPath(instance).serve(request, sink)
        return sink

    def _make_instance(self, number: int) -> ServingParts:
        parts = make_parts(
            FakeSender(self._answer),
            *(make_record(name, version="v1") for name in ("a", "b", "c")),
            configuration=make_configuration(self.route),
            clock=self.clock,
        )
        parts.app.rng.seed(number)
        if self.elapsed_s() >= 0:
            self._give_order(parts)
        return parts

    def _give_order(self, parts: ServingParts) -> None:
        parts.follower.orders["desk"] = self.order
        for name in ("x", "y", "z"):
            record = make_record(name, version="v2")
            parts.table.apply(record, n_cache_tokens=50_000)

    async def _answer(self, order: SendOrder) -> FakeAnswer:
        version, at_s = order.endpoint.version, self.elapsed_s()
        self.arrivals.append((at_s, version, order.endpoint.endpoint))
        factor = self.slowdown(version, at_s, self.rng)
        is_failure = self.fails(version, at_s, self.rng)
        is_bad = factor > 1 or is_failure
        factor *= self.usual_factor
        factor *= self.disturbed.get(order.endpoint.endpoint, 1.0)
        if self.kind is not RequestKind.STREAM:
            await self.clock.sleep(PLAIN_ANSWER_S * factor * self.rng.uniform(0.6, 2.0))
            self._note_bad(is_bad)
            return FakeAnswer([b"done"], status=500 if is_failure else 200)
        if is_failure:
            self._note_bad(is_bad)
            return FakeAnswer([b"failed"], status=500)
        chunks = [make_event(number) for number in range(N_EVENTS)]
        first_s = FIRST_EVENT_S * self.rng.uniform(0.7, 3.0)
        # Engines spend part of the time to the first event on work of fixed length.
        waits_s = [first_s * (1 + 0.3 * (factor - 1))]
        waits_s += [
            EVENT_GAP_S * factor * self.rng.uniform(0.8, 1.6) for _ in chunks[1:]
        ]
        self._note_bad(is_bad)
        await self.clock.sleep(waits_s[0] * 0.9)
        waits_s[0] *= 0.1
        return SleepingAnswer(self.clock, waits_s, chunks_made=chunks)

    def _note_bad(self, is_bad: bool) -> None:
        if is_bad:
            self.bad_s.append(self.elapsed_s())
