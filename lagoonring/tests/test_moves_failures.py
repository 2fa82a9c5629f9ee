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
from lagoonring.tests.builders.moves import OPTIONS, EngineDouble, MovesCluster
from lagoonring.tests.builders.standins import running_engine

DEADLINE_S = 60.0
PAUSE_S = 12.0
STOP_POINTS = range(5, 420, 18)


@asynccontextmanager
async def running(**options):
    cluster = MovesCluster(**options)
    await cluster.start()
    try:
        yield cluster
    finally:
        await cluster.stop()


def assert_settled(cluster, phase):
    """Assert that catalogue, instances and engines all use one version."""
    phases = cluster.phases()
    assert phases[-1] == phase
    assert sum(name in ("finished", "undone") for name in phases) == 1
    wanted = "2" if phase == "finished" else "1"
    for instance in cluster.live():
        content = instance.catalogue.content
        assert content.entries["guide"].version == wanted
        for request in range(50):
            assert instance.moves.choose_version("guide", f"q{request}") == wanted
    for engine in cluster.engines.values():
        if not engine.is_out:
            engine.finish_loading(cluster.clock.time())
            assert engine.versions == [wanted]


async def test_a_good_version_is_finished_by_its_deadline():
    async with running() as cluster:
        await cluster.order(in_s=DEADLINE_S)
        ordered_s = cluster.clock.time()
        assert await cluster.run(DEADLINE_S + 20, until=cluster.is_done)
        assert_settled(cluster, "finished")
        assert cluster.record().since_s <= ordered_s + DEADLINE_S
        expected = ["loading", "trial", "ramp", "finishing", "finished"]
        assert cluster.phases() == expected
        assert not any(instance.moves.findings for instance in cluster.instances)


async def test_bad_version_is_stopped_everywhere_and_undone():
    async with running() as cluster:
        cluster.failing_share = 0.5
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(DEADLINE_S + 20, until=cluster.is_done)
        assert_settled(cluster, "undone")
        assert cluster.verdict_s is not None
        assert all(time_s <= cluster.verdict_s + 2 for time_s in cluster.new_times_s)
        assert len(cluster.new_times_s) <= 0.05 * cluster.n_requests
        # Only the row with the move's state remains; verdicts are withdrawn.
        await cluster.run(2)
        rows = cluster.instances[0].app.find("peers").rows("verdict", MoveNotice)
        assert {name for _, name in rows} == {"guide"}
        assert not cluster.instances[0].app.find("peers").rows("version_counts", object)


async def test_fault_in_the_last_step_is_undone():
    async with running() as cluster:
        await cluster.order(in_s=DEADLINE_S)
        share = OPTIONS.ramp[-1]

        def is_last_step():
            record = cluster.record()
            return record is not None and record.share == share

        assert await cluster.run(DEADLINE_S, until=is_last_step)
        cluster.failing_share = 0.8
        assert await cluster.run(DEADLINE_S, until=cluster.is_done)
        assert_settled(cluster, "undone")
        assert all(time_s <= cluster.verdict_s + 2 for time_s in cluster.new_times_s)


@pytest.mark.parametrize("failing_share", [0.0, 0.6])
@pytest.mark.parametrize("stop_at", STOP_POINTS)
@pytest.mark.parametrize("is_paused", [False, True])
async def test_another_holder_continues_from_any_point(
    failing_share, stop_at, is_paused
):
    async with running(checks_fencing=stop_at % 2 == 0) as cluster:
        cluster.failing_share = failing_share
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(20, until=lambda: cluster.holder() is not None)
        holder = cluster.holder()
        holder.gate.stop_at = holder.gate.n_passed + stop_at
        await cluster.run(DEADLINE_S, until=lambda: holder.gate.stopped)
        await cluster.run(PAUSE_S)
        if is_paused:
            holder.gate.open()
        assert await cluster.run(DEADLINE_S + 40, until=cluster.is_done)
        await cluster.run(5)
        assert_settled(cluster, "undone" if failing_share else "finished")


async def test_late_finish_of_an_old_holder_does_not_override_an_undo():
    async with running() as cluster:
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(20, until=lambda: cluster.holder() is not None)
        holder = cluster.holder()
        # The holder appends to this stream only to finish the move.
        holder.gate.stop_before = "config"
        assert await cluster.run(DEADLINE_S, until=lambda: holder.gate.stopped)
        assert cluster.phases()[-1] == "finishing"
        for instance in cluster.live():
            instance.moves.findings[cluster.record().key] = "found bad"
        assert await cluster.run(40, until=cluster.is_done)
        assert_settled(cluster, "undone")
        holder.gate.open()
        await cluster.run(10)
        assert_settled(cluster, "undone")


async def test_verdicts_stop_a_bad_version_during_a_log_outage():
    async with running() as cluster:
        await cluster.order(in_s=DEADLINE_S)

        def is_in_trial():
            return any(item.moves.share("guide") > 0 for item in cluster.instances)

        assert await cluster.run(20, until=is_in_trial)
        cluster.log.faults.is_out = True
        await cluster.run(3)
        assert all(item.moves.share("guide") > 0 for item in cluster.instances)
        cluster.failing_share = 0.8
        assert await cluster.run(30, until=lambda: cluster.verdict_s is not None)
        await cluster.run(0.5)
        assert all(item.moves.share("guide") == 0 for item in cluster.instances)
        cluster.log.faults.is_out = False
        assert await cluster.run(60, until=cluster.is_done)
        assert_settled(cluster, "undone")


async def test_old_version_serves_after_the_deadline_during_a_log_outage():
    async with running() as cluster:
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(
            20, until=lambda: cluster.instances[0].moves.share("guide") > 0
        )
        cluster.log.faults.is_out = True
        await cluster.run(DEADLINE_S)
        n_new = len(cluster.new_times_s)
        await cluster.run(5)
        assert len(cluster.new_times_s) == n_new
        cluster.log.faults.is_out = False
        assert await cluster.run(60, until=cluster.is_done)
        assert_settled(cluster, "undone")


async def test_without_weights_a_move_is_undone_in_time():
    async with running() as cluster:
        for engine in cluster.engines.values():
            engine.can_load = False
        await cluster.order(in_s=DEADLINE_S)
        ordered_s = cluster.clock.time()
        assert await cluster.run(DEADLINE_S + 20, until=cluster.is_done)
        assert cluster.phases() == ["loading", "undoing", "undone"]
        assert cluster.record().since_s <= ordered_s + DEADLINE_S
        assert cluster.new_times_s == []


async def test_lost_answers_and_an_unreachable_endpoint_do_not_stop_a_move():
    async with running() as cluster:
        engines = list(cluster.engines.values())
        for engine in engines:
            engine.n_lost_answers = 2
        engines[1].is_out = True
        await cluster.order(in_s=DEADLINE_S)
        cluster.log.faults.n_lost_answers = 3
        cluster.log.faults.n_late_appends = 2
        assert await cluster.run(DEADLINE_S + 40, until=cluster.is_done)
        assert_settled(cluster, "finished")
        assert all(len(engine.orders) <= 6 for engine in engines)


async def test_one_of_two_concurrent_orders_is_refused():
    async with running() as cluster:
        await asyncio.gather(
            cluster.order("first", in_s=DEADLINE_S),
            cluster.order("second", in_s=DEADLINE_S, to_version="3"),
            return_exceptions=True,
        )
        if cluster.instances[0].catalogue.content.moves.keys() != {"first", "second"}:
            await cluster.order("second", in_s=DEADLINE_S, to_version="3")
        assert await cluster.run(
            DEADLINE_S + 20, until=lambda: cluster.is_done("first")
        )
        assert cluster.record("first").phase == "finished"
        assert cluster.record("second").phase == "refused"
        assert "first" in cluster.record("second").reason


async def test_cancelled_move_is_undone():
    async with running() as cluster:
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(20, until=lambda: cluster.new_times_s)
        moves = cluster.instances[0].catalogue.content.moves
        await cluster.order(
            in_s=moves["m"].deadline_s - cluster.clock.time(), cancelled=True
        )
        assert await cluster.run(DEADLINE_S, until=cluster.is_done)
        assert_settled(cluster, "undone")
        assert "cancelled" in cluster.record().reason


async def test_entry_edited_by_an_operator_during_a_move_is_not_changed():
    async with running() as cluster:
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(20, until=lambda: cluster.new_times_s)
        item = {
            "kind": "model",
            "owner": "asso",
            "service_class": "chat",
            "version": "7",
        }
        await cluster.edit(Change(section="entries", name="guide", item=item))
        assert await cluster.run(DEADLINE_S, until=cluster.is_done)
        assert cluster.record().phase == "undone"
        content = cluster.instances[0].catalogue.content
        assert content.entries["guide"].version == "7"


async def test_a_new_instance_learns_share_and_verdict_from_its_peers():
    async with running() as cluster:
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(20, until=lambda: cluster.new_times_s)
        fresh = await cluster.add("fresh", seed=9)
        assert fresh.moves.share("guide") > 0
        cluster.failing_share = 0.9
        assert await cluster.run(30, until=lambda: cluster.verdict_s is not None)
        last = await cluster.add("last", seed=10)
        assert last.moves.share("guide") == 0


async def test_late_order_of_an_earlier_holder_is_corrected():
    async with running(checks_fencing=False) as cluster:
        cluster.failing_share = 0.9
        await cluster.order(in_s=DEADLINE_S)

        def is_undone():
            record = cluster.record()
            return record is not None and record.phase == "undone"

        assert await cluster.run(DEADLINE_S, until=is_undone)
        url = cluster.urls[0]
        order = cluster.engines[url].orders[0]
        assert order.kind == "load_version"
        await cluster.run(DEADLINE_S, until=lambda: has_unloaded(cluster, url))
        await cluster.run(0.75)
        cluster.engines[url].handle_order(order, cluster.clock.time())
        assert await cluster.run(DEADLINE_S, until=cluster.is_done)
        await cluster.run(5)
        assert_settled(cluster, "undone")


def has_unloaded(cluster, url):
    return cluster.engines[url].orders[-1].kind == "unload_version"


async def test_crashes_count_unless_the_request_or_a_reclaim_is_the_cause():
    async with running(n_instances=1) as cluster:
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(20, until=lambda: cluster.new_times_s)
        moves = cluster.instances[0].moves
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
        await cluster.clock.advance(OPTIONS.cut_window_s)
        assert cut("", "e1") == 3


async def test_requests_stay_on_the_old_version_while_no_endpoint_serves_the_new_one():
    async with running(n_instances=1) as cluster:
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(20, until=lambda: cluster.new_times_s)
        routing = RoutingDouble()
        cluster.instances[0].app.add(routing)
        n_new = len(cluster.new_times_s)
        await cluster.run(2)
        assert len(cluster.new_times_s) == n_new
        routing.group_now.remote.append("guide-3")
        assert await cluster.run(2, until=lambda: len(cluster.new_times_s) > n_new)


async def test_a_plain_service_moves_between_its_endpoints_without_orders():
    async with running(kind="plain") as cluster:
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(DEADLINE_S + 20, until=cluster.is_done)
        assert cluster.phases()[-1] == "finished"
        content = cluster.instances[0].catalogue.content
        assert content.entries["guide"].version == "2"
        versions = {endpoint.version for endpoint in content.endpoints.values()}
        assert versions == {"1", "2"}
        assert not any(engine.orders for engine in cluster.engines.values())


async def test_new_endpoint_loads_the_version_in_force():
    async with running() as cluster:
        await cluster.order(in_s=DEADLINE_S)
        assert await cluster.run(DEADLINE_S + 20, until=cluster.is_done)
        url = "http://127.0.0.1:9999"
        engine = cluster.engines[url] = EngineDouble(checks_fencing=True)
        item = {"entry": "guide", "data_centre": "dc0", "url": url, "version": "2"}
        engine.is_out = True
        await cluster.edit(Change(section="endpoints", name="fresh", item=item))
        await cluster.run(5)
        engine.is_out = False
        assert await cluster.run(30, until=lambda: "2" in engine.versions)
        await cluster.run(5)
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
async def test_engines_over_http_load_and_unload_a_version(checks_fencing):
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
