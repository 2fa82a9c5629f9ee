"""Endpoints that come back cold, and what all instances together send to them."""

from __future__ import annotations

import pytest

from lagoonring.kernel import ManualClock
from lagoonring.platform.store import KeyedRecord
from lagoonring.serving.configuration import ServiceEntry
from lagoonring.serving.endpoints import EndpointState
from lagoonring.serving.settings import Bounds
from lagoonring.serving.warming import (
    apply_cold_rows,
    bounded_warm_up,
    cold_rows,
    is_cold,
)
from lagoonring.tests.builders.cold_service import (
    MAX_ARRIVALS,
    WARM_UP,
    ColdService,
    most_in_a_second,
)
from lagoonring.tests.builders.followers import make_follower
from lagoonring.tests.builders.serving import (
    FakeAnswer,
    FakeSender,
    make_configuration,
    make_parts,
    make_record,
    make_request,
    make_table,
    serve,
)

USED_SHARE = 0.8  # of what a cold endpoint takes, while callers wait
BURST_PER_S = 6.0  # at each instance


def endpoints_named(n_endpoints):
    return tuple(f"e{number}" for number in range(n_endpoints))


@pytest.mark.parametrize("record_delay_s", [0.0, 1.5])
@pytest.mark.parametrize(
    ("n_each", "n_cold"), [(3, 5), (20, 1), (20, 20), (65, 1), (65, 20)]
)
async def test_endpoints_that_come_back_get_no_more_than_they_bear(
    n_each, n_cold, record_delay_s
):
    """A burst at every instance, while no other endpoint has room."""
    n_bearable_per_s = n_cold * WARM_UP.rate_per_s
    service = ColdService(
        n_per_data_centre=n_each,
        endpoints=endpoints_named(n_cold),
        rate_per_s=max(2 * n_bearable_per_s, 3 * n_each * BURST_PER_S),
        record_delay_s=record_delay_s,
    )
    await service.run(service.back_s + WARM_UP.duration_s)
    sinks = await service.finish_requests()
    arrivals = service.cold_arrivals()
    assert max(map(most_in_a_second, arrivals.values())) <= MAX_ARRIVALS
    n_taken = sum(map(len, arrivals.values()))
    assert n_taken >= USED_SHARE * n_bearable_per_s * WARM_UP.duration_s
    assert all(sink.is_whole for sink in sinks)


async def test_without_the_configuration_nothing_is_held_back():
    service = ColdService(n_per_data_centre=3, rate_per_s=300.0, is_configured=False)
    await service.run(service.back_s + WARM_UP.duration_s)
    await service.finish_requests()
    assert max(map(most_in_a_second, service.cold_arrivals().values())) > MAX_ARRIVALS


async def test_warm_endpoints_take_what_cold_ones_do_not():
    service = ColdService(
        endpoints=endpoints_named(6), returning=("e0", "e1"), rate_per_s=200.0
    )
    await service.run(service.back_s + WARM_UP.duration_s)
    sinks = await service.finish_requests()
    most = max(map(most_in_a_second, service.cold_arrivals().values()))
    assert most <= MAX_ARRIVALS
    assert all(sink.status == 200 for sink in sinks)


@pytest.mark.parametrize(
    ("excess", "slack", "rate_per_s"), [(1.5, 5, 10.0), (1.3, 0, 10.0), (1.0, 0, 7.69)]
)
def test_the_rate_keeps_within_the_tolerance_of_a_second(excess, slack, rate_per_s):
    bounded = bounded_warm_up(WARM_UP, excess=excess, slack=slack)
    assert bounded.rate_per_s == pytest.approx(rate_per_s, abs=0.01)


async def test_one_instance_tells_the_others_of_a_restart_that_only_it_saw():
    parts = make_parts(FakeSender(lambda order: FakeAnswer([b"done"])))
    now_s = parts.app.clock.monotonic()
    here, there = make_table(make_record("a")), make_table(make_record("a"))
    for table in (here, there):
        table.warm_ups = {"desk": WARM_UP}
    here.apply(make_record("a", sequence=2, cold_left_s=2.0), n_cache_tokens=1, now_s=1)
    assert not cold_rows(here.endpoints.values(), 1.0, 1.0)  # others read the record
    here.find("a").cold_seen_until_s = now_s + 2.0
    rows = cold_rows(here.endpoints.values(), now_s, now_s)
    apply_cold_rows(there, rows, now_s + 0.2, now_s + 0.2)
    assert is_cold(there.find("a"), now_s + 1.9)
    reborn = make_table(make_record("a", born_ms=2000))
    apply_cold_rows(reborn, rows, now_s, now_s)
    assert not is_cold(reborn.find("a"), now_s)


async def test_news_that_go_in_circles_do_not_keep_an_endpoint_cold():
    tables = [make_table(make_record("a")) for _ in range(3)]
    for table in tables:
        table.warm_ups = {"desk": WARM_UP}
    tables[0].find("a").cold_seen_until_s = 3.0
    tables[0].find("a").cold_until_s = 3.0
    now_s = 0.0
    while now_s < 3.5:
        rows = [cold_rows(table.endpoints.values(), now_s, now_s) for table in tables]
        now_s += 0.15
        for table in tables:
            for row in rows:
                apply_cold_rows(table, row, now_s, now_s)
    assert not any(is_cold(table.find("a"), now_s) for table in tables)


async def test_a_part_that_was_taken_before_a_pause_is_not_used_after_it():
    """The instance is suspended between the choice and the connection."""
    clock = ManualClock()
    wanted = []

    def answer(order):
        wanted.append(order.is_wanted())
        clock.suspend(2.0)
        wanted.append(order.is_wanted())
        return FakeAnswer([b"done"])

    parts = make_parts(FakeSender(answer), make_record("a"), clock=clock)
    parts.table.warm_ups = {"desk": WARM_UP}
    parts.table.find("a").cold_until_s = clock.monotonic() + WARM_UP.duration_s
    request = make_request(received_s=clock.monotonic())
    sink = await serve(parts, request)
    while sink.status == 503:  # until a part of the rate falls to this instance
        await clock.advance(0.1)
        sink = await serve(parts, make_request(received_s=clock.monotonic()))
    assert wanted == [True, False]


@pytest.mark.parametrize("state", list(EndpointState))
async def test_a_record_is_news_to_other_instances_once_its_endpoint_turns_cold(state):
    table = make_table(make_record("a", state=state))
    cold = make_record("a", state=state, sequence=2, cold_left_s=3.0)
    later = make_record("a", state=state, sequence=3, cold_left_s=2.0)
    assert table.apply(cold, n_cache_tokens=1, now_s=10.0) == "cold"
    assert table.apply(later, n_cache_tokens=1, now_s=11.0) == ""


def test_changed_bounds_and_configurations_take_effect_without_a_restart():
    service = ServiceEntry(name="desk", max_connections=5, warm_up=WARM_UP)
    follower = make_follower({b"1": make_configuration(services={"desk": service})})
    follower.apply_document(KeyedRecord("config", b"1", 0))
    assert follower.table.warm_ups["desk"].rate_per_s == WARM_UP.rate_per_s
    follower.apply_bounds(Bounds(cold_excess=0.65, cold_slack=0.0))
    assert follower.table.warm_ups["desk"].rate_per_s == pytest.approx(5.0)
