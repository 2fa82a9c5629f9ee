"""Usage counts by window, their reports, true time and demand."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import msgspec
import pytest
from prometheus_client import CollectorRegistry

from lagoonring.errors import UnavailableError
from lagoonring.kernel import ManualClock
from lagoonring.serving.demand import Demand
from lagoonring.serving.duties import DutyLedger
from lagoonring.serving.messages import Scope, Source
from lagoonring.serving.metrics import ServingMetrics
from lagoonring.serving.reporting import SETTLE_S, UsageReports
from lagoonring.serving.true_time import TrueClock
from lagoonring.serving.usage import UsageCounts, UsageRow
from lagoonring.tests.builders.serving import FakeExchange

if TYPE_CHECKING:
    from lagoonring.leases import Lease

WINDOW_S = 5.0
SETTLED_S = WINDOW_S + SETTLE_S + 0.1
START_S = 1_000_000.0


@pytest.fixture
def clock():
    return ManualClock(START_S)


@pytest.fixture
def usage(clock):
    return UsageCounts(WINDOW_S, clock.time)


def instance(name):
    return Source(Scope.INSTANCE, name)


async def test_counts_by_window(usage, clock):
    usage.record_start("one")
    await clock.advance(WINDOW_S)
    usage.record_start("one")
    usage.record_start("two")
    window = usage.window()
    assert usage.total(window - 1) == {"one": 1}
    assert usage.total(window) == {"one": 1, "two": 1}


def test_counts_of_a_killed_instance_are_retained(usage):
    window = usage.window()
    usage.update_peer("b", 1, {window: {"one": 4}})
    usage.update_peer("b", 2, {window: {"one": 2}})
    usage.update_peer("b", 2, {window: {"one": 3}})
    assert usage.total(window) == {"one": 7}


def test_true_time_is_the_median_of_all_clocks(clock):
    true_clock = TrueClock(clock)
    for peer, step_s in {"b": 0.01, "c": -0.02, "d": 2.4}.items():
        true_clock.update_peer(instance(peer), clock.time() + step_s)
    assert true_clock.now() == pytest.approx(START_S, abs=0.05)


class SteppedClock(ManualClock):
    """A clock whose time of day can jump."""

    step_s = 0.0

    def time(self):
        return self.now_s + self.step_s


def exchange_clocks(clocks, true_clocks):
    for receiver in true_clocks:
        for number, sender in enumerate(true_clocks):
            if sender is not receiver:
                receiver.update_peer(instance(str(number)), sender.own_now())


@pytest.mark.parametrize("step_s", [2.0, -2.0, 30.0])
@pytest.mark.parametrize("n_stepped", [1, 2, 3, 4])
async def test_jumps_of_any_number_of_clocks_do_not_move_true_time(step_s, n_stepped):
    clocks = [SteppedClock(START_S) for _ in range(4)]
    true_clocks = [TrueClock(clock) for clock in clocks]
    exchange_clocks(clocks, true_clocks)
    for stepped_s in (step_s, 0.0):
        for clock in clocks[:n_stepped]:
            clock.step_s = stepped_s
        for _ in range(3):
            for clock in clocks:
                await clock.advance(0.5)
            exchange_clocks(clocks, true_clocks)
            for true_clock in true_clocks:
                assert true_clock.now() == pytest.approx(clocks[0].now_s, abs=0.05)


async def test_a_process_that_started_with_a_wrong_clock_follows_its_correction():
    clocks = [SteppedClock(START_S) for _ in range(4)]
    clocks[0].step_s = clocks[1].step_s = 2.0
    true_clocks = [TrueClock(clock) for clock in clocks]
    exchange_clocks(clocks, true_clocks)
    clocks[0].step_s = clocks[1].step_s = 0.0
    for _ in range(3):
        for clock in clocks:
            await clock.advance(0.5)
        exchange_clocks(clocks, true_clocks)
    for true_clock in true_clocks:
        assert true_clock.own_now() == pytest.approx(clocks[0].now_s, abs=0.05)


def test_a_jump_of_the_own_clock_does_not_move_true_time():
    @attrs.define
    class JumpedClock(ManualClock):
        def __init__(self):
            super().__init__(START_S)

        def time(self):
            return self.now_s - 2.4

    true_clock = TrueClock(JumpedClock())
    for peer in "bcd":
        true_clock.update_peer(instance(peer), START_S)
    assert true_clock.now() == pytest.approx(START_S)


def test_the_clock_of_a_data_centre_is_weighted_by_its_instances(clock):
    true_clock = TrueClock(clock)
    west, north = (Source(Scope.DATA_CENTRE, name) for name in ("west", "north"))
    true_clock.update_peer(west, START_S + 2.4, weight=2)
    true_clock.update_peer(north, START_S, weight=4)
    true_clock.update_peer(instance("b"), START_S + 2.4)
    true_clock.update_peer(instance("c"), START_S)
    assert true_clock.now() == pytest.approx(START_S)
    assert true_clock.local_now() == pytest.approx(START_S)


async def test_demand_of_a_data_centre_is_that_of_its_instances(clock):
    demand = Demand(clock)
    demand.update_peer(instance("b"), {"desk": 1.5})
    demand.update_peer(Source(Scope.DATA_CENTRE, "west"), {"desk": 4.0})
    assert demand.local() == {"desk": 1.5}
    assert demand.busy_endpoints("desk") == pytest.approx(5.5)


async def test_processes_that_ended_long_ago_are_dropped(usage, clock):
    usage.update_peer("b", 1, {usage.window(): {"one": 4}})
    await clock.advance(10 * WINDOW_S)
    usage.update_peer("b", 2, {usage.window(): {"one": 4}})
    usage.forget_old()
    assert list(usage.peers) == [("b", 2)]


async def test_demand_of_all_instances_decays(clock):
    demand = Demand(clock)
    for _ in range(100):
        demand.record_arrival("desk", 0.1)
        await clock.advance(0.2)
    assert demand.busy_endpoints("desk") == pytest.approx(0.5, rel=0.3)
    demand.update_peer(instance("b"), {"desk": 1.5})
    assert demand.busy_endpoints("desk") > 1.8
    await clock.advance(60.0)
    assert demand.busy_endpoints("desk") < 0.01


class FakeLease:
    """A held lease that writes appended data to a ledger."""

    fencing_number = 3

    def __init__(self, ledger, restored_s=-math.inf):
        self.ledger = ledger
        self.restored_s = restored_s

    def remaining_s(self):
        return 2.0

    async def append(self, data):
        self.ledger.on_data(0, 0.0, msgspec.Raw(msgspec.json.encode(data)))
        return 0


class Reported:
    """Records reports; raises while ``fails`` is set."""

    def __init__(self):
        self.calls = []
        self.fails = False

    async def __call__(self, lease: Lease, window, counts):
        self.calls.append((window, dict(counts)))
        if self.fails:
            raise UnavailableError("away")


@pytest.fixture
def reported():
    return Reported()


@pytest.fixture
def ledger():
    return DutyLedger()


class MemoryUsage:
    """Saved counts in memory."""

    def __init__(self):
        self.rows_by_window = {}

    async def write(self, window, rows):
        self.rows_by_window[window] = rows

    async def read(self):
        return dict(self.rows_by_window)


def make_reports(ledger, usage, clock, reported, exchange=None, saved=None):
    return UsageReports(
        ledger,
        usage,
        exchange or FakeExchange(),
        clock,
        ServingMetrics(CollectorRegistry()),
        report=reported,
        saved=saved or MemoryUsage(),
        due_s=10.0,
    )


async def test_reports_a_window_once_after_its_end(ledger, usage, clock, reported):
    window = usage.window()
    usage.record_start("one")
    reports = make_reports(ledger, usage, clock, reported)
    await clock.advance(SETTLED_S)
    for _ in range(3):
        await reports.step(FakeLease(ledger))
    assert [call for call in reported.calls if call[0] == window] == [
        (window, {"one": 1})
    ]


async def test_repeats_the_same_counts_when_an_answer_was_lost(
    ledger, usage, clock, reported
):
    window = usage.window()
    usage.record_start("one")
    reports = make_reports(ledger, usage, clock, reported)
    await clock.advance(SETTLED_S)
    reported.fails = True
    await reports.step(FakeLease(ledger))
    usage.update_peer("late", 1, {window: {"one": 5}})
    reported.fails = False
    await reports.step(FakeLease(ledger))
    reports_sent = [counts for number, counts in reported.calls if number == window]
    assert reports_sent == [{"one": 1}, {"one": 1}]


async def test_the_next_holder_reports_the_same_counts(ledger, usage, clock, reported):
    window = usage.window()
    usage.record_start("one")
    await clock.advance(SETTLED_S)
    first = make_reports(ledger, usage, clock, reported)
    await first.step(FakeLease(ledger))
    usage.update_peer("late", 1, {window: {"one": 5}})
    second = make_reports(ledger, usage, clock, reported)
    await second.step(FakeLease(ledger))
    reports_sent = [counts for number, counts in reported.calls if number == window]
    assert reports_sent == [{"one": 1}, {"one": 1}]


async def test_leaves_out_windows_whose_report_a_returned_store_may_have_lost(
    ledger, usage, clock, reported
):
    before = usage.window()
    reports = make_reports(ledger, usage, clock, reported)
    usage.record_start("one")
    await clock.advance(SETTLED_S)
    lease = FakeLease(ledger, restored_s=clock.boottime())
    usage.record_start("one")
    for _ in range(4):
        await reports.step(lease)
        await clock.advance(WINDOW_S / 2)
    assert before not in dict(reported.calls)
    assert before + 1 in dict(reported.calls)


async def test_waits_for_the_counts_of_an_unreachable_instance(
    ledger, usage, clock, reported
):
    window = usage.window()
    exchange = FakeExchange(reported_until_s=clock.monotonic())
    reports = make_reports(ledger, usage, clock, reported, exchange)
    await clock.advance(SETTLED_S)
    await reports.step(FakeLease(ledger))
    assert window not in dict(reported.calls)
    exchange.reported_until_s = clock.monotonic()
    usage.update_peer("b", 1, {window: {"one": 2}})
    await reports.step(FakeLease(ledger))
    assert dict(reported.calls)[window] == {"one": 2}


async def test_reports_in_time_without_an_unreachable_instance(
    ledger, usage, clock, reported
):
    window = usage.window()
    exchange = FakeExchange(reported_until_s=clock.monotonic())
    reports = make_reports(ledger, usage, clock, reported, exchange)
    await clock.advance(WINDOW_S + 8.0)
    await reports.step(FakeLease(ledger))
    assert window in dict(reported.calls)


async def test_counts_survive_a_kill_of_all_instances(ledger, usage, clock, reported):
    """All processes are killed between the end of a window and its report."""
    saved = MemoryUsage()
    window = usage.window()
    usage.record_start("one")
    usage.update_peer("b", 7, {window: {"one": 3}})
    before = make_reports(ledger, usage, clock, reported, saved=saved)
    before.exchange.reported_until_s = clock.monotonic()
    await clock.advance(WINDOW_S)
    await before.step(FakeLease(ledger))
    assert window not in dict(reported.calls)

    restarted = UsageCounts(WINDOW_S, clock.time)
    restarted.update_peer("b", 8, {window: {"one": 2}})
    exchange = FakeExchange(life=2)
    after = make_reports(DutyLedger(), restarted, clock, reported, exchange, saved)
    await clock.advance(3.0)
    await after.step(FakeLease(after.ledger))
    assert dict(reported.calls)[window] == {"one": 6}


def test_saved_counts_of_a_reporting_process_count_once(usage):
    window = usage.window()
    usage.update_peer("b", 7, {window: {"one": 3}})
    rows = [UsageRow("b", 7, {"one": 2}), UsageRow("b", 6, {"one": 5})]
    usage.restore(window, rows, ("a", 1))
    assert usage.total(window) == {"one": 8}
