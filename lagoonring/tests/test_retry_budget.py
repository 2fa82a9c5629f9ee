"""Retry budgets of several instances, without a network."""

from __future__ import annotations

import random

import pytest

from lagoonring.serving.retry_budget import RetryBudget
from lagoonring.tests.builders.exchanges import Deployment
from lagoonring.tests.builders.retry_budgets import play_refusals, start_in_a_cut

CENTRES = {"east": 2, "west": 2, "north": 1, "south": 1}
N_INSTANCES = sum(CENTRES.values())


def test_all_instances_together_retry_within_the_budget():
    n_instances, ratio, slack = 9, 0.2, 58
    budgets = [
        RetryBudget(ratio=ratio, slack=slack, window_s=10.0, started_s=-10.0)
        for _ in range(n_instances)
    ]
    n_requests, n_retries = 0, 0
    for step in range(900):
        now_s = step / 90
        budget = budgets[step % n_instances]
        budget.record_request("desk", now_s)
        n_requests += 1
        n_retries += budget.take("desk", now_s, 1 / n_instances)
    assert 0 < n_retries <= ratio * n_requests + slack


def test_retries_are_allowed_again_after_the_window():
    budget = RetryBudget(ratio=0.0, slack=10, window_s=10.0, started_s=-10.0)
    while budget.take("desk", 1.0, 1):
        pass
    assert budget.take("desk", 11.5, 1)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "kills",
    [(20.0,), (20.0, 25.0), (20.0, 22.5, 25.0, 27.5), (20.0, 21.5, 23.0, 24.5, 26.0)],
)
def test_processes_started_again_keep_to_the_budget_together(kills, seed):
    play = play_refusals(
        CENTRES,
        part_of=lambda *_: 1 / N_INSTANCES,
        kills=kills,
        ill_from_s=19.5,
        seed=seed,
    )
    assert len(play.repeats) > 50
    assert play.excess() <= 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("discovery_s", [0.3, 1.0, 3.0])
def test_processes_that_know_no_other_yet_keep_to_the_budget(discovery_s, seed):
    def part_of(instance, now_s):
        is_alone = now_s < instance.started_s + discovery_s
        return 1.0 if is_alone else 1 / N_INSTANCES

    play = play_refusals(
        CENTRES, part_of=part_of, kills=(20.0,), ill_from_s=20.0, seed=seed
    )
    assert play.excess() <= 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("requests_per_s", [0.5, 5.0, 70.0])
@pytest.mark.parametrize("is_cut_within", [False, True])
async def test_processes_started_in_a_cut_keep_to_the_budget(
    is_cut_within, requests_per_s, seed
):
    deployment = await start_in_a_cut(CENTRES, is_cut_within=is_cut_within)
    parts = {
        (name.split("-")[0], int(name.split("-")[1])): exchange.part()
        for name, exchange in deployment.exchanges.items()
    }
    play = play_refusals(
        CENTRES,
        part_of=lambda instance, _: parts[instance.data_centre, instance.number],
        requests_per_s=requests_per_s,
        seed=seed,
    )
    assert play.excess() <= 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("gap_s", [5.5, 8.0, 9.5])
@pytest.mark.parametrize("kills", [(), (24.0,), (28.5,)])
def test_bursts_that_no_window_holds_together_keep_to_the_budget(kills, gap_s, seed):
    play = play_refusals(
        CENTRES,
        part_of=lambda *_: 1 / N_INSTANCES,
        kills=kills,
        bursts=[(20.0, 1500), (20.0 + gap_s, 1500)],
        ill_from_s=21.0,
        requests_per_s=5.0,
        seed=seed,
    )
    assert len(play.repeats) > 50
    assert play.excess() <= 0


@pytest.mark.parametrize("seed", range(20))
def test_drawn_loads_and_kills_keep_to_the_budget(seed):
    rng = random.Random(seed)
    times = sorted(rng.uniform(0.0, 38.0) for _ in range(8))
    play = play_refusals(
        CENTRES,
        part_of=lambda *_: 1 / N_INSTANCES,
        kills=sorted(rng.uniform(10.0, 35.0) for _ in range(rng.randrange(6))),
        bursts=[(at_s, rng.randrange(2000)) for at_s in times],
        ill_from_s=rng.uniform(0.0, 25.0),
        requests_per_s=rng.choice([0.5, 20.0, 70.0]),
        seed=seed,
    )
    assert play.excess() <= 0


async def test_parts_of_all_instances_add_up_to_one():
    deployment = Deployment(centres=tuple(CENTRES), n_each=2, seeds=("east-0",))
    await deployment.run_for(5.0)
    parts = [exchange.part() for exchange in deployment.exchanges.values()]
    assert parts == pytest.approx([1 / 8] * 8)
