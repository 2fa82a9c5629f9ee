from __future__ import annotations

import math
import random

import attrs
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonring.moves.counts import (
    BUCKETS_S,
    CellCounts,
    CountsRow,
    Histogram,
    ResultCounter,
    Sample,
    VersionCounts,
    pack,
    unpack,
)
from lagoonring.moves.judge import Evidence, Judge, _prior_weight
from lagoonring.moves.options import JudgeOptions
from lagoonring.tests.builders.moves import make_counts

OPTIONS = JudgeOptions()


@given(st.floats(0.001, 0.9), st.sampled_from([1.5, 2.0]), st.integers(0, 3))
def test_evidence_has_no_drift_at_the_tolerated_odds(share, margin, n_steps):
    # Probability that a bad result belongs to the new version at the margin.
    chance = margin * share / (margin * share + 1 - share)
    start = Evidence(margin)
    for _ in range(n_steps):
        start.add(1, 2, share)
    weight = _prior_weight(start.n_steps)
    expected = 0.0
    for n_new, probability in ((1, chance), (0, 1 - chance)):
        copy = Evidence(margin, start.n_steps, list(start.values))
        expected += probability * copy.add(n_new, 1 - n_new, share)
    assert expected == pytest.approx(sum(start.values) + weight, rel=1e-6)


def test_prior_weights_sum_to_less_than_one():
    assert sum(_prior_weight(step) for step in range(200_000)) < 1


def test_false_alarm_rate_holds_at_the_margin_with_repeated_looks():
    options = JudgeOptions(false_alarm=0.1, n_routes=1)
    share, n_alarms = 0.05, 0
    chance = options.failure_odds * share / (options.failure_odds * share + 1 - share)
    for seed in range(200):
        rng = random.Random(seed)
        judge = Judge("m", options)
        n_new = n_old = 0
        for _ in range(300):
            is_new = rng.random() < chance
            n_new += is_new
            n_old += not is_new
            judge.merge("i1", make_counts(share=share, bad=(n_old, n_new)))
        n_alarms += judge.finding is not None
    assert n_alarms <= 20


def test_few_failures_at_a_small_share_suffice():
    judge = Judge("m", OPTIONS)
    n_needed = next(
        n_bad
        for n_bad in range(1, 20)
        if judge.merge("i1", make_counts(share=0.02, bad=(0, n_bad)))
    )
    assert n_needed <= 6


def test_equal_failure_rates_are_no_evidence():
    judge = Judge("m", OPTIONS)
    for n_rounds in range(1, 200):
        judge.merge("i1", make_counts(share=0.02, bad=(49 * n_rounds, n_rounds)))
    assert judge.finding is None


def test_fault_on_one_route_is_found_despite_failures_on_others():
    judge = Judge("m", OPTIONS)
    n_rounds = 0
    while judge.finding is None and n_rounds < 30:
        n_rounds += 1
        cells = {
            "plan|1": CellCounts(n_old=2000, n_new=40, bad_old=[49 * n_rounds, 0, 0]),
            "seats|0": CellCounts(n_old=100, n_new=2, bad_new=[n_rounds, 0, 0]),
        }
        judge.merge("i1", VersionCounts(move="m", started_s=0, share=0.02, cells=cells))
    assert judge.finding is not None
    assert "seats" in judge.finding.where


def test_totals_of_a_restarted_instance_are_new_and_stale_ones_are_ignored():
    judge = Judge("m", JudgeOptions(false_alarm=1e-6))
    judge.merge("i1", make_counts(share=0.02, bad=(0, 2), started_s=1.0))
    after_first = sum(judge.evidence[0, ""].values)
    judge.merge("i1", make_counts(share=0.02, bad=(0, 2), started_s=1.0))
    judge.merge("i1", make_counts(share=0.02, bad=(0, 3), started_s=0.0))
    assert sum(judge.evidence[0, ""].values) == after_first
    judge.merge("i1", make_counts(share=0.02, bad=(0, 1), started_s=2.0))
    assert sum(judge.evidence[0, ""].values) > after_first
    other = attrs.evolve(make_counts(share=0.02, bad=(0, 50)), move="other")
    assert judge.merge("i1", other) is None


def test_one_crash_seen_by_many_instances_counts_once():
    judge = Judge("m", OPTIONS)
    hosts = frozenset({"e1"})
    for _ in range(9):
        counts = VersionCounts(move="m", started_s=0, share=0.02, crashes={"e1": 1})
        judge.merge_crashes(counts, hosts, 5)
    assert judge.crash_evidence.n_steps == 1
    counts = VersionCounts(move="m", started_s=0, share=0.02, crashes={"e1": 40})
    assert judge.merge_crashes(counts, hosts, 5).respect == "crash"


def test_results_above_the_old_versions_percentile_are_slow():
    counts = VersionCounts(move="m", started_s=0.0)
    counter = ResultCounter(counts, targets_s=(9.0, 9.0), n_routes=2, n_reference=50)
    rng = random.Random(1)
    for _ in range(400):
        first_s = rng.lognormvariate(math.log(0.2), 0.3)
        counter.add(make_sample(is_new=False, first_token_s=first_s))
    counter.add(make_sample(is_new=True, first_token_s=0.2))
    counter.add(make_sample(is_new=True, first_token_s=0.8))
    (cell,) = counts.cells.values()
    assert cell.bad_new == [0, 1, 0]
    assert 0 < cell.bad_old[1] < 0.1 * 400


def test_cells_and_buckets_are_bounded():
    counts = VersionCounts(move="m", started_s=0.0)
    counter = ResultCounter(counts, targets_s=(1.0, 1.0), n_routes=3, n_reference=5)
    for index in range(1000):
        sample = make_sample(is_new=False, first_token_s=10.0 ** (index % 9))
        counter.add(attrs.evolve(sample, route=f"/r{index}", load_share=index / 999))
    assert len(counts.cells) <= (3 + 1) * 3
    histogram = Histogram()
    for _ in range(5000):
        histogram.add(1e12)
    assert histogram.n_samples < 1000
    assert histogram.quantile(0.5) == BUCKETS_S[-1]


def make_sample(*, is_new, first_token_s):
    return Sample(
        is_new=is_new,
        route="plan",
        load_share=0.1,
        ok=True,
        first_token_s=first_token_s,
    )


def test_totals_survive_packing_and_unpacking():
    counts = make_counts(share=0.1, bad=(3, 4))
    counts.crashes["e1"] = 2
    row = msgspec.msgpack.encode(pack(counts))
    assert unpack(msgspec.msgpack.decode(row, type=CountsRow)) == counts
    faulty = attrs.evolve(pack(counts), cells={"plan|0": [1, 2]})
    assert unpack(faulty).cells == {}
