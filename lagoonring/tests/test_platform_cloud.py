"""Clients of the cloud, weight store and instance list against their stand-ins."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from lagoonring.endpoints import (
    EndpointConnectError,
    EngineOrder,
    read_load,
    send_order,
)
from lagoonring.errors import Outcome
from lagoonring.kernel import ManualClock
from lagoonring.platform import (
    CloudClient,
    InstanceListClient,
    ListedInstance,
    PlatformAnswerLostError,
    PlatformRejectedError,
    PlatformUnavailableError,
    StartOrder,
    StartRefusedError,
    WeightStoreClient,
)
from lagoonring.standins.cloud_standin import CloudStandin
from lagoonring.standins.instance_list_standin import InstanceListStandin
from lagoonring.standins.options import (
    CloudOptions,
    InstanceListOptions,
    Price,
    WeightStoreOptions,
)
from lagoonring.standins.weight_store_standin import WeightStoreStandin
from lagoonring.tests.builders.standins import running, running_engine, set_faults

LIMIT_S = 5.0
PRICES = [
    Price(data_centre="plateau", instance_class="gpu", n_on_demand=1),
    Price(data_centre="rufisque", instance_class="gpu"),
]


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def clock():
    return ManualClock()


@pytest.fixture
async def engine():
    async with running_engine(versions=["1"]) as engine:
        yield engine


@pytest.fixture
async def cloud(clock, engine):
    options = CloudOptions(
        prices=PRICES, start_s=3, notice_s=5, endpoint_urls=[engine.url, "http://b"]
    )
    standin = CloudStandin(options, clock=clock, endpoints={engine.url: engine})
    async with running(standin):
        yield standin


@pytest.fixture
async def client(cloud, session):
    return CloudClient(cloud.url, session)


def make_order(token="t1", *, data_centre="plateau", market="reclaimable"):
    return StartOrder(
        token=token, instance_class="gpu", data_centre=data_centre, market=market
    )


async def test_start_is_idempotent_per_token(client, clock, engine):
    first = await client.start_instance(make_order())
    again = await client.start_instance(make_order())
    assert (first.state, again.instance) == ("starting", first.instance)
    await clock.advance(3)
    listed = await client.list_instances("t1")
    assert [(item.state, item.url) for item in listed] == [("running", engine.url)]
    assert await client.list_instances("t2") == []


async def test_lost_answer_to_a_start_took_effect(client, cloud):
    await set_faults(cloud, n_lost_answers=1)
    with pytest.raises(PlatformAnswerLostError) as caught:
        await client.start_instance(make_order())
    assert caught.value.outcome is Outcome.UNKNOWN
    assert len(await client.list_instances("t1")) == 1


async def test_refused_starts_have_no_effect(client, cloud):
    await set_faults(cloud, n_refused=1)
    with pytest.raises(StartRefusedError) as caught:
        await client.start_instance(make_order())
    assert caught.value.retry_after_s == 2
    assert await client.list_instances() == []
    await client.start_instance(make_order("a", market="on_demand"))
    with pytest.raises(StartRefusedError):
        await client.start_instance(make_order("b", market="on_demand"))
    with pytest.raises(PlatformRejectedError):
        await client.start_instance(make_order("c", data_centre="oviedo"))


async def test_outage_has_no_effect(client, cloud):
    await set_faults(cloud, is_out=True)
    with pytest.raises(PlatformUnavailableError):
        await client.start_instance(make_order())
    await set_faults(cloud, is_out=False)
    assert await client.list_instances() == []


async def test_wave_gives_notice_then_reclaims(client, cloud, clock, engine, session):
    with pytest.raises(EndpointConnectError):
        await read_load(session, engine.url)
    here = await client.start_instance(make_order("a"))
    await client.start_instance(make_order("b", market="on_demand"))
    await client.start_instance(make_order("c", data_centre="rufisque"))
    await clock.advance(3)
    assert (await read_load(session, engine.url)).n_slots == 8
    await set_faults(cloud, waves=[{"data_centre": "plateau"}])
    page = await client.read_notices(0)
    assert [notice.instance for notice in page.notices] == [here.instance]
    assert page.notices[0].reclaim_s == clock.time() + 5
    assert (await client.read_notices(page.next_seq)).notices == []
    await clock.advance(4.9)
    states = {item.token: item.state for item in await client.list_instances()}
    assert states == {"a": "leaving", "b": "running", "c": "running"}
    await clock.advance(0.2)
    with pytest.raises(EndpointConnectError):
        await read_load(session, engine.url)
    assert [item.state for item in await client.list_instances("a")] == ["gone"]


async def test_costs_accrue_until_the_stop(client, cloud, clock):
    first = await client.start_instance(make_order("a"))
    await client.start_instance(make_order("b", market="on_demand"))
    await clock.advance(1800)
    await client.stop_instance(first.instance)
    await client.stop_instance(first.instance)
    await client.stop_instance("i-unknown")
    await clock.advance(1800)
    costs = cloud.model.count_costs()
    assert costs.reclaimable == pytest.approx(0.15)
    assert costs.on_demand == pytest.approx(1.0)


async def test_price_factor_applies_to_reclaimable_prices(client, cloud):
    await set_faults(cloud, price_factor=4.0)
    prices = await client.read_prices()
    assert [(price.reclaimable, price.on_demand) for price in prices] == [(1.2, 1)] * 2


async def test_weight_store_limits_its_rate(session, clock):
    options = WeightStoreOptions(
        mb_per_s=100, n_concurrent=1, n_waiting_most=1, weights={"guide-2": 500}
    )
    async with running(WeightStoreStandin(options, clock=clock)) as store:
        client = WeightStoreClient(store.url, session)
        assert await client.list_weights() == {"guide-2": 500}
        first = await client.start_fetch("guide-2")
        second = await client.start_fetch("guide-2")
        with pytest.raises(PlatformUnavailableError):
            await client.start_fetch("guide-2")
        with pytest.raises(PlatformRejectedError):
            await client.start_fetch("guide-9")
        await clock.advance(5)
        states = [
            (await client.read_fetch(fetch.fetch)).state for fetch in (first, second)
        ]
        assert states == ["done", "running"]
        await set_faults(store, n_failed=1)
        await clock.advance(5)
        assert (await client.read_fetch(second.fetch)).state == "failed"


async def test_engine_loads_a_version_through_a_failing_weight_store(session):
    options = WeightStoreOptions(mb_per_s=10_000, weights={"2": 1})
    async with (
        running(WeightStoreStandin(options)) as store,
        running_engine(weight_store_url=store.url) as engine,
    ):
        await set_faults(store, n_failed=1)
        await send_order(
            session, engine.url, EngineOrder(kind="load_version", name="2")
        )
        async with asyncio.timeout(LIMIT_S):
            while "2" not in engine.orders.state.versions:
                await asyncio.sleep(0)
        assert store.n_fetches == 2


async def test_instance_list_lags(session, clock):
    first = ListedInstance(instance="plateau-1", data_centre="plateau")
    options = InstanceListOptions(instances=[first], lag_s=2)
    async with running(InstanceListStandin(options, clock=clock)) as standin:
        client = InstanceListClient(standin.url, session)
        leaving = {"instance": "plateau-1", "data_centre": "plateau"}
        leaving["state"] = "leaving"
        async with session.put(f"{standin.url}/instances", json=leaving):
            await clock.advance(1)
        assert await client.read_instances() == [first]
        await clock.advance(1)
        assert [item.state for item in await client.read_instances()] == ["leaving"]
        standin.remove("plateau-1")
        await clock.advance(2)
        assert await client.read_instances() == []
        await set_faults(standin, is_out=True)
        with pytest.raises(PlatformUnavailableError):
            await client.read_instances()


async def test_missing_answers_raise_typed_errors(session):
    async with running(InstanceListStandin()) as standin:
        await standin.server.refuse(60)
        with pytest.raises(PlatformUnavailableError):
            await InstanceListClient(standin.url, session).read_instances()
        await standin.server.accept()
        await set_faults(standin, delay_s=60)
        client = InstanceListClient(standin.url, session)
        reading = asyncio.create_task(client.read_instances())
        async with asyncio.timeout(LIMIT_S):
            while standin.faults.n_delayed == 0:
                await asyncio.sleep(0)
        standin.server.abort_connections()
        with pytest.raises(PlatformUnavailableError):
            await reading
