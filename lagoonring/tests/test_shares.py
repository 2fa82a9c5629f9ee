from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.limits.levels import Level
from lagoonring.limits.shares import (
    DelayedGrowth,
    Participant,
    round_demand,
    split,
    split_count,
)
from lagoonring.tests.builders.limits import make_limits_catalogue, make_limits_fleet

PARTS = st.dictionaries(
    st.text("abcdefgh", min_size=1, max_size=3),
    st.builds(Participant, st.none() | st.floats(0, 1000), st.integers(1, 60)),
    min_size=1,
    max_size=20,
)


@settings(derandomize=True, max_examples=300)
@given(PARTS, st.floats(0, 1), st.integers(0, 500))
def test_shares_never_sum_to_more_than_the_limit(parts, floor_share, limit):
    shares = split(parts, floor_share)
    assert sum(shares.values()) <= 1 + 1e-9
    n_instances = sum(part.size for part in parts.values())
    for name, part in parts.items():
        assert shares[name] >= floor_share * part.size / n_instances - 1e-9
        if part.demand is None:
            assert shares[name] == part.size / n_instances
    counts = split_count(limit, shares)
    assert sum(counts.values()) <= limit
    assert all(abs(counts[name] - limit * shares[name]) <= 1 for name in shares)


@settings(derandomize=True, max_examples=200)
@given(PARTS, st.sets(st.text("abcdefgh", min_size=1, max_size=3)), st.floats(0, 1))
def test_shares_never_exceed_the_limit_during_a_partition(parts, side, floor):
    sides = [
        {
            name: Participant(None, part.size) if (name in side) is not is_in else part
            for name, part in parts.items()
        }
        for is_in in (True, False)
    ]
    total = 0.0
    for is_in, view in zip((True, False), sides, strict=True):
        shares = split(view, floor)
        total += sum(shares[name] for name in parts if (name in side) is is_in)
    assert total <= 1 + 1e-9


@settings(derandomize=True, max_examples=200)
@given(PARTS, st.floats(0, 1))
def test_level_gives_the_same_share_as_the_whole_split(parts, floor_share):
    live = [name for name, part in parts.items() if part.demand is not None]
    if not live:
        return
    demands = {
        name: None if part.demand is None else {"org:hann": part.demand}
        for name, part in parts.items()
    }
    sizes = {name: part.size for name, part in parts.items()}
    level = Level(live[0], sizes, demands)
    expected = split(parts, floor_share)
    assert level.shares("org:hann", floor_share) == expected
    own = level.own_share("org:hann", floor_share)
    assert own == pytest.approx(expected[live[0]])


@settings(derandomize=True, max_examples=200)
@given(st.floats(0.05, 1e6))
def test_demand_is_rounded_to_few_close_values(per_s):
    rounded = round_demand(per_s)
    assert rounded == pytest.approx(per_s, rel=0.07)
    assert round_demand(rounded) == rounded


def test_share_growth_is_delayed_but_reduction_is_immediate():
    growth = DelayedGrowth(2.0)
    assert growth.update(0.5, 0.0) == 0.5
    assert growth.update(0.9, 1.0) == 0.5
    assert growth.update(0.9, 2.9) == 0.5
    assert growth.update(0.9, 3.1) == 0.9
    assert growth.update(0.2, 3.2) == 0.2


async def run_demand(services, clock, per_s, *, seconds):
    """Record requests at each instance at the given rates per second."""
    for _ in range(2 * seconds):
        for service, rate in zip(services, per_s, strict=True):
            for _ in range(rate // 2):
                service.tracker.record_request("org:hann")
        await clock.advance(0.5)
        assert sum(service.tracker.share("org:hann") for service in services) <= 1.001


def shares_of(services):
    return [round(service.tracker.share("org:hann"), 3) for service in services]


async def test_shares_follow_demand_and_never_exceed_the_limit():
    content = make_limits_catalogue(requests_per_s=100.0, n_concurrent=10)
    services, _, clock = await make_limits_fleet(
        "plateau", "plateau", "almadies", content=content
    )
    await run_demand(services, clock, [10, 10, 10], seconds=20)
    assert shares_of(services) == pytest.approx([0.333] * 3, abs=0.02)
    await run_demand(services, clock, [40, 0, 0], seconds=30)
    assert shares_of(services)[0] > 0.8
    assert min(shares_of(services)) >= 0.2 / 3 - 0.001
    await run_demand(services, clock, [0, 0, 40], seconds=30)
    assert shares_of(services)[2] > 0.8
    counts = [service.tracker.count("org:hann", 10) for service in services]
    assert sum(counts) <= 10


async def test_shares_freeze_on_a_partition_then_unreachable_ones_get_even_shares():
    content = make_limits_catalogue(requests_per_s=100.0)
    services, network, clock = await make_limits_fleet(
        "plateau", "plateau", "almadies", "almadies", content=content
    )
    await run_demand(services, clock, [60, 2, 2, 2], seconds=30)
    before = shares_of(services)
    network.cut_off("e2", "e3")
    await run_demand(services, clock, [60, 2, 60, 2], seconds=20)
    assert shares_of(services) == before
    await run_demand(services, clock, [60, 2, 60, 2], seconds=40)
    after = shares_of(services)
    assert after[0] + after[1] == pytest.approx(0.5, abs=0.01)
    assert after[2] + after[3] == pytest.approx(0.5, abs=0.01)
    network.heal()
    await run_demand(services, clock, [60, 2, 2, 2], seconds=30)
    assert shares_of(services) == pytest.approx(before, abs=0.05)


async def test_new_instance_does_not_take_the_whole_limit():
    services, _, _ = await make_limits_fleet("plateau", n_instances_expected=9)
    assert services[0].tracker.share("org:hann") == pytest.approx(1 / 9)


async def test_removed_data_centre_expires_from_the_shares():
    services, network, clock = await make_limits_fleet("plateau", "almadies")
    await run_demand(services, clock, [10, 10], seconds=20)
    services[1].app.find("peers").publish("summary", "demand:almadies", None)
    del network.peers["e1"]
    await services[1].app.stop()
    await run_demand(services[:1], clock, [10], seconds=60)
    assert shares_of(services)[0] == pytest.approx(0.5, abs=0.01)
    await clock.advance(600)
    await run_demand(services[:1], clock, [10], seconds=20)
    assert services[0].tracker.share("org:hann") == pytest.approx(1.0)
