from __future__ import annotations

import itertools
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.fleet.forecast import BIN_S, DAY_S, Forecast
from lagoonring.fleet.planner import (
    GoalRange,
    Need,
    expected_price,
    make_plan,
    max_wave_loss,
)
from lagoonring.tests.builders.fleet import make_offer, make_offers

DEMAND = st.floats(0, 60)
PRICE = st.floats(0.1, 2.0)


def count_slots(counts):
    return sum(offer.n_slots * count for offer, count in counts.items())


def is_enough(need, counts):
    n_slots = count_slots(counts) + need.n_fixed_slots
    is_enough_normally = n_slots * need.target_load >= need.demand - 1e-6
    slots_after_wave = n_slots - max_wave_loss(counts)
    return (
        is_enough_normally and slots_after_wave * need.wave_load >= need.demand - 1e-6
    )


@given(DEMAND, st.lists(PRICE, min_size=3, max_size=3), st.integers(0, 20))
def test_plan_meets_the_target_after_a_reclaim_wave_in_any_data_centre(
    demand, prices, n_fixed
):
    need = Need(demand=demand, n_fixed_slots=n_fixed)
    plan = make_plan(need, *make_offers(prices))
    assert plan.n_missing_slots == 0
    assert is_enough(need, plan.counts)


@settings(max_examples=60)
@given(st.floats(1, 30), st.lists(PRICE, min_size=2, max_size=2), st.floats(0.5, 3))
def test_no_other_plan_is_much_cheaper(demand, prices, factor):
    need = Need(demand=demand)
    offers, goals = make_offers(prices, on_demand=factor)
    plan = make_plan(need, offers, goals)
    n_most = math.ceil(demand / need.target_load / 8) + 3
    best = math.inf
    for counts in itertools.product(range(n_most), repeat=len(offers)):
        chosen = dict(zip(offers, counts, strict=True))
        price = sum(expected_price(offer, 180) * n for offer, n in chosen.items())
        if price < best and is_enough(need, chosen):
            best = price
    assert plan.price <= best * 1.1 + 1e-6


def test_reclaimable_instances_are_spread_so_that_little_spare_is_needed():
    need = Need(demand=80)
    plan = make_plan(need, *make_offers([0.3, 0.3, 0.3], on_demand=1.0))
    by_place = {offer.data_centre: n for offer, n in plan.counts.items()}
    assert len(by_place) == 3
    assert plan.price < 0.75 * math.ceil(80 / 0.7 / 8)


def test_refused_market_is_replaced_and_missing_slots_are_reported():
    need = Need(demand=20)
    offers, goals = make_offers([0.3])
    refused = [make_offer(n_most=0), offers[1]]
    plan = make_plan(need, refused, goals)
    assert {offer.market for offer in plan.counts} == {"on_demand"}
    assert plan.n_missing_slots == 0
    none = [make_offer(n_most=0), make_offer(market="on_demand", n_most=1)]
    assert make_plan(need, none, goals).n_missing_slots == math.ceil(20 / 0.7 - 8)


def test_plan_respects_minimum_maximum_and_spare_counts():
    offers, _ = make_offers([0.3])
    goals = {"goal-0": GoalRange(n_least=2, n_most=5, n_spare=1)}
    idle = make_plan(Need(demand=0), offers, goals)
    assert sum(idle.counts.values()) == 3
    full = make_plan(Need(demand=1000), offers, goals)
    assert sum(full.counts.values()) == 5
    assert full.n_missing_slots > 0


def test_a_market_with_many_reclaims_is_avoided():
    need = Need(demand=20)
    risky = make_offer(reclaims_per_h=100.0)
    plan = make_plan(
        need, [risky, make_offer(market="on_demand", price=1.0)], make_offers([1])[1]
    )
    assert risky not in plan.counts


def test_forecast_follows_the_level_and_the_daily_profile():
    forecast = Forecast()
    for day in range(3):
        for step in range(int(DAY_S / 300)):
            time_s = day * DAY_S + step * 300 + 1
            forecast.add(day_demand(time_s), time_s)
    # The last sample is just before demand rises in the morning.
    for step in range(7 * 12):
        forecast.add(day_demand(step * 300), 3 * DAY_S + step * 300 + 1)
    assert forecast.level == pytest.approx(10, rel=0.05)
    assert forecast.predict(60) < 15
    assert 25 < forecast.predict(2 * BIN_S) <= 30.1
    assert len(forecast.shape) == 96


def day_demand(time_s):
    return 30.0 if 7 <= time_s % DAY_S / 3600 < 19 else 10.0


@given(st.lists(st.tuples(st.floats(0, 1e6), st.floats(0, 1e6)), max_size=50))
def test_forecast_accepts_any_samples(samples):
    forecast = Forecast()
    for demand, time_s in samples:
        forecast.add(demand, time_s)
        assert 0 <= forecast.predict(600) <= 3 * 1e6 + 1
