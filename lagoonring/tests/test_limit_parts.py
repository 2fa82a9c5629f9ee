"""Limits of organisations that send several times as much as they may."""

from __future__ import annotations

import random

import pytest

from lagoonring.serving.limit_parts import LimitPart, share_here
from lagoonring.serving.quotas import Quotas
from lagoonring.serving.window_sums import WindowSum
from lagoonring.tests.builders.heavy_organisation import play_heavy_organisation
from lagoonring.tests.builders.serving import make_organisation

# Of what one bucket for all instances would admit; the rest is for delayed reports.
MIN_SHARE_OF_IDEAL = 0.9


@pytest.mark.parametrize(
    ("n_instances", "factor", "rate_per_s"),
    [(6, 4.5, 200e3), (6, 7.5, 200e3), (60, 4.5, 800e3), (60, 7.5, 800e3)],
)
def test_a_heavy_organisation_gets_what_its_limit_serves(
    n_instances, factor, rate_per_s
):
    results = play_heavy_organisation(
        n_instances=n_instances, factor=factor, rate_per_s=rate_per_s
    )
    assert results.in_time >= MIN_SHARE_OF_IDEAL * results.ideal
    assert results.window_share <= 1.0
    assert results.in_time_before >= 0.98


def make_part(level=0.0):
    return LimitPart(0.0, WindowSum(1.0), level=level, rate_per_s=100.0)


def test_a_part_admits_small_requests_before_large_ones():
    part = make_part(level=50.0)
    assert part.wait_s(20.0) is None
    assert part.wait_s(80.0) == pytest.approx(0.3)


def test_a_request_larger_than_the_bucket_is_admitted_when_that_is_full():
    part = make_part()
    part.refill(100.0, 10.0)
    assert part.wait_s(1000.0) is None
    part.record(1000.0, 10.0, is_ample=False)
    assert part.wait_s(1.0) > 5.0


def test_an_ample_limit_leaves_no_debt():
    part = make_part(level=50.0)
    part.record(1000.0, 0.0, is_ample=True)
    assert part.level == 0.0


def test_few_requests_that_arrive_together_are_no_sign_of_load_elsewhere():
    part = make_part()
    for _ in range(4):
        part.record(100.0, 0.0, is_ample=True)
    assert part.extrapolate(0.1, 0.0) == 0.0


@pytest.mark.parametrize(
    ("used_here", "used", "share"),
    [(0.0, 0.0, 0.25), (0.0, 8.0, 0.05), (8.0, 8.0, 0.85), (6.0, 8.0, 0.65)],
)
def test_an_instance_has_a_share_of_a_limit_also_without_usage(used_here, used, share):
    assert share_here(used_here, used, 4) == pytest.approx(share)


def test_a_restarted_instance_admits_the_usual_load():
    """One of six instances restarts while the organisation uses half of its limit."""
    limited = make_organisation(rate_per_s=600.0, burst=600.0, counts_tokens=True)
    rng = random.Random(5)
    made = [Quotas(8.0, overshoot=0.1, started_s=-30.0) for _ in range(6)]
    now_s, next_report_s, n_asked, n_refused = 0.0, 0.0, 0, 0
    while now_s < 20.0:
        now_s += rng.expovariate(30.0)
        if now_s >= 10.0 and made[0].started_s < 0:
            made[0] = Quotas(8.0, overshoot=0.1, started_s=now_s)
        if now_s >= next_report_s:
            next_report_s = now_s + 0.5
            reports = [quotas.totals(now_s) for quotas in made]
            for index, quotas in enumerate(made):
                for other, totals in enumerate(reports):
                    if other != index:
                        life = int(made[other].started_s)
                        quotas.update_peer(other, life, totals, now_s)
        index = rng.randrange(6)
        wait_s = made[index].take(limited, 10.0, now_s, 1.0, n_instances=6)
        if index == 0 and now_s >= 10.0:
            n_asked += 1
            n_refused += wait_s is not None
    assert n_refused <= 0.05 * n_asked
