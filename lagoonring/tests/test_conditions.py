"""Sharing of results: what callers get while some endpoints are not well."""

from __future__ import annotations

import attrs
import pytest

from lagoonring.serving.endpoints import MAX_CONDITION_AGE_S
from lagoonring.tests.builders.shared_load import Behaviour, SharedLoad

RATE_PER_S = 150  # less than one request a second at each of 195 instances
BAD = ("e0", "e1", "e2")


async def play(behaviour, *, shares_results, seconds=6.0):
    """Return what callers got after three of twenty endpoints changed."""
    load = SharedLoad(shares_results=shares_results)
    await load.run_for(2.0, rate_per_s=RATE_PER_S)
    for name in BAD:
        load.behaviours[name] = attrs.evolve(behaviour)
    return load, await load.run_for(seconds, rate_per_s=RATE_PER_S)


def count_bad(counts):
    return sum(counts.get(name, 0) for name in BAD)


async def test_endpoints_that_are_down_are_left_by_all_instances():
    _, alone = await play(Behaviour(is_down=True), shares_results=False)
    _, shared = await play(Behaviour(is_down=True), shares_results=True)
    n_requests = sum(shared.n_ok.values())
    assert sum(shared.n_unreachable.values()) < sum(alone.n_unreachable.values()) / 2
    assert sum(shared.n_unreachable.values()) < n_requests / 10


async def test_endpoints_that_fail_requests_get_few_of_them():
    _, alone = await play(Behaviour(failure_share=0.4), shares_results=False)
    _, shared = await play(Behaviour(failure_share=0.4), shares_results=True)
    assert sum(shared.n_failed.values()) < sum(alone.n_failed.values()) / 2


async def test_slow_endpoints_get_few_requests():
    _, alone = await play(Behaviour(service_s=0.08), shares_results=False)
    _, shared = await play(Behaviour(service_s=0.08), shares_results=True)
    assert count_bad(shared.n_ok) < count_bad(alone.n_ok) / 2
    assert shared.total_s < alone.total_s


@pytest.mark.parametrize(
    "behaviour",
    [Behaviour(is_down=True), Behaviour(failure_share=0.4), Behaviour(service_s=0.08)],
)
async def test_endpoints_that_recover_get_their_part_again(behaviour):
    load, _ = await play(behaviour, shares_results=True)
    for name in BAD:
        load.behaviours[name] = Behaviour()
    await load.run_for(10.0, rate_per_s=RATE_PER_S)
    tally = await load.run_for(4.0, rate_per_s=RATE_PER_S)
    usual = sum(tally.n_ok.values()) / len(load.behaviours)
    assert count_bad(tally.n_ok) > 0.5 * usual * len(BAD)


async def test_conditions_of_a_silent_hub_expire():
    load, _ = await play(Behaviour(is_down=True), shares_results=True)
    table = load.instances[0].table
    assert table.is_assessed(load.clock.monotonic())
    await load.clock.advance(MAX_CONDITION_AGE_S)
    assert not table.is_assessed(load.clock.monotonic())
