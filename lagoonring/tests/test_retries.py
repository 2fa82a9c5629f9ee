from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.kernel import ManualClock
from lagoonring.retries import RetriesOptions, RetriesService
from lagoonring.retries.latencies import LatencyHistogram
from lagoonring.tests.builders.routing import make_app


def make_retries(**options):
    app = make_app(clock=ManualClock())
    return RetriesService(app, RetriesOptions(**options))


def exhaust_budget(retries):
    n_taken = 0
    while n_taken < 1000 and retries.may_retry("guide"):
        n_taken += 1
    return n_taken


async def test_budget_allows_a_share_of_the_attempts_and_a_floor():
    retries = make_retries(arbitration="suspected")
    exhaust_budget(retries)
    n_allowed = 0
    for number in range(1000):
        await retries.attempt(f"f{number}", "guide-1", entry="guide")
        n_allowed += retries.may_retry("guide")
    n_allowed += exhaust_budget(retries)
    assert 99 <= n_allowed <= 101
    await retries.app.clock.advance(5.01)
    assert 5 <= exhaust_budget(retries) <= 6


def test_entries_have_separate_budgets():
    retries = make_retries()
    exhaust_budget(retries)
    assert retries.may_retry("booking")


def test_hedging_waits_for_samples_then_uses_the_quantile():
    retries = make_retries()
    for _ in range(40):
        retries.record_latency("stock", 0.010)
    assert retries.hedge_delay_s("stock") is None
    for number in range(100):
        retries.record_latency("stock", 0.2 if number % 20 == 0 else 0.010)
    delay_s = retries.hedge_delay_s("stock")
    assert 0.010 <= delay_s <= 0.012
    assert retries.hedge_delay_s("booking") is None


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.floats(0.0011, 50.0), min_size=50, max_size=300), st.floats(0.1, 1))
def test_quantile_is_within_a_bucket_of_the_true_one(latencies, share):
    histogram = LatencyHistogram()
    for latency_s in latencies:
        histogram.add(latency_s)
    found = histogram.quantile(share)
    n_within = sum(latency_s <= found * 1.0001 for latency_s in latencies)
    n_below = sum(latency_s < found / 1.11 for latency_s in latencies)
    assert n_within >= share * len(latencies) - 1e-6
    assert n_below <= share * len(latencies) + 1e-6


def test_histogram_decays_and_stays_bounded():
    histogram = LatencyHistogram()
    for _ in range(5000):
        histogram.add(0.01)
    for _ in range(4000):
        histogram.add(1.0)
    assert histogram.quantile(0.5) > 0.9
    assert histogram.total < 2001
