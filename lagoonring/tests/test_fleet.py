from __future__ import annotations

from contextlib import asynccontextmanager

import aiohttp
import msgspec
import pytest

from lagoonring.fleet.messages import NoticeRow
from lagoonring.fleet.service import FleetService
from lagoonring.kernel import Application, ManualClock
from lagoonring.platform.cloud import ON_DEMAND, RECLAIMABLE, StartOrder
from lagoonring.routing.messages import LeavingEndpoint
from lagoonring.standins.cloud_standin import CloudStandin
from lagoonring.standins.options import CloudOptions, Price
from lagoonring.tests.builders.fleet import (
    DATA_CENTRES,
    NOTICE_S,
    OPTIONS,
    CloudFaults,
    FleetCluster,
)

STOP_POINTS = range(3, 100, 8)


@asynccontextmanager
async def running(**options):
    cluster = FleetCluster(**options)
    await cluster.start()
    try:
        yield cluster
    finally:
        await cluster.stop()


async def test_planned_instances_are_started_and_put_into_the_catalogue():
    async with running() as cluster:
        assert await cluster.run(60, until=cluster.is_settled)
        assert {item.data_centre for item in cluster.running()} == set(DATA_CENTRES)
        await cluster.run(20)
        assert cluster.is_settled()
        assert len(cluster.model.instances) <= 8


@pytest.mark.parametrize("stop_at", STOP_POINTS)
@pytest.mark.parametrize("is_paused", [False, True])
async def test_another_holder_continues_from_any_point(stop_at, is_paused):
    async with running() as cluster:
        assert await cluster.run(20, until=lambda: cluster.holder("dc0") is not None)
        holder = cluster.holder("dc0")
        holder.gate.stop_at = holder.gate.n_passed + stop_at
        await cluster.run(20, until=lambda: holder.gate.stopped)
        await cluster.run(10)
        if is_paused:
            holder.gate.open()
        assert await cluster.run(60, until=cluster.is_settled)
        await cluster.run(15)
        assert cluster.is_settled()
        assert cluster.stopped_while_busy == []


async def test_lost_answers_start_nothing_twice():
    async with running(faults=CloudFaults(n_lost_answers=4)) as cluster:
        assert await cluster.run(90, until=cluster.is_settled)
        assert cluster.faults.n_lost_answers == 0
        await cluster.run(20)
        assert cluster.is_settled()
        assert len(cluster.model.instances) <= 8


async def test_refused_starts_back_off_and_use_another_market():
    async with running(faults=CloudFaults(refused_markets={RECLAIMABLE})) as cluster:
        assert await cluster.run(60, until=cluster.is_settled)
        assert cluster.running(RECLAIMABLE) == []
        n_intents = sum(len(item.fleet.ledger.intents) for item in cluster.instances)
        await cluster.run(10)
        more = sum(len(item.fleet.ledger.intents) for item in cluster.instances)
        assert more - n_intents <= 30
        cluster.faults.refused_markets.clear()
        assert await cluster.run(400, until=lambda: not cluster.running(ON_DEMAND))
        assert await cluster.run(30, until=cluster.is_settled)
        assert cluster.stopped_while_busy == []


async def test_reclaim_wave_is_published_to_all_instances_and_replaced():
    async with running() as cluster:
        assert await cluster.run(60, until=cluster.is_settled)
        await cluster.run(20)
        assert cluster.is_settled()
        reclaimed = [item for item in cluster.running() if item.data_centre == "dc0"]
        for item in reclaimed:
            cluster.reclaim(item.instance)
        await cluster.run(1)
        names = {item.instance for item in reclaimed}
        for instance in cluster.instances:
            assert instance.requests.moved.keys() == names
            assert min(instance.requests.moved.values()) > NOTICE_S - 2
        await cluster.run(NOTICE_S)
        assert await cluster.run(60, until=cluster.is_settled)
        assert not names & cluster.endpoints().keys()


@pytest.mark.parametrize("index", range(3))
async def test_notice_survives_the_loss_of_one_reader(index):
    async with running(n_per_data_centre=3) as cluster:
        assert await cluster.run(60, until=cluster.is_settled)
        # The other instances still count the stopped one as a member.
        cluster.instances[index].gate.stopped = True
        item = next(item for item in cluster.running() if item.data_centre == "dc0")
        cluster.reclaim(item.instance)
        await cluster.run(1.5)
        for instance in cluster.live():
            assert item.instance in instance.requests.moved


async def test_notices_are_read_and_nothing_is_started_during_a_log_outage():
    async with running() as cluster:
        assert await cluster.run(60, until=cluster.is_settled)
        cluster.log.faults.is_out = True
        await cluster.run(8)
        n_started = len(cluster.model.instances)
        item = cluster.running()[0]
        cluster.reclaim(item.instance)
        await cluster.run(1)
        assert all(item.instance in one.requests.moved for one in cluster.instances)
        await cluster.run(10)
        assert len(cluster.model.instances) == n_started
        cluster.log.faults.is_out = False
        assert await cluster.run(60, until=cluster.is_settled)


async def test_surplus_instances_are_drained_before_they_are_stopped():
    async with running(demand=40) as cluster:
        assert await cluster.run(90, until=cluster.is_settled)
        await cluster.run(10)
        n_before = len(cluster.running())
        cluster.demand = 6
        assert await cluster.run(900, until=lambda: len(cluster.running()) <= 3)
        assert n_before >= 8
        assert cluster.stopped_while_busy == []
        assert await cluster.run(30, until=cluster.is_settled)


async def test_endpoint_that_stays_busy_is_stopped_after_the_drain_time():
    async with running(demand=40) as cluster:
        assert await cluster.run(90, until=cluster.is_settled)
        cluster.finish_s = 1e9
        cluster.demand = 6
        assert await cluster.run(900, until=lambda: cluster.stopped_while_busy)
        name = cluster.stopped_while_busy[0]
        assert cluster.clock.time() - cluster.leaving_since_s[name] > OPTIONS.drain_s


async def test_late_start_of_a_closed_intent_is_stopped():
    async with running(faults=CloudFaults(refused_markets={RECLAIMABLE})) as cluster:
        assert await cluster.run(60, until=cluster.is_settled)
        ledger = cluster.holder("dc0").fleet.ledger
        closed = next(item for item in ledger.intents.values() if not item.instance)
        late_order = StartOrder(
            token=closed.token,
            instance_class="small",
            data_centre="dc0",
            market=RECLAIMABLE,
        )
        name = cluster.model.start(late_order).instance
        assert await cluster.run(
            10, until=lambda: cluster.model.instances[name].state == "gone"
        )


async def test_own_instances_without_an_intent_are_adopted_and_foreign_ones_ignored():
    """The log may have dropped the intent of an instance that still costs money."""
    async with running() as cluster:
        orders = [
            StartOrder(
                token=token,
                instance_class="small",
                data_centre="dc0",
                market=ON_DEMAND,
            )
            for token in ("lagoonring/dc0/forgotten", "someone-else")
        ]
        forgotten, foreign = [cluster.model.start(order) for order in orders]
        gone = "gone"
        assert await cluster.run(
            90, until=lambda: cluster.model.instances[forgotten.instance].state == gone
        )
        assert cluster.model.instances[foreign.instance].state != gone


async def test_cloud_outage_is_retried():
    async with running(faults=CloudFaults(is_out=True)) as cluster:
        await cluster.run(15)
        assert cluster.running() == []
        cluster.faults.is_out = False
        assert await cluster.run(60, until=cluster.is_settled)


def test_rows_of_routing_and_notices_are_compatible():
    row = NoticeRow(instance="i", url="u", since_s=1.0, reclaim_s=5.0)
    data = msgspec.msgpack.encode(row)
    leaving = msgspec.msgpack.decode(data, type=LeavingEndpoint)
    assert leaving == LeavingEndpoint(instance="i", url="u", since_s=1.0)
    data = msgspec.msgpack.encode(leaving)
    assert msgspec.msgpack.decode(data, type=NoticeRow).reclaim_s == 0


async def test_http_cloud_client_starts_instances_and_reads_notices():
    price = Price(data_centre="dc0", instance_class="small")
    options = CloudOptions(prices=[price], start_s=0.0, notice_s=60.0)
    standin = CloudStandin(options, clock=ManualClock())
    order = StartOrder(
        token="lagoonring/dc0/1",
        instance_class="small",
        data_centre="dc0",
        market=RECLAIMABLE,
    )
    await standin.start()
    try:
        async with aiohttp.ClientSession() as session:
            app = Application()
            app.add(SessionDouble(session))
            fleet = FleetService(app, data_centre="dc0", cloud_url=standin.url)
            cloud = fleet.find_cloud()
            first = await cloud.start_instance(order)
            again = await cloud.start_instance(order)
            assert again.instance == first.instance
            standin.model.announce(first.instance, 60.0)
            page = await cloud.read_notices(0)
            assert [notice.instance for notice in page.notices] == [first.instance]
    finally:
        await standin.stop()


class SessionDouble:
    name = "session"

    def __init__(self, session):
        self.session = session
