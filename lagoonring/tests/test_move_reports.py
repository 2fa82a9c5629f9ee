"""How moves ended: statuses that operators read, and records for later holders."""

from __future__ import annotations

import aiohttp
import attrs
import pytest

from lagoonring.kernel import ManualClock
from lagoonring.platform.exchange import PlatformAnswerLostError
from lagoonring.platform.log import make_offset
from lagoonring.platform.move_records import TOPIC, StoredMoves
from lagoonring.platform.store import STATUS_TOPIC, StoreClient
from lagoonring.serving.duties import DutyLedger
from lagoonring.serving.move_reports import CHECKED_S, MoveEnd, MoveReports
from lagoonring.serving.moves import MoveGate, MoveOrder, MoveState
from lagoonring.serving.version_results import VersionCounters
from lagoonring.serving.versions import MovesDuty
from lagoonring.standins.platform_standin import PlatformStandin
from lagoonring.tests.builders.serving import (
    FakeFollower,
    make_configuration,
    make_record,
    make_table,
)
from lagoonring.tests.builders.version_moves import FakeLease, MemoryMoveRecords

ORDER = MoveOrder(service="desk", target="v2", duration_s=12.0, offset=5)
ENDS = (MoveState.COMPLETED, MoveState.ROLLED_BACK)


def make_end(**changes):
    values = {
        "service": "desk",
        "offset": 5,
        "target": "v2",
        "duration_s": 12.0,
        "state": MoveState.COMPLETED,
    }
    return MoveEnd(**(values | changes))


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def records(clock):
    return MemoryMoveRecords(clock)


class Holder:
    """A holder in a process that has just started and knows nothing of the move."""

    def __init__(self, clock, records, order=ORDER):
        self.clock = clock
        self.order = attrs.evolve(order, is_old=True)
        follower = FakeFollower(make_configuration(), {"desk": self.order})
        self.gate = MoveGate(follower, clock)
        self.ledger = DutyLedger()
        self.reports = MoveReports(records, clock)
        self.duty = MovesDuty(
            self.ledger,
            follower,
            self.gate,
            make_table(make_record("b", version="v2")),
            VersionCounters(self.gate, clock, life=1),
            clock,
            self.reports,
            exposure_share=0.1,
            exposure_slack=50,
            true_time=clock.time,
        )
        self.lease = FakeLease(self.ledger)

    async def run(self, seconds):
        for _ in range(int(seconds * 2)):
            await self.duty.step(self.lease)
            await self.clock.advance(0.5)

    @property
    def state(self):
        return self.gate.state_of(self.order)


@pytest.mark.parametrize("state", ENDS)
async def test_a_late_report_does_not_undo_an_end_over_a_restart_of_all(
    clock, records, state
):
    # Guards against a completed move that is rolled back after a late "running".
    reports = MoveReports(records, clock)
    await reports.report_end(ORDER, state)
    await records.write_status("desk", "v2", MoveState.RUNNING)
    holder = Holder(clock, records)
    await holder.run(20.0)
    assert holder.state is state
    assert records.statuses == {"desk": ("v2", state)}


async def test_a_status_that_a_late_report_replaced_is_corrected(clock, records):
    # Guards against operators who read that a completed move runs.
    holder = Holder(clock, records)
    await holder.run(1.0)
    records.n_lost_statuses = 1
    with pytest.raises(PlatformAnswerLostError):
        await holder.reports.report_end(ORDER, MoveState.COMPLETED)
    await holder.reports.report_end(ORDER, MoveState.COMPLETED)
    holder.duty._publish_final(holder.lease, holder.order, MoveState.COMPLETED)
    await holder.run(5.0)
    await records.write_status("desk", "v2", MoveState.RUNNING)
    await holder.run(CHECKED_S)
    assert records.statuses == {"desk": ("v2", MoveState.COMPLETED)}


async def test_statuses_are_read_again_only_while_a_late_write_may_come(clock, records):
    reports = MoveReports(records, clock)
    reports.begin()
    for _ in range(int(10 * CHECKED_S)):
        await reports.check()
        await reports.report_end(ORDER, MoveState.COMPLETED)
        await clock.advance(1.0)
    assert records.n_reads == 3
    assert len(records.written) == 1


@pytest.mark.parametrize("state", ENDS)
async def test_an_end_that_a_returned_store_lacks_is_written_again(
    clock, records, state
):
    # Guards against a move that runs again after an older copy has come back.
    await MoveReports(records, clock).report_end(ORDER, state)
    holder = Holder(clock, records)
    await holder.run(1.0)
    records.ends, records.statuses = [], {"desk": ("v2", MoveState.RUNNING)}
    holder.lease = FakeLease(holder.ledger, fencing_number=2)
    await holder.run(2.0)
    assert [end.state for end in records.ends] == [state]
    assert records.statuses == {"desk": ("v2", state)}
    assert holder.state is state


@pytest.mark.parametrize("state", ENDS)
async def test_an_end_that_only_the_status_tells_is_adopted(clock, records, state):
    # Earlier releases record nothing else for longer than the log retains records.
    records.statuses["desk"] = "v2", state
    holder = Holder(clock, records)
    await holder.run(1.0)
    assert holder.state is state
    allowed = holder.gate.allowed("desk", ("v1", "v2"), "r")
    assert allowed == ({"v2"} if state is MoveState.COMPLETED else {"v1"})


async def test_the_end_of_an_earlier_order_is_not_that_of_a_new_one(clock, records):
    await MoveReports(records, clock).report_end(ORDER, MoveState.ROLLED_BACK)
    holder = Holder(clock, records, attrs.evolve(ORDER, offset=8))
    await holder.run(1.0)
    assert holder.state is MoveState.RUNNING


@pytest.mark.parametrize(
    ("order", "expected"),
    [
        (ORDER, True),
        (attrs.evolve(ORDER, target="v3"), False),
        (attrs.evolve(ORDER, offset=6), False),
        (attrs.evolve(ORDER, offset=make_offset(1, 3)), True),
        (attrs.evolve(ORDER, offset=make_offset(1, 3), duration_s=20.0), False),
    ],
)
def test_an_end_is_that_of_the_same_order(order, expected):
    assert make_end().is_of(order) is expected


async def test_ends_and_statuses_are_kept_in_the_store():
    platform = PlatformStandin()
    await platform.start()
    platform.write(STATUS_TOPIC, "other", {"state": "odd"})
    platform.write(STATUS_TOPIC, "rollout/odd", {"state": "odd"})
    platform.write(TOPIC, "odd", "not an end")
    async with aiohttp.ClientSession() as session:
        stored = StoredMoves(StoreClient(f"http://{platform.address}", session))
        await stored.write_status("desk", "v2", MoveState.RUNNING)
        await stored.write_status("desk", "v2", MoveState.COMPLETED)
        first = make_end(service="long" * 60)
        second = attrs.evolve(first, offset=9, state=MoveState.ROLLED_BACK)
        await stored.write_end(first, [])
        await stored.write_end(second, [first])
        assert await stored.read_statuses() == {"desk": ("v2", MoveState.COMPLETED)}
        assert await stored.read_ends() == [second]
    await platform.stop()
