from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import attrs
import pytest

from lagoonring.catalogue import Change, Endpoint
from lagoonring.kernel import ManualClock
from lagoonring.moves.messages import MoveNotice
from lagoonring.moves.orders import EngineControl, VersionOrders
from lagoonring.routing.messages import AttemptResult
from lagoonring.routing.table import Group
from lagoonring.tests.builders.moves import OPTIONS, EngineDouble, MovesFleet
from lagoonring.tests.builders.standins import running_engine

DEADLINE_S = 60.0
PAUSE_S = 12.0
STOPS = range(5, 420, 18)


@asynccontextmanager
async def running(**options):
    fleet = MovesFleet(**options)
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()


def assert_settled(fleet, phase):
    """One version is in force, at every instance, engine and in the catalogue."""
    phases = fleet.phases()
    assert phases[-1] == phase
    assert sum(name in ("finished", "undone") for name in phases) == 1
    wanted = "2" if phase == "finished" else "1"
    for instance in fleet.live():
        content = instance.catalogue.content
        assert content.entries["guide"].version == wanted
        for request in range(50):
            assert instance.moves.choose_version("guide", f"q{request}") == wanted
    for engine in fleet.engines.values():
        if not engine.is_out:
            engine.settle(fleet.clock.time())
            assert engine.versions == [wanted]


async def test_a_good_version_is_finished_by_its_deadline():
    async with running() as fleet:
        await fleet.order(in_s=DEADLINE_S)
        ordered_s = fleet.clock.time()
        assert await fleet.run(DEADLINE_S + 20, until=fleet.is_done)
        assert_settled(fleet, "finished")
        assert fleet.record().since_s <= ordered_s + DEADLINE_S
        expected = ["loading", "trial", "ramp", "finishing", "finished"]
        assert fleet.phases() == expected
        assert not any(instance.moves.findings for instance in fleet.instances)


async def test_a_bad_version_is_stopped_everywhere_and_taken_back():
    async with running() as fleet:
        fleet.failing_share = 0.5
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(DEADLINE_S + 20, until=fleet.is_done)
        assert_settled(fleet, "undone")
        assert fleet.verdict_s is not None
        assert all(time_s <= fleet.verdict_s + 2 for time_s in fleet.new_times_s)
        assert len(fleet.new_times_s) <= 0.05 * fleet.n_requests
        # Only the holder's row on the move is left.
        await fleet.run(2)
        rows = fleet.instances[0].app.find("peers").rows("verdict", MoveNotice)
        assert {name for _, name in rows} == {"guide"}
        assert not fleet.instances[0].app.find("peers").rows("version_counts", object)


async def test_a_fault_that_shows_in_the_last_step_is_taken_back():
    async with running() as fleet:
        await fleet.order(in_s=DEADLINE_S)
        share = OPTIONS.ramp[-1]

        def is_last_step():
            record = fleet.record()
            return record is not None and record.share == share

        assert await fleet.run(DEADLINE_S, until=is_last_step)
        fleet.failing_share = 0.8
        assert await fleet.run(DEADLINE_S, until=fleet.is_done)
        assert_settled(fleet, "undone")
        assert all(time_s <= fleet.verdict_s + 2 for time_s in fleet.new_times_s)


@pytest.mark.parametrize("failing_share", [0.0, 0.6])
@pytest.mark.parametrize("stop_at", STOPS)
@pytest.mark.parametrize("is_paused", [False, True])
async def test_another_holder_goes_on_wherever_one_stops(
    failing_share, stop_at, is_paused
):
    async with running(checks_fencing=stop_at % 2 == 0) as fleet:
        fleet.failing_share = failing_share
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(20, until=lambda: fleet.holder() is not None)
        holder = fleet.holder()
        holder.gate.stop_at = holder.gate.n_passed + stop_at
        await fleet.run(DEADLINE_S, until=lambda: holder.gate.stopped)
        await fleet.run(PAUSE_S)
        if is_paused:
            holder.gate.open()
        assert await fleet.run(DEADLINE_S + 40, until=fleet.is_done)
        await fleet.run(5)
        assert_settled(fleet, "undone" if failing_share else "finished")


async def test_a_late_finish_of_an_old_holder_does_not_follow_an_undo():
    async with running() as fleet:
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(20, until=lambda: fleet.holder() is not None)
        holder = fleet.holder()
        # Its only append to this stream is the edit that finishes the move.
        holder.gate.stop_before = "config"
        assert await fleet.run(DEADLINE_S, until=lambda: holder.gate.stopped)
        assert fleet.phases()[-1] == "finishing"
        for instance in fleet.live():
            instance.moves.findings[fleet.record().key] = "found bad"
        assert await fleet.run(40, until=fleet.is_done)
        assert_settled(fleet, "undone")
        holder.gate.open()
        await fleet.run(10)
        assert_settled(fleet, "undone")


async def test_with_the_log_out_verdicts_stop_a_bad_version():
    async with running() as fleet:
        await fleet.order(in_s=DEADLINE_S)

        def is_in_trial():
            return any(item.moves.share("guide") > 0 for item in fleet.instances)

        assert await fleet.run(20, until=is_in_trial)
        fleet.log.faults.is_out = True
        await fleet.run(3)
        assert all(item.moves.share("guide") > 0 for item in fleet.instances)
        fleet.failing_share = 0.8
        assert await fleet.run(30, until=lambda: fleet.verdict_s is not None)
        await fleet.run(0.5)
        assert all(item.moves.share("guide") == 0 for item in fleet.instances)
        fleet.log.faults.is_out = False
        assert await fleet.run(60, until=fleet.is_done)
        assert_settled(fleet, "undone")


async def test_with_the_log_out_past_the_deadline_the_old_version_serves():
    async with running() as fleet:
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(
            20, until=lambda: fleet.instances[0].moves.share("guide") > 0
        )
        fleet.log.faults.is_out = True
        await fleet.run(DEADLINE_S)
        n_new = len(fleet.new_times_s)
        await fleet.run(5)
        assert len(fleet.new_times_s) == n_new
        fleet.log.faults.is_out = False
        assert await fleet.run(60, until=fleet.is_done)
        assert_settled(fleet, "undone")


async def test_without_weights_a_move_is_undone_in_time():
    async with running() as fleet:
        for engine in fleet.engines.values():
            engine.can_load = False
        await fleet.order(in_s=DEADLINE_S)
        ordered_s = fleet.clock.time()
        assert await fleet.run(DEADLINE_S + 20, until=fleet.is_done)
        assert fleet.phases() == ["loading", "undoing", "undone"]
        assert fleet.record().since_s <= ordered_s + DEADLINE_S
        assert fleet.new_times_s == []


async def test_lost_answers_and_an_endpoint_out_do_not_stop_a_move():
    async with running() as fleet:
        engines = list(fleet.engines.values())
        for engine in engines:
            engine.n_lost_answers = 2
        engines[1].is_out = True
        await fleet.order(in_s=DEADLINE_S)
        fleet.log.faults.n_lost_answers = 3
        assert await fleet.run(DEADLINE_S + 40, until=fleet.is_done)
        assert_settled(fleet, "finished")
        assert all(len(engine.orders) <= 6 for engine in engines)


async def test_of_two_racing_operators_one_wins_and_the_other_is_refused():
    async with running() as fleet:
        await asyncio.gather(
            fleet.order("first", in_s=DEADLINE_S),
            fleet.order("second", in_s=DEADLINE_S, to_version="3"),
            return_exceptions=True,
        )
        if fleet.instances[0].catalogue.content.moves.keys() != {"first", "second"}:
            await fleet.order("second", in_s=DEADLINE_S, to_version="3")
        assert await fleet.run(DEADLINE_S + 20, until=lambda: fleet.is_done("first"))
        assert fleet.record("first").phase == "finished"
        assert fleet.record("second").phase == "refused"
        assert "first" in fleet.record("second").reason


async def test_a_cancelled_move_is_taken_back():
    async with running() as fleet:
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(20, until=lambda: fleet.new_times_s)
        moves = fleet.instances[0].catalogue.content.moves
        await fleet.order(
            in_s=moves["m"].deadline_s - fleet.clock.time(), cancelled=True
        )
        assert await fleet.run(DEADLINE_S, until=fleet.is_done)
        assert_settled(fleet, "undone")
        assert "cancelled" in fleet.record().reason


async def test_an_entry_edited_by_an_operator_meanwhile_is_left_alone():
    async with running() as fleet:
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(20, until=lambda: fleet.new_times_s)
        item = {
            "kind": "model",
            "owner": "asso",
            "service_class": "chat",
            "version": "7",
        }
        await fleet.edit(Change(section="entries", name="guide", item=item))
        assert await fleet.run(DEADLINE_S, until=fleet.is_done)
        assert fleet.record().phase == "undone"
        content = fleet.instances[0].catalogue.content
        assert content.entries["guide"].version == "7"


async def test_a_new_instance_learns_share_and_verdict_from_its_peers():
    async with running() as fleet:
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(20, until=lambda: fleet.new_times_s)
        fresh = await fleet.add("fresh", seed=9)
        assert fresh.moves.share("guide") > 0
        fleet.failing_share = 0.9
        assert await fleet.run(30, until=lambda: fleet.verdict_s is not None)
        last = await fleet.add("last", seed=10)
        assert last.moves.share("guide") == 0


async def test_an_old_order_obeyed_late_is_put_right():
    async with running(checks_fencing=False) as fleet:
        fleet.failing_share = 0.9
        await fleet.order(in_s=DEADLINE_S)

        def is_undone():
            record = fleet.record()
            return record is not None and record.phase == "undone"

        assert await fleet.run(DEADLINE_S, until=is_undone)
        url = fleet.urls[0]
        order = fleet.engines[url].orders[0]
        assert order.kind == "load_version"
        await fleet.run(DEADLINE_S, until=lambda: has_unloaded(fleet, url))
        await fleet.run(0.75)
        fleet.engines[url].obey(order, fleet.clock.time())
        assert await fleet.run(DEADLINE_S, until=fleet.is_done)
        await fleet.run(5)
        assert_settled(fleet, "undone")


def has_unloaded(fleet, url):
    return fleet.engines[url].orders[-1].kind == "unload_version"


async def test_crashes_count_unless_the_request_or_a_reclaim_is_the_cause():
    async with running(n_instances=1) as fleet:
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(20, until=lambda: fleet.new_times_s)
        moves = fleet.instances[0].moves
        counts = moves.comparisons["guide"].counts

        def cut(cause, endpoint, **options):
            result = AttemptResult(ok=False, kind="cut", cause=cause)
            moves.observe("guide", "2", "plan", result, endpoint=endpoint, **options)
            return sum(cell.bad_new[0] for cell in counts.cells.values())

        assert cut("request", "e1", caused_by_request=True) == 0
        assert cut("", "e1", caused_by_request=True) == 0
        assert cut("suspect", "e1", caused_by_request=True) == 1
        assert cut("", "e1") == 1
        assert cut("", "e2") == 2
        assert counts.crashes == {"e1": 1, "e2": 1}
        await fleet.clock.advance(OPTIONS.cut_window_s)
        assert cut("", "e1") == 3


async def test_requests_stay_on_the_old_version_while_none_serves_the_new_one():
    async with running(n_instances=1) as fleet:
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(20, until=lambda: fleet.new_times_s)
        routing = RoutingDouble()
        fleet.instances[0].app.add(routing)
        n_new = len(fleet.new_times_s)
        await fleet.run(2)
        assert len(fleet.new_times_s) == n_new
        routing.group_now.remote.append("guide-3")
        assert await fleet.run(2, until=lambda: len(fleet.new_times_s) > n_new)


async def test_a_plain_service_moves_between_its_endpoints_without_orders():
    async with running(kind="plain") as fleet:
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(DEADLINE_S + 20, until=fleet.is_done)
        assert fleet.phases()[-1] == "finished"
        content = fleet.instances[0].catalogue.content
        assert content.entries["guide"].version == "2"
        versions = {endpoint.version for endpoint in content.endpoints.values()}
        assert versions == {"1", "2"}
        assert not any(engine.orders for engine in fleet.engines.values())


async def test_a_new_endpoint_is_brought_to_the_version_in_force():
    async with running() as fleet:
        await fleet.order(in_s=DEADLINE_S)
        assert await fleet.run(DEADLINE_S + 20, until=fleet.is_done)
        url = "http://127.0.0.1:9999"
        engine = fleet.engines[url] = EngineDouble(checks_fencing=True)
        item = {"entry": "guide", "data_centre": "dc0", "url": url, "version": "2"}
        engine.is_out = True
        await fleet.edit(Change(section="endpoints", name="fresh", item=item))
        await fleet.run(5)
        engine.is_out = False
        assert await fleet.run(30, until=lambda: "2" in engine.versions)
        await fleet.run(5)
        assert len(engine.orders) == 1


class RoutingDouble:
    name = "routing"

    def __init__(self):
        self.group_now = Group()
        self.table = self

    def group(self, entry, version, now_s):
        assert (entry, version) == ("guide", "2")
        return self.group_now


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_engines_over_http_load_and_give_up_a_version(checks_fencing):
    lease = LeaseDouble()
    async with (
        running_engine(versions=["1"], checks_fencing=checks_fencing) as engine,
        aiohttp.ClientSession() as session,
    ):
        endpoint = Endpoint(entry="guide", data_centre="dc0", url=engine.url)
        clock = ManualClock()
        options = attrs.evolve(OPTIONS, order_s=0.0)
        control = EngineControl(lambda: session)
        orders = VersionOrders(lease, control, clock, options)
        for is_wanted, versions in ((True, ["1", "2"]), (False, ["1"])):
            for _ in range(100):
                progress = await orders.reconcile(
                    {"g": endpoint},
                    "2",
                    is_wanted=is_wanted,
                    checks_fencing=checks_fencing,
                )
                if progress.done:
                    break
                await clock.advance(OPTIONS.check_s)
            assert progress.done == {"g"}
            state = await control.read_state(engine.url)
            assert (state.versions, state.fencing) == (versions, lease.fencing_number)


class LeaseDouble:
    fencing_number = 7

    def is_held(self):
        return True
