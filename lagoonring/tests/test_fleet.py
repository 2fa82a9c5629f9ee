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
    FleetWorld,
)

STOPS = range(3, 100, 8)


@asynccontextmanager
async def running(**options):
    world = FleetWorld(**options)
    await world.start()
    try:
        yield world
    finally:
        await world.stop()


async def test_planned_instances_are_started_and_put_into_the_catalogue():
    async with running() as world:
        assert await world.run(60, until=world.is_settled)
        assert {item.data_centre for item in world.running()} == set(DATA_CENTRES)
        await world.run(20)
        assert world.is_settled()
        assert len(world.model.instances) <= 8


@pytest.mark.parametrize("stop_at", STOPS)
@pytest.mark.parametrize("is_paused", [False, True])
async def test_another_holder_goes_on_wherever_one_stops(stop_at, is_paused):
    async with running() as world:
        assert await world.run(20, until=lambda: world.holder("dc0") is not None)
        holder = world.holder("dc0")
        holder.gate.stop_at = holder.gate.n_passed + stop_at
        await world.run(20, until=lambda: holder.gate.stopped)
        await world.run(10)
        if is_paused:
            holder.gate.open()
        assert await world.run(60, until=world.is_settled)
        await world.run(15)
        assert world.is_settled()
        assert world.stopped_busy == []


async def test_lost_answers_start_nothing_twice():
    async with running(faults=CloudFaults(n_lost_answers=4)) as world:
        assert await world.run(90, until=world.is_settled)
        assert world.faults.n_lost_answers == 0
        await world.run(20)
        assert world.is_settled()
        assert len(world.model.instances) <= 8


async def test_refused_starts_back_off_and_go_elsewhere():
    async with running(faults=CloudFaults(refused_markets={RECLAIMABLE})) as world:
        assert await world.run(60, until=world.is_settled)
        assert world.running(RECLAIMABLE) == []
        n_intents = sum(len(item.fleet.ledger.intents) for item in world.instances)
        await world.run(10)
        more = sum(len(item.fleet.ledger.intents) for item in world.instances)
        assert more - n_intents <= 30
        world.faults.refused_markets.clear()
        assert await world.run(400, until=lambda: not world.running(ON_DEMAND))
        assert await world.run(30, until=world.is_settled)
        assert world.stopped_busy == []


async def test_a_wave_is_told_everywhere_and_replaced():
    async with running() as world:
        assert await world.run(60, until=world.is_settled)
        await world.run(20)
        assert world.is_settled()
        hit = [item for item in world.running() if item.data_centre == "dc0"]
        for item in hit:
            world.reclaim(item.instance)
        await world.run(1)
        names = {item.instance for item in hit}
        for instance in world.instances:
            assert instance.requests.moved.keys() == names
            assert min(instance.requests.moved.values()) > NOTICE_S - 2
        await world.run(NOTICE_S)
        assert await world.run(60, until=world.is_settled)
        assert not names & world.endpoints().keys()


@pytest.mark.parametrize("index", range(3))
async def test_a_notice_is_not_lost_with_one_instance(index):
    async with running(n_per_data_centre=3) as world:
        assert await world.run(60, until=world.is_settled)
        # The others still take it for a member.
        world.instances[index].gate.stopped = True
        item = next(item for item in world.running() if item.data_centre == "dc0")
        world.reclaim(item.instance)
        await world.run(1.5)
        for instance in world.live():
            assert item.instance in instance.requests.moved


async def test_notices_are_read_while_the_log_is_out_and_nothing_is_started():
    async with running() as world:
        assert await world.run(60, until=world.is_settled)
        world.log.faults.is_out = True
        await world.run(8)
        n_started = len(world.model.instances)
        item = world.running()[0]
        world.reclaim(item.instance)
        await world.run(1)
        assert all(item.instance in one.requests.moved for one in world.instances)
        await world.run(10)
        assert len(world.model.instances) == n_started
        world.log.faults.is_out = False
        assert await world.run(60, until=world.is_settled)


async def test_what_is_not_needed_is_drained_before_it_is_stopped():
    async with running(demand=40) as world:
        assert await world.run(90, until=world.is_settled)
        await world.run(10)
        n_before = len(world.running())
        world.demand = 6
        assert await world.run(900, until=lambda: len(world.running()) <= 3)
        assert n_before >= 8
        assert world.stopped_busy == []
        assert await world.run(30, until=world.is_settled)


async def test_an_endpoint_that_never_gets_idle_is_stopped_after_the_longest_time():
    async with running(demand=40) as world:
        assert await world.run(90, until=world.is_settled)
        world.finish_s = 1e9
        world.demand = 6
        assert await world.run(900, until=lambda: world.stopped_busy)
        name = world.stopped_busy[0]
        assert world.clock.time() - world.left_s[name] > OPTIONS.drain_s


async def test_a_start_that_arrives_after_its_intent_was_closed_is_stopped():
    async with running(faults=CloudFaults(refused_markets={RECLAIMABLE})) as world:
        assert await world.run(60, until=world.is_settled)
        ledger = world.holder("dc0").fleet.ledger
        closed = next(item for item in ledger.intents.values() if not item.instance)
        late = StartOrder(
            token=closed.token,
            instance_class="small",
            data_centre="dc0",
            market=RECLAIMABLE,
        )
        name = world.model.start(late).instance
        assert await world.run(
            10, until=lambda: world.model.instances[name].state == "gone"
        )


async def test_own_instances_that_the_log_forgot_are_adopted_and_others_left_alone():
    async with running() as world:
        orders = [
            StartOrder(
                token=token,
                instance_class="small",
                data_centre="dc0",
                market=ON_DEMAND,
            )
            for token in ("lagoonring/dc0/forgotten", "someone-else")
        ]
        forgotten, foreign = [world.model.start(order) for order in orders]
        gone = "gone"
        assert await world.run(
            90, until=lambda: world.model.instances[forgotten.instance].state == gone
        )
        assert world.model.instances[foreign.instance].state != gone


async def test_a_cloud_that_is_out_is_tried_again():
    async with running(faults=CloudFaults(is_out=True)) as world:
        await world.run(15)
        assert world.running() == []
        world.faults.is_out = False
        assert await world.run(60, until=world.is_settled)


def test_rows_of_routing_and_of_notices_read_each_other():
    row = NoticeRow(instance="i", url="u", since_s=1.0, reclaim_s=5.0)
    data = msgspec.msgpack.encode(row)
    leaving = msgspec.msgpack.decode(data, type=LeavingEndpoint)
    assert leaving == LeavingEndpoint(instance="i", url="u", since_s=1.0)
    data = msgspec.msgpack.encode(leaving)
    assert msgspec.msgpack.decode(data, type=NoticeRow).reclaim_s == 0


async def test_the_cloud_over_http_starts_and_tells_notices():
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
