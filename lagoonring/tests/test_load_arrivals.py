"""Arrivals of a load run are generated in advance, from settings and seed only."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.load.arrivals import ChatArrival, draw_times, plan_arrivals
from lagoonring.load.options import Peak
from lagoonring.standins.tokens import text_of
from lagoonring.tests.builders.load import make_load_settings

SEEDS = st.integers(min_value=0, max_value=1 << 32)


@settings(max_examples=30, deadline=None)
@given(seed=SEEDS)
def test_plan_is_a_function_of_the_seed(seed):
    load = make_load_settings(duration_s=3.0)
    plan = plan_arrivals(load, seed)
    assert plan == plan_arrivals(load, seed)
    assert plan != plan_arrivals(load, seed + 1)
    times = [arrival.at_s for arrival in plan]
    assert times == sorted(times)
    assert all(0 <= at_s < load.duration_s for at_s in times)
    assert len({arrival.name for arrival in plan}) == len(plan)
    keys = [a.key for a in plan if not isinstance(a, ChatArrival) and a.key]
    assert len(set(keys)) == len(keys)


@settings(max_examples=30, deadline=None)
@given(seed=SEEDS)
def test_later_turns_include_the_engine_answers(seed):
    plan = plan_arrivals(make_load_settings(duration_s=3.0), seed)
    turns = {a.name: a for a in plan if isinstance(a, ChatArrival)}
    for name, turn in turns.items():
        prefix, _, number = name.rpartition("-")
        earlier = turns.get(f"{prefix}-{int(number) - 1}")
        if earlier is None:
            assert [m.role for m in turn.messages] == ["system", "user"]
            continue
        assert turn.organisation == earlier.organisation
        assert turn.messages[: len(earlier.messages)] == earlier.messages
        answer = turn.messages[len(earlier.messages)]
        assert answer.content == text_of(earlier.prompt, 0, earlier.n_tokens)


def test_rates_follow_peaks():
    peak = Peak(at_s=50.0, width_s=5.0, factor=4.0)
    times = list(draw_times(20.0, 100.0, [peak], random.Random(3)))
    at_peak = sum(45 <= at_s < 55 for at_s in times) / 10
    off_peak = sum(at_s < 30 for at_s in times) / 30
    assert 15 < off_peak < 25
    assert 55 < at_peak < 85
