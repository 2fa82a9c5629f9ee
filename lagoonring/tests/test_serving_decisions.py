"""Placing, admission, crashing requests and sizing, simulated without a network."""

from __future__ import annotations

import heapq
import random

import attrs
import pytest

from lagoonring.serving.admitting import WaitEstimate, decide
from lagoonring.serving.placing import Candidate, Work, choose, prefer_by_part
from lagoonring.serving.sizing import DataCentreFleet, plan
from lagoonring.serving.suspects import Suspects
from lagoonring.tests.builders.serving import make_scaling

PROMPT = Work(n_prompt_tokens=10_000, is_generation=True, may_retry=False)
CALL = Work(n_prompt_tokens=0, is_generation=False, may_retry=False)
TOKEN_S = 1e-5


def make_candidate(name: str = "a", **changes) -> Candidate:
    values = {
        "name": name,
        "n_slots": 8,
        "n_running": 0,
        "n_waiting_tokens": 0,
        "n_cached_tokens": 0,
        "seconds_per_token": TOKEN_S,
        "service_s": 0.1,
        "failure_share": 0.0,
        "is_local": True,
        "is_avoided": False,
    }
    return Candidate(**(values | changes))


def choose_often(candidates, work, n=200):
    rng = random.Random(1)
    return [choose(candidates, work, rng).name for _ in range(n)]


# Placing


def test_places_long_prompts_behind_the_shortest_queue_of_tokens():
    busy = make_candidate("busy", n_waiting_tokens=50_000, n_running=1)
    free = make_candidate("free", n_running=5)
    assert set(choose_often([busy, free], PROMPT)) == {"free"}


def test_places_a_prompt_where_its_parts_are_cached():
    cold = make_candidate("cold")
    warm = make_candidate("warm", n_cached_tokens=8_000)
    assert set(choose_often([cold, warm], PROMPT)) == {"warm"}


def test_avoids_a_warm_endpoint_when_its_queue_costs_more_than_a_prefill():
    cold = make_candidate("cold")
    warm = make_candidate("warm", n_cached_tokens=8_000, n_waiting_tokens=40_000)
    assert set(choose_often([cold, warm], PROMPT)) == {"cold"}


def test_avoids_an_endpoint_that_fails_some_of_its_calls():
    failing = make_candidate("failing", failure_share=0.3)
    healthy = make_candidate("healthy", n_running=4)
    assert set(choose_often([failing, healthy], CALL)) == {"healthy"}


def test_uses_an_avoided_endpoint_when_there_is_no_other():
    only = make_candidate("only", is_avoided=True)
    assert set(choose_often([only], CALL)) == {"only"}


def test_avoids_a_slow_endpoint():
    slow = make_candidate("slow", service_s=0.5)
    assert set(choose_often([slow, make_candidate("fast")], CALL)) == {"fast"}


def test_returns_no_placement_without_endpoints():
    assert choose([], CALL, random.Random(1)) is None


def test_a_part_moves_only_if_its_endpoint_is_removed():
    names = ["a", "b", "c", "d"]
    before = {part: prefer_by_part(part, names) for part in "klmnopqrstuvw"}
    after = {part: prefer_by_part(part, names[:-1]) for part in before}
    moved = [part for part in before if before[part] != after[part]]
    assert moved
    assert all(before[part] == "d" for part in moved)


@attrs.define
class SimulatedEngine:
    """An engine that prefills prompts one after the other and caches their parts."""

    name: str
    free_at_s: float = 0.0
    parts: set[str] = attrs.field(factory=set)


def simulate_placing(policy, *, n_requests=400, seed=3):
    """Simulate prompts with shared parts; return the sorted waits for first tokens."""
    rng = random.Random(seed)
    engines = [SimulatedEngine(name) for name in "abcd"]
    now_s, waits_s = 0.0, []
    for _ in range(n_requests):
        now_s += rng.expovariate(70.0)
        part = f"part-{min(int(rng.paretovariate(0.9)), 30)}"
        engine = policy(engines, part, now_s, rng)
        n_tokens = 4_000 + (0 if part in engine.parts else 6_000)
        engine.parts.add(part)
        engine.free_at_s = max(engine.free_at_s, now_s) + n_tokens * TOKEN_S
        waits_s.append(engine.free_at_s - now_s)
    return sorted(waits_s)


def place_by_candidates(engines, part, now_s, rng):
    names = [engine.name for engine in engines]
    candidates = [
        make_candidate(
            engine.name,
            n_waiting_tokens=int(max(engine.free_at_s - now_s, 0) / TOKEN_S),
            n_cached_tokens=6_000
            if part in engine.parts or engine.name == prefer_by_part(part, names)
            else 0,
        )
        for engine in engines
    ]
    name = choose(candidates, PROMPT, rng).name
    return next(engine for engine in engines if engine.name == name)


def place_at_random(engines, part, now_s, rng):
    return rng.choice(engines)


def test_first_tokens_arrive_earlier_than_with_random_placing():
    placed = simulate_placing(place_by_candidates)
    at_random = simulate_placing(place_at_random)
    assert sum(placed) < sum(at_random)
    late = int(0.95 * len(placed))
    assert placed[late] < at_random[late]


# Admission


def test_admits_requests_that_can_be_answered_in_time():
    wait = WaitEstimate(estimate_s=0.5, left_s=2.0, max_wait_s=2.0)
    assert decide(wait, random.Random(1)) is None


@pytest.mark.parametrize(
    ("estimate_s", "left_s", "reason"),
    [(None, 2.0, "no_endpoint"), (5.0, 2.0, "overload"), (0.1, 0.0, "too_late")],
)
def test_refuses_requests_that_can_not_be_answered_in_time(estimate_s, left_s, reason):
    wait = WaitEstimate(estimate_s=estimate_s, left_s=left_s, max_wait_s=2.0)
    assert decide(wait, random.Random(1)).reason == reason


def test_retries_of_refused_callers_are_spread_and_in_time():
    wait = WaitEstimate(estimate_s=4.0, left_s=3.0, max_wait_s=3.0)
    rng = random.Random(1)
    times_s = [decide(wait, rng).retry_after_s for _ in range(100)]
    assert all(0 < time_s <= 1.0 for time_s in times_s)
    assert max(times_s) > 1.5 * min(times_s)


def simulate_burst(
    *, refuses, n_requests=300, n_slots=10, service_s=0.2, max_wait_s=1.0
):
    """Simulate a burst at one pool; return how many callers were answered in time."""
    rng = random.Random(5)
    ends_s: list[float] = []
    now_s, n_in_time = 0.0, 0
    for _ in range(n_requests):
        now_s += rng.expovariate(150.0)
        while ends_s and ends_s[0] <= now_s:
            heapq.heappop(ends_s)
        n_queued = max(0, len(ends_s) - n_slots + 1)
        estimate_s = service_s * (1 + n_queued / n_slots)
        wait = WaitEstimate(
            estimate_s=estimate_s, left_s=max_wait_s, max_wait_s=max_wait_s
        )
        if refuses and decide(wait, rng) is not None:
            continue
        starts_s = sorted(ends_s)[-n_slots] if len(ends_s) >= n_slots else now_s
        heapq.heappush(ends_s, max(starts_s, now_s) + service_s)
        n_in_time += max(starts_s, now_s) + service_s - now_s <= max_wait_s
    return n_in_time


def test_refusals_in_a_burst_leave_more_callers_answered_in_time():
    assert simulate_burst(refuses=True) > 1.5 * simulate_burst(refuses=False)


# Requests that crash endpoints


def test_a_request_is_blocked_by_crashes_seen_at_several_instances():
    here, there = Suspects(), Suspects()
    here.record_crash("request", "a", 0.0)
    there.record_crash("request", "b", 0.0)
    here.update_peer(
        there.recent_crashes(1.0), there.take_ages(1.0), 1.0, forward=False
    )
    assert not here.is_blocked("request", 1.0)
    here.record_crash("request", "c", 0.0)
    assert here.is_blocked("request", 1.0)
    assert not here.is_blocked("other", 1.0)


def test_crashes_are_reported_in_several_rounds_and_then_expire():
    suspects = Suspects()
    suspects.record_crash("request", "a", 0.0)
    assert (
        suspects.recent_crashes(0.2)
        == suspects.recent_crashes(1.0)
        == {"request": ["a"]}
    )
    assert suspects.recent_crashes(10.0) == {}


def test_the_same_endpoint_counts_once():
    suspects = Suspects()
    for _ in range(5):
        suspects.record_crash("request", "a", 0.0)
    assert not suspects.is_blocked("request", 1.0)


def test_a_complete_answer_clears_a_request():
    suspects = Suspects()
    suspects.record_crash("request", "a", 0.0)
    suspects.record_crash("request", "b", 0.0)
    suspects.record_success("request", 0.5)
    suspects.record_crash("request", "c", 1.0)
    assert not suspects.is_blocked("request", 1.0)


# Sizing


def make_fleets(**numbers):
    """Return the fleets of three data centres; numbers are (on-demand, reclaimable)."""
    scaling = make_scaling()
    return [
        DataCentreFleet(
            data_centre=name,
            price=price,
            n_on_demand=numbers.get(name, (0, 0))[0],
            n_reclaimable=numbers.get(name, (0, 0))[1],
        )
        for name, price in scaling.prices.items()
    ]


def numbers_of(orders, *, is_reclaimable):
    return {
        order.data_centre: order.n_endpoints
        for order in orders
        if order.is_reclaimable == is_reclaimable
    }


STEADY = {"east": (1, 1), "north": (0, 1), "west": (1, 1)}


def test_a_steady_fleet_has_an_on_demand_floor_and_reclaimable_endpoints():
    orders = plan(make_fleets(**STEADY), make_scaling(), load=0.8, spare=1)
    assert numbers_of(orders, is_reclaimable=False) == {
        "east": 1,
        "north": 0,
        "west": 1,
    }
    assert numbers_of(orders, is_reclaimable=True) == {"east": 1, "north": 1, "west": 1}


def test_both_kinds_together_reach_the_minimum_in_every_data_centre():
    orders = plan(make_fleets(**STEADY), make_scaling(n_least=2), load=0.1, spare=0)
    on_demand = numbers_of(orders, is_reclaimable=False)
    reclaimable = numbers_of(orders, is_reclaimable=True)
    assert all(on_demand[name] + reclaimable[name] >= 2 for name in on_demand)


@pytest.mark.parametrize("load", [0.0, 1.0, 3.0, 9.0, 100.0])
def test_no_data_centre_exceeds_the_maximum(load):
    orders = plan(make_fleets(**STEADY), make_scaling(), load=load, spare=2)
    on_demand = numbers_of(orders, is_reclaimable=False)
    reclaimable = numbers_of(orders, is_reclaimable=True)
    assert all(reclaimable[name] >= 0 for name in reclaimable)
    assert all(number <= 4 for number in on_demand.values())


@pytest.mark.parametrize("load", [0.5, 1.5, 2.5])
def test_the_floor_carries_the_load_when_all_others_are_reclaimed(load):
    orders = plan(make_fleets(**STEADY), make_scaling(), load=load, spare=1)
    assert sum(numbers_of(orders, is_reclaimable=False).values()) >= load


def test_on_demand_endpoints_replace_missing_reclaimable_ones():
    alone = {"east": (1, 0), "north": (0, 0), "west": (1, 0)}
    calm = plan(make_fleets(**STEADY), make_scaling(), load=2.7, spare=1)
    short = plan(make_fleets(**alone), make_scaling(), load=2.7, spare=1)
    n_calm = sum(numbers_of(calm, is_reclaimable=False).values())
    n_short = sum(numbers_of(short, is_reclaimable=False).values())
    assert n_short > n_calm


def test_on_demand_endpoints_are_stopped_only_after_their_replacement():
    found = {"east": (3, 0), "north": (2, 0), "west": (2, 0)}
    before = plan(make_fleets(**found), make_scaling(), load=0.5, spare=1)
    assert numbers_of(before, is_reclaimable=False)["east"] >= 2
    replaced = {"east": (3, 1), "north": (2, 1), "west": (2, 1)}
    after = plan(make_fleets(**replaced), make_scaling(), load=0.5, spare=1)
    assert numbers_of(after, is_reclaimable=False) == {"east": 1, "north": 0, "west": 1}


def test_cold_endpoints_are_no_replacement_yet():
    found = {"east": (3, 1), "north": (2, 1), "west": (2, 1)}
    fleets = [attrs.evolve(fleet, n_cold=1) for fleet in make_fleets(**found)]
    orders = plan(fleets, make_scaling(), load=0.5, spare=1)
    assert numbers_of(orders, is_reclaimable=False)["east"] >= 2


def test_on_demand_endpoints_make_room_for_reclaimable_ones_at_the_limit():
    """Two on-demand endpoints run in each data centre, which may have three."""
    scaling = make_scaling(n_most=3)
    numbers = {"east": (2, 0), "north": (2, 0), "west": (2, 0)}
    for _ in range(5):
        orders = plan(make_fleets(**numbers), scaling, load=0.5, spare=2)
        on_demand = numbers_of(orders, is_reclaimable=False)
        wanted = numbers_of(orders, is_reclaimable=True)
        # The platform starts endpoints up to the limit on both kinds together.
        numbers = {
            name: (on_demand[name], min(wanted[name], 3 - on_demand[name]))
            for name in numbers
        }
    assert numbers == {"east": (1, 2), "north": (0, 2), "west": (1, 2)}


def test_a_service_without_reclaimable_endpoints_is_sized_on_demand():
    scaling = make_scaling(reclaimable_price=None)
    orders = plan(make_fleets(), scaling, load=2.0, spare=1)
    assert not any(order.is_reclaimable for order in orders)
    assert sum(order.n_endpoints for order in orders) >= 2.0
