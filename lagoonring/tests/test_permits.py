"""Division of an endpoint's limit among instances."""

from __future__ import annotations

import pytest

from lagoonring.kernel import ManualClock
from lagoonring.serving.permits import (
    HORIZON_SLOTS,
    N_KEPT_SLOTS,
    Permits,
    Place,
    count_own,
)
from lagoonring.serving.statements import Statement, record_statement
from lagoonring.tests.builders.retry_budgets import start_in_a_cut
from lagoonring.tests.builders.serving import make_record, make_table

DATA_CENTRES = ("east", "north", "west")


def make_places(n_per_data_centre, data_centres=DATA_CENTRES):
    return [
        Place(address, data_centre, data_centres, addresses)
        for data_centre in data_centres
        for addresses in [
            tuple(f"{data_centre}-{number}" for number in range(n_per_data_centre))
        ]
        for address in addresses
    ]


def make_limited(limit, name="a"):
    table = make_table(make_record(name))
    endpoint = table.find(name)
    record_statement(table, endpoint, Statement(limit_per_s=limit), 0.0)
    return endpoint


@pytest.mark.parametrize("limit", [0.0, 0.25, 1.0, 2.5, 7.0, 90.0])
@pytest.mark.parametrize("n_per_data_centre", [1, 3, 46])
def test_the_parts_of_all_instances_add_up_to_the_limit(limit, n_per_data_centre):
    places = make_places(n_per_data_centre)
    n_slots = 40
    total = sum(
        count_own("a", limit, slot, place)
        for slot in range(1000, 1000 + n_slots)
        for place in places
    )
    assert total == limit * n_slots


def test_every_instance_gets_a_part_in_turn():
    places = make_places(3)
    parts = [
        sum(count_own("a", 1.0, slot, place) for slot in range(900)) for place in places
    ]
    assert min(parts) >= 60
    assert sum(parts) == 900


async def test_a_permit_is_taken_once():
    clock = ManualClock()
    place = Place("x", "east", ("east",), ("x",))
    permits = Permits(lambda: place, clock.time)
    endpoint = make_limited(1.0)
    permits.take(endpoint)
    assert permits.wait_s(endpoint) == 0
    slot = permits.take(endpoint)
    assert 0 < permits.wait_s(endpoint) <= 1.0
    permits.release(endpoint, slot)
    assert permits.wait_s(endpoint) == 0


async def test_an_endpoint_that_takes_nothing_opens_at_no_foreseeable_time():
    clock = ManualClock()
    place = Place("x", "east", ("east",), ("x",))
    permits = Permits(lambda: place, clock.time)
    assert permits.wait_s(make_limited(0.0)) is None
    assert permits.wait_s(make_limited(0.5 / HORIZON_SLOTS)) is None
    assert permits.wait_s(make_table(make_record("b")).find("b")) == 0


async def test_old_slots_are_forgotten():
    clock = ManualClock()
    place = Place("x", "east", ("east",), ("x",))
    permits = Permits(lambda: place, clock.time)
    endpoint = make_limited(1.0)
    for _ in range(10 * HORIZON_SLOTS):
        permits.take(endpoint)
        await clock.advance(1.0)
    assert len(permits.taken) <= 2 * HORIZON_SLOTS + 1


async def test_an_unused_permit_stays_valid_for_one_more_slot():
    clock = ManualClock(1_000_001.0)
    place = Place("x", "east", ("east",), ("x",))
    permits = Permits(lambda: place, clock.time)
    endpoint = make_limited(0.25)
    assert permits.wait_s(endpoint) == 2.0
    while permits.wait_s(endpoint) > 0:
        await clock.advance(permits.wait_s(endpoint))
    await clock.advance(1.5)
    assert permits.wait_s(endpoint) == 0
    await clock.advance(1.0)
    assert permits.wait_s(endpoint) > 0


@pytest.mark.parametrize("limit", [1.0, 3.0, 20.0])
async def test_permits_used_at_once_keep_to_the_limit_in_any_four_seconds(limit):
    clock = ManualClock(1_000_000.5)
    place = Place("x", "east", ("east",), ("x",))
    permits = Permits(lambda: place, clock.time)
    endpoint = make_limited(limit)
    sent_s = []
    for _ in range(200):
        while permits.wait_s(endpoint) == 0:
            permits.take(endpoint)
            sent_s.append(clock.time())
        await clock.advance(0.1)
    most = max(sum(0 <= at_s - from_s < 4 for at_s in sent_s) for from_s in sent_s)
    assert most <= 1.5 * limit * 4 + 5


async def test_a_permit_is_not_valid_after_the_instance_was_paused():
    clock = ManualClock()
    endpoint = make_limited(9.0)
    permits = Permits(lambda: make_places(1)[0], clock.time)
    slot = permits.take(endpoint)
    assert permits.is_valid(endpoint, slot)
    clock.suspend(3.0)
    assert not permits.is_valid(endpoint, slot)


@pytest.mark.parametrize("limit", [1.0, 3.0, 20.0])
async def test_processes_started_again_in_a_slot_keep_to_a_limit(limit):
    clock = ManualClock(1_000_000.0)
    place = Place("x", "east", ("east",), ("x",))
    endpoint = make_limited(limit)
    n_sent = 0
    for _ in range(8):
        started_s = clock.monotonic()
        permits = Permits(
            lambda: place,
            clock.time,
            age_s=lambda started_s=started_s: clock.monotonic() - started_s,
        )
        await clock.advance(0.25)
        while permits.wait_s(endpoint) == 0:
            permits.take(endpoint)
            n_sent += 1
    assert n_sent <= limit * (2.0 + N_KEPT_SLOTS)


async def test_instances_that_know_no_other_yet_keep_to_a_limit():
    deployment = await start_in_a_cut(
        {"east": 2, "west": 3, "north": 1}, is_cut_within=True, duration_s=1.0
    )
    places = [exchange.place() for exchange in deployment.exchanges.values()]
    n_sent = sum(
        count_own("a", 9.0, slot, place) for place in places for slot in range(9)
    )
    assert n_sent <= 9.0 * 9
