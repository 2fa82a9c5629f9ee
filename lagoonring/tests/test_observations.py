"""Sums of results at endpoints, and the conditions derived from them."""

from __future__ import annotations

import pytest

from lagoonring.serving.observations import (
    DOWN_S,
    HALF_LIFE_S,
    Condition,
    Observation,
    Typical,
    assess,
    decode_condition,
    encode_conditions,
    find_typical,
    from_row,
    to_row,
)

TYPICAL = Typical(service_s=0.02, token_s=0.0)


def make_observation(*, n_ok=0, n_failed=0, service_s=0.02):
    seen = Observation()
    for _ in range(n_ok):
        seen.record_result(ok=True, now_s=0.0)
        seen.record_time(0.0, service_s=service_s)
    for _ in range(n_failed):
        seen.record_result(ok=False, now_s=0.0)
    return seen


def test_results_halve_in_their_half_life():
    seen = make_observation(n_ok=8, n_failed=4)
    seen.decay(HALF_LIFE_S)
    assert (seen.n_ok, seen.n_failed) == (4.0, 2.0)


def test_rows_carry_an_observation_to_another_clock():
    seen = make_observation(n_ok=3, n_failed=1)
    seen.record_unreachable(0.0)
    received = from_row(to_row(seen, 0.5), 100.0)
    assert received.n_ok == pytest.approx(seen.n_ok, abs=0.01)
    assert received.service_s == pytest.approx(seen.service_s, abs=0.001)
    assert received.unreachable_s == pytest.approx(99.5)


def test_an_endpoint_is_down_until_any_instance_reaches_it():
    one = make_observation(n_ok=1)
    one.record_unreachable(0.2)
    assert one.down_left_s(0.4) == pytest.approx(DOWN_S - 0.2)
    other = Observation(0.3)
    other.record_result(ok=True, now_s=0.3)
    one.add(other, 0.4)
    assert one.down_left_s(0.4) == 0.0


def test_a_typical_endpoint_has_no_condition():
    assert assess(make_observation(n_ok=10), TYPICAL, 0.0) is None


def test_conditions_tell_failures_slowness_and_a_missing_connection():
    seen = make_observation(n_ok=6, n_failed=4, service_s=0.08)
    seen.record_unreachable(0.1)
    condition = assess(seen, TYPICAL, 0.1)
    assert condition.failure_share == pytest.approx(4 / 11, abs=0.02)
    assert 3.0 < condition.slowdown < 4.0
    assert condition.down_s == pytest.approx(DOWN_S)


def test_one_failure_among_many_results_is_no_condition():
    assert assess(make_observation(n_ok=20, n_failed=1), TYPICAL, 0.0) is None


def test_the_typical_time_is_that_of_most_endpoints():
    seen = [make_observation(n_ok=4) for _ in range(5)]
    seen.append(make_observation(n_ok=4, service_s=0.4))
    assert find_typical(seen).service_s == pytest.approx(0.02)


def test_conditions_survive_encoding():
    condition = Condition(failure_share=0.4, slowdown=2.5, down_s=0.75)
    (row,) = encode_conditions({"a": condition}).values()
    assert decode_condition(row) == condition
