"""Moves of a service to another version: shares of requests, and final states."""

from __future__ import annotations

import random

import attrs
import pytest

from lagoonring.kernel import ManualClock
from lagoonring.platform.log import LogAnswerLostError
from lagoonring.serving.comparison import Verdict
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.duties import DutyLedger
from lagoonring.serving.exposure import MoveRecord
from lagoonring.serving.move_reports import MoveReports
from lagoonring.serving.moves import MoveGate, MoveOrder, MoveState, MoveView
from lagoonring.serving.rollout import (
    MAX_LOAD_TEST_S,
    LoadTest,
    Progress,
    Step,
    choose_share,
    decide,
    exposure_budget,
    load_test_s,
)
from lagoonring.serving.version_results import VersionCounters
from lagoonring.serving.versions import PART, MovesDuty
from lagoonring.tests.builders.serving import (
    FakeFollower,
    make_configuration,
    make_record,
    make_request,
    make_route,
    make_table,
)
from lagoonring.tests.builders.version_moves import FakeLease, MemoryMoveRecords

WORSE = Verdict.WORSE
TEST = LoadTest(began_s=6.5, for_s=1.0)
ORDER = MoveOrder(service="desk", target="v2", duration_s=12.0, offset=5)
BOTH = ("v1", "v2")


def make_view(**changes):
    values = {
        "offset": 5,
        "target": "v2",
        "state": MoveState.RUNNING,
        "share": 0.25,
        "revision": (1, 1),
    }
    return MoveView(**(values | changes))


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def gate(clock):
    return MoveGate(FakeFollower(None, {"desk": ORDER}), clock)


def share_on_target(gate, n=2000):
    ids = [f"{number:016x}" for number in range(n)]
    return sum(gate.allowed("desk", BOTH, name) == {"v2"} for name in ids) / n


def test_the_target_gets_no_requests_before_its_move_is_known(gate):
    assert share_on_target(gate) == 0.0


def test_without_an_order_every_version_present_is_allowed(clock):
    gate = MoveGate(FakeFollower(None), clock)
    assert gate.allowed("desk", BOTH, "r") == {"v1", "v2"}


async def test_the_target_gets_the_published_share_while_the_view_is_fresh(gate, clock):
    gate.update("desk", make_view())
    assert share_on_target(gate) == pytest.approx(0.25, abs=0.05)
    await clock.advance(3.0)
    assert share_on_target(gate) == 0.0


@pytest.mark.parametrize(
    ("state", "versions"),
    [(MoveState.COMPLETED, {"v2"}), (MoveState.ROLLED_BACK, {"v1"})],
)
async def test_a_final_state_stays_in_force(gate, clock, state, versions):
    gate.update("desk", make_view(state=state, revision=(1, 9)))
    await clock.advance(60.0)
    assert gate.allowed("desk", BOTH, "r") == versions
    assert not gate.update("desk", make_view(revision=(2, 1)))
    assert gate.allowed("desk", BOTH, "r") == versions


def test_a_rolled_back_version_gets_no_requests_even_alone(gate):
    gate.update("desk", make_view(state=MoveState.ROLLED_BACK))
    assert gate.allowed("desk", ("v2",), "r") == set()


def test_older_views_are_ignored(gate):
    gate.update("desk", make_view(share=0.1, revision=(2, 1)))
    assert not gate.update("desk", make_view(share=0.9, revision=(1, 50)))
    assert gate.share_of(ORDER) == 0.1


def test_a_new_order_starts_a_new_move(gate):
    gate.update("desk", make_view(state=MoveState.ROLLED_BACK))
    gate.follower.orders["desk"] = attrs.evolve(ORDER, offset=8)
    assert gate.state_of(gate.follower.orders["desk"]) is MoveState.RUNNING
    assert share_on_target(gate) == 0.0


def make_progress(**changes):
    values = {
        "elapsed_s": 4.0,
        "counted_s": 4.0,
        "duration_s": 12.0,
        "n_all": 120,
        "n_new": 20,
        "n_old_running": 2,
        "verdict": Verdict.AS_GOOD,
        "is_target_present": True,
    }
    return Progress(**(values | changes))


@pytest.mark.parametrize(
    ("changes", "step"),
    [
        ({}, Step.TRY),
        ({"verdict": Verdict.WORSE}, Step.ROLL_BACK),
        ({"elapsed_s": 9.8}, Step.MOVE_ALL),
        ({"elapsed_s": 9.8, "n_old_running": 0}, Step.COMPLETE),
        ({"elapsed_s": 10.9}, Step.COMPLETE),
        ({"elapsed_s": 10.9, "verdict": Verdict.WORSE}, Step.ROLL_BACK),
        ({"elapsed_s": 9.8, "verdict": Verdict.UNDECIDED}, Step.TRY),
        ({"elapsed_s": 10.9, "verdict": Verdict.UNDECIDED}, Step.ROLL_BACK),
        ({"elapsed_s": 12.1}, Step.ROLL_BACK),
        ({"elapsed_s": 9.8, "is_target_present": False}, Step.TRY),
    ],
)
def test_steps_of_a_move(changes, step):
    assert decide(make_progress(**changes)) is step


@pytest.mark.parametrize(
    ("changes", "step"),
    [
        ({"elapsed_s": 6.0}, Step.TRY),
        ({"elapsed_s": 6.5}, Step.TEST_LOAD),
        ({"elapsed_s": 6.5, "verdict": Verdict.UNDECIDED}, Step.TRY),
        ({"elapsed_s": 6.5, "is_target_present": False}, Step.TRY),
        ({"elapsed_s": 8.0, "load_test": TEST}, Step.AWAIT_RESULTS),
        ({"elapsed_s": 9.0, "load_test": TEST}, Step.TRY),
        ({"elapsed_s": 8.0, "load_test": TEST, "verdict": WORSE}, Step.ROLL_BACK),
        ({"elapsed_s": 8.7, "load_test": TEST}, Step.TRY),
        ({"elapsed_s": 8.7, "load_test": TEST, "n_all": 400}, Step.MOVE_ALL),
        # too few results to complete before the last moment
        ({"elapsed_s": 9.8, "load_test": TEST, "n_old_running": 0}, Step.MOVE_ALL),
        ({"elapsed_s": 9.8, "n_old_running": 0}, Step.MOVE_ALL),
        (
            {"elapsed_s": 9.8, "load_test": TEST, "n_old_running": 0, "n_all": 400},
            Step.COMPLETE,
        ),
    ],
)
def test_steps_of_a_move_with_a_load_test(changes, step):
    assert decide(make_progress(can_test_load=True, **changes)) is step


@pytest.mark.parametrize(
    ("changes", "for_s"),
    [
        ({}, 1.15),
        ({"n_new": 70}, 0.0),
        ({"n_all": 20, "n_new": 10}, MAX_LOAD_TEST_S),
        ({"n_all": 1200, "n_new": 280}, 0.0),
    ],
)
def test_a_load_test_lasts_as_long_as_the_exposure_permits(changes, for_s):
    progress = make_progress(**({"n_new": 40, "counted_s": 4.0} | changes))
    found_s = load_test_s(progress, exposure_share=0.1, exposure_slack=50)
    assert found_s == pytest.approx(for_s, abs=0.05)
    expected = progress.n_new + found_s * progress.rate_per_s
    n_all = progress.n_all + progress.rate_per_s * 8.0
    assert not found_s or expected <= 0.1 * n_all + 50


@attrs.define(slots=False)
class Deployment:
    """A service with an endpoint of each version that is moved, without a network."""

    clock: ManualClock
    is_bad: object
    rate_per_s: float = 20.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(11))
    new_at_s: list = attrs.field(factory=list)
    n_all: int = 0
    bad_at_s: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.follower = FakeFollower(make_configuration(), {"desk": ORDER})
        self.gate = MoveGate(self.follower, self.clock)
        self.counters = VersionCounters(self.gate, self.clock, life=1)
        self.table = make_table(
            make_record("a", version="v1"), make_record("b", version="v2")
        )
        self.ledger = DutyLedger()
        self.records = MemoryMoveRecords(self.clock)
        self.duty = self.make_duty()
        self.job = type("Job", (), {})()
        self.job.service = "desk"
        self.job.route = make_route(kind=RequestKind.ONCE)

    def make_duty(self):
        return MovesDuty(
            self.ledger,
            self.follower,
            self.gate,
            self.table,
            self.counters,
            self.clock,
            MoveReports(self.records, self.clock),
            exposure_share=0.1,
            exposure_slack=50,
            true_time=self.clock.time,
        )

    def serve(self, number):
        request = make_request(request_id=f"{number:016x}")
        (version,) = self.gate.allowed("desk", BOTH, request.request_id)
        now_s = self.clock.time()
        is_new = version == "v2"
        ok = not (is_new and self.is_bad(now_s - self.started_s, self.rng))
        self.n_all += 1
        if is_new:
            self.new_at_s.append(now_s)
        if not ok:
            self.bad_at_s.append(now_s)
        recorder = self.counters.begin(
            self.job, make_record(version=version), expected_s=0.1
        )
        if recorder is not None:
            recorder.record_end(self.clock.monotonic(), ok=ok)

    async def run(self, seconds=14.0, lease=None):
        self.started_s = self.clock.time()
        lease = lease or FakeLease(self.ledger)
        for step in range(int(seconds * 2)):
            await self.duty.step(lease)
            for number in range(int(self.rate_per_s / 2)):
                self.serve(step * 1000 + number)
            await self.clock.advance(0.5)

    def final_state(self):
        return self.records.written[-1][1]


async def test_a_good_version_is_completed_in_time(clock):
    deployment = Deployment(clock, lambda at_s, rng: False)
    await deployment.run()
    at_s, state = deployment.records.written[-1]
    assert state is MoveState.COMPLETED
    assert at_s - deployment.started_s < ORDER.duration_s


@pytest.mark.parametrize("bad_share", [0.3, 0.6, 1.0])
@pytest.mark.parametrize("from_s", [0.0, 4.0])
async def test_a_bad_version_gets_few_requests_and_is_rolled_back(
    clock, bad_share, from_s
):
    deployment = Deployment(
        clock, lambda at_s, rng: at_s >= from_s and rng.random() < bad_share
    )
    await deployment.run()
    assert deployment.final_state() is MoveState.ROLLED_BACK
    assert len(deployment.new_at_s) <= 0.1 * deployment.n_all + 50
    if len(deployment.bad_at_s) >= 50:
        assert max(deployment.new_at_s) <= deployment.bad_at_s[49] + 5.0


async def test_the_next_holder_keeps_a_final_state(clock):
    deployment = Deployment(clock, lambda at_s, rng: True)
    await deployment.run()
    deployment.gate.views.clear()
    duty = deployment.make_duty()
    await duty.step(FakeLease(deployment.ledger, fencing_number=2))
    assert deployment.gate.allowed("desk", BOTH, "r") == {"v1"}


@pytest.mark.parametrize("state", [MoveState.COMPLETED, MoveState.ROLLED_BACK])
@pytest.mark.parametrize("later", MoveState)
async def test_a_final_state_is_never_replaced(clock, state, later):
    # Guards against a completed move that runs again, or is taken back.
    deployment = Deployment(clock, lambda at_s, rng: False)
    lease = FakeLease(deployment.ledger)
    for written in (state, later):
        record = MoveRecord(started_s=clock.time(), state=written)
        await lease.append((PART, ORDER.name, record.encode()))
    await deployment.duty.step(lease)
    assert deployment.gate.state_of(ORDER) is state


async def test_an_end_that_was_written_without_an_answer_is_adopted(clock):
    # Guards against an end that is decided again, and differently, after its limit.
    deployment = Deployment(clock, lambda at_s, rng: False)
    await deployment.run(5.0)
    record = MoveRecord(started_s=deployment.started_s, state=MoveState.COMPLETED)
    lease = FakeLease(deployment.ledger)
    await lease.append((PART, ORDER.name, record.encode()))
    await clock.advance(10.0)
    for _ in range(3):
        await deployment.duty.step(lease)
    assert deployment.final_state() is MoveState.COMPLETED
    assert deployment.gate.state_of(ORDER) is MoveState.COMPLETED


class LosingLease(FakeLease):
    """A lease that loses the answer of the first append of an end."""

    lost_s = None

    async def append(self, data):
        if "completed" in str(data) and self.lost_s is None:
            self.lost_s = self.clock.time()
            raise LogAnswerLostError("Got no answer, expected one.")
        return await super().append(data)


async def test_an_end_whose_record_is_not_answered_is_recorded_in_the_same_step(clock):
    # Guards against a good version that is rolled back since its limit passes.
    deployment = Deployment(clock, lambda at_s, rng: False)
    lease = LosingLease(deployment.ledger)
    lease.clock = clock
    await deployment.run(lease=lease)
    assert deployment.records.written[-1] == (lease.lost_s, MoveState.COMPLETED)


class FailingLease(FakeLease):
    """A lease whose appends about one service are not answered."""

    async def append(self, data):
        if "desk@" in str(data):
            raise LogAnswerLostError("Got no answer, expected one.")
        return await super().append(data)


async def test_a_move_that_cannot_be_recorded_does_not_hold_back_another(clock):
    # Guards against a good version that is rolled back at its limit beside another.
    deployment = Deployment(clock, lambda at_s, rng: False)
    deployment.follower.orders["other"] = attrs.evolve(ORDER, service="other")
    await deployment.duty.step(FailingLease(deployment.ledger))
    assert list(deployment.duty.moves) == ["other"]


def test_the_share_of_the_new_version_respects_the_exposure_limit():
    budget = exposure_budget(200, exposure_share=0.1, exposure_slack=50)
    assert budget <= 0.1 * 200 + 50
    assert choose_share(make_progress(n_all=200, n_new=60), budget) == 0.0
    assert 0.0 < choose_share(make_progress(n_new=0), budget) <= 0.3
