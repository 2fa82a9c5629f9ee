"""Exchange of load and usage between all instances while hubs change."""

from __future__ import annotations

import pytest

from lagoonring.serving.moves import MoveOrder, MoveState, MoveView
from lagoonring.tests.builders.exchanges import ROUND_S
from lagoonring.tests.builders.serving import (
    make_record,
    make_route,
)
from lagoonring.tests.builders.state_sync import PartsDeployment

SETTLE_S = 3.0
TAKE_OVER_S = 3.0


@pytest.fixture
async def deployment():
    made = PartsDeployment(centres=("east", "west", "north"), n_each=3)
    await made.run_for(SETTLE_S)
    return made


async def test_every_instance_knows_the_load_of_all(deployment):
    for number, exchange in enumerate(deployment.exchanges.values()):
        endpoint = exchange.parts.table.find("a")
        endpoint.n_running = number
        endpoint.n_waiting_tokens = 100 * number
    await deployment.run_for(4 * ROUND_S)
    for exchange in deployment.exchanges.values():
        endpoint = exchange.parts.table.find("a")
        assert endpoint.count_running() == sum(range(9))
        assert endpoint.count_waiting_tokens() == 100 * sum(range(9))


async def test_ended_load_is_removed_on_all_instances(deployment):
    endpoint = deployment.exchanges["west-1"].parts.table.find("a")
    endpoint.n_running = 5
    await deployment.run_for(4 * ROUND_S)
    endpoint.n_running = 0
    await deployment.run_for(4 * ROUND_S)
    tables = [parts.table for parts in deployment.parts()]
    assert all(table.find("a").count_running() == 0 for table in tables)


async def test_load_of_a_killed_instance_expires(deployment):
    deployment.exchanges["west-1"].parts.table.find("a").n_running = 5
    await deployment.run_for(4 * ROUND_S)
    deployment.stop("west-1")
    await deployment.run_for(TAKE_OVER_S)
    tables = [parts.table for parts in deployment.parts()]
    assert all(table.find("a").count_running() == 0 for table in tables)


async def test_every_instance_knows_the_usage_of_all(deployment):
    for name in deployment.exchanges:
        deployment.admit(name, 100.0)
    await deployment.run_for(4 * ROUND_S)
    assert deployment.known_usage() == [900.0] * 9
    deployment.admit("north-2", 50.0)
    await deployment.run_for(4 * ROUND_S)
    assert deployment.known_usage() == [950.0] * 9


async def run_with_usage(deployment, seconds):
    """Let each instance admit an amount in each round."""
    for _ in range(round(seconds / ROUND_S)):
        for name in deployment.exchanges:
            deployment.admit(name, 10.0)
        await deployment.run_for(ROUND_S)


@pytest.mark.parametrize("centre", ["east", "west", "north"])
async def test_usage_is_counted_once_when_a_hub_is_replaced(deployment, centre):
    """The amounts that the killed hub had admitted still count."""
    await run_with_usage(deployment, 2.0)
    (hub,) = deployment.hubs(centre)
    deployment.stop(hub)
    await run_with_usage(deployment, TAKE_OVER_S)
    n_rounds = round((2.0 + TAKE_OVER_S) / ROUND_S)
    before = round(2.0 / ROUND_S)
    expected = 10.0 * (8 * n_rounds + before)
    for known_usage in deployment.known_usage():
        assert known_usage == pytest.approx(expected, rel=0.1)


@pytest.mark.parametrize("centre", ["east", "west", "north"])
async def test_a_new_hub_does_not_repeat_usage_to_the_others(deployment, centre):
    for name in deployment.exchanges:
        deployment.admit(name, 100.0)
    await deployment.run_for(4 * ROUND_S)
    (hub,) = deployment.hubs(centre)
    deployment.stop(hub)
    for _ in range(round(TAKE_OVER_S / ROUND_S)):
        await deployment.run_for(ROUND_S)
        others = [
            exchange.parts.quotas.all_totals(deployment.clock.monotonic())
            for exchange in deployment.exchanges.values()
            if exchange.settings.data_centre != centre
        ]
        assert [totals["one"][1] for totals in others] == [900.0] * 6


async def test_usage_is_counted_once_when_a_larger_hub_joins(deployment):
    await run_with_usage(deployment, 2.0)
    deployment.start("east-8", capacity=50.0)
    await run_with_usage(deployment, 2.0)
    expected = 10.0 * (9 * 20 + 10)
    for known_usage in deployment.known_usage():
        assert known_usage == pytest.approx(expected, rel=0.1)


async def test_usage_during_a_partition_is_known_after_it(deployment):
    east = deployment.addresses("east")
    deployment.network.isolate(
        east, deployment.addresses("west") + deployment.addresses("north")
    )
    await run_with_usage(deployment, 3.0)
    deployment.network.blocked.clear()
    await run_with_usage(deployment, 2.0)
    for known_usage in deployment.known_usage():
        assert known_usage == pytest.approx(10.0 * 9 * 25, rel=0.1)


async def test_hubs_know_the_counts_of_all_when_an_instance_is_killed(deployment):
    window = deployment.parts()[0].usage.window()
    for exchange in deployment.exchanges.values():
        exchange.parts.usage.record_start("one")
    await deployment.run_for(1.0)
    killed = next(n for n, other in deployment.exchanges.items() if not other.is_hub())
    deployment.stop(killed)
    deployment.start(killed).parts.usage.record_start("one")
    await deployment.run_for(2.0)
    for centre in deployment.centres:
        (hub,) = deployment.hubs(centre)
        usage = deployment.exchanges[hub].parts.usage
        assert usage.total(window) == {"one": 10}


async def test_hubs_know_the_demand_of_all(deployment):
    for exchange in deployment.exchanges.values():
        for _ in range(20):
            exchange.parts.demand.record_arrival("desk", 0.1)
    await deployment.run_for(1.0)
    for centre in deployment.centres:
        (hub,) = deployment.hubs(centre)
        parts = deployment.exchanges[hub].parts
        own = parts.demand.own()["desk"]
        assert parts.demand.busy_endpoints("desk") == pytest.approx(9 * own, rel=0.2)


async def test_a_request_that_crashes_endpoints_is_known_everywhere(deployment):
    now_s = deployment.clock.monotonic()
    for name in ("east-1", "west-2", "north-0"):
        suspects = deployment.exchanges[name].parts.suspects
        suspects.record_crash("fingerprint", f"endpoint of {name}", now_s)
    await deployment.run_for(5 * ROUND_S)
    now_s = deployment.clock.monotonic()
    assert all(p.suspects.is_blocked("fingerprint", now_s) for p in deployment.parts())


async def test_crashes_in_a_digest_are_not_reported_back(deployment):
    now_s = deployment.clock.monotonic()
    parts = deployment.exchanges["east-1"].parts
    parts.suspects.record_crash("fingerprint", "endpoint", now_s)
    await deployment.run_for(5 * ROUND_S)
    for name, exchange in deployment.exchanges.items():
        if name != "east-1" and not exchange.is_hub():
            assert not exchange.parts.suspects.recent_crashes(now_s + 5 * ROUND_S)


async def test_the_view_of_a_move_reaches_all_instances(deployment):
    view = MoveView(
        offset=3, target="v2", state=MoveState.RUNNING, share=0.1, revision=(1, 1)
    )
    (hub,) = deployment.hubs("north")
    deployment.exchanges[hub].parts.gate.update("desk", view)
    await deployment.run_for(4 * ROUND_S)
    assert all(parts.gate.views["desk"].view == view for parts in deployment.parts())


async def test_a_failed_connection_is_known_to_every_instance(deployment):
    endpoint = deployment.exchanges["west-1"].parts.table.find("a")
    endpoint.mark_unreachable(deployment.clock.monotonic())
    await deployment.run_for(4 * ROUND_S)
    now_s = deployment.clock.monotonic()
    for parts in deployment.parts():
        assert parts.table.find("a").avoided_until_s() > now_s
        assert parts.table.find("b").avoided_until_s() <= now_s


async def test_failures_at_few_instances_are_known_to_every_instance(deployment):
    """Each of three instances saw one success and one failure of the endpoint."""
    for centre in deployment.centres:
        endpoint = deployment.exchanges[f"{centre}-2"].parts.table.find("a")
        for ok in (True, False):
            endpoint.record_result(ok=ok, now_s=deployment.clock.monotonic())
    await deployment.run_for(4 * ROUND_S)
    for parts in deployment.parts():
        condition = parts.table.find("a").condition
        assert condition is not None
        assert 0.25 < condition.failure_share < 0.5


class RecordedMoves:
    """Records the results that a duty receives from peers."""

    def __init__(self):
        self.rows = {}

    def update_peer(self, peer, rows):
        for service, row in rows.items():
            self.rows[peer, service] = row


async def test_results_of_a_move_reach_all_hubs_and_end_with_it(deployment):
    order = MoveOrder(service="desk", target="v2", duration_s=15.0, offset=5)
    hubs = [exchange for exchange in deployment.exchanges.values() if exchange.is_hub()]
    for exchange in deployment.exchanges.values():
        exchange.parts.follower.orders["desk"] = order
        exchange.state_handler.moves = RecordedMoves()
    job = type("Job", (), {"service": "desk", "route": make_route()})()
    for parts in deployment.parts():
        parts.counters.begin(job, make_record(version="v2"), 0.1)
    await deployment.run_for(6 * ROUND_S)
    for hub in hubs:
        known = {peer for peer, _ in hub.state_handler.moves.rows}
        assert len(known) == len(deployment.exchanges) - 1
    view = MoveView(
        offset=5, target="v2", state=MoveState.COMPLETED, share=1.0, revision=(1, 1)
    )
    for parts in deployment.parts():
        parts.gate.update("desk", view)
        assert parts.counters.rows() == {}
