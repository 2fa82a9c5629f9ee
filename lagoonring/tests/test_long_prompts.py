"""Streams beside long prompts, and where these are read."""

from __future__ import annotations

import random

import pytest

from lagoonring.serving.long_prompts import (
    MIN_OTHERS,
    NO_READERS,
    choose_readers,
    is_long,
)
from lagoonring.serving.placing import Candidate, Work, choose

MAX_INTERRUPTED = 0.05  # streams keep their pauses in 95 of 100 cases
NAMES = [f"engine-{number}" for number in range(10)]
TOKEN_S = 1e-5
PAUSE_S = 0.4
STREAM_S = 1.5
SHORT, LONG = 1_000, 50_000


def play_streams(*, n_per_s, n_long_per_s, seconds=60.0, seed=3):
    """Place streams; return the share of those beside which a long prompt was read."""
    rng = random.Random(seed)
    streams: list[tuple[str, float, float]] = []
    readings: list[tuple[str, float, float]] = []
    now_s = 0.0
    while now_s < seconds:
        now_s += rng.expovariate(n_per_s)
        n_tokens = LONG if rng.random() < n_long_per_s / n_per_s else SHORT
        prefill_s = n_tokens * TOKEN_S
        is_long_one = is_long(prefill_s, PAUSE_S)
        readers = choose_readers(NAMES, n_long_per_s * LONG * TOKEN_S)
        running = [stream for stream in streams if stream[2] > now_s]
        waiting = [reading for reading in readings if reading[2] > now_s]
        candidates = [
            Candidate(
                name=name,
                n_slots=48,
                n_running=sum(stream[0] == name for stream in running),
                n_waiting_tokens=int(
                    sum(end_s - now_s for where, _, end_s in waiting if where == name)
                    / TOKEN_S
                ),
                n_cached_tokens=0,
                seconds_per_token=TOKEN_S,
                service_s=1.0,
                failure_share=0.0,
                is_local=True,
                is_avoided=False,
                pause_cost_s=0.0 if is_long_one else readers.pause_cost_s(name, 0.5),
            )
            for name in NAMES
        ]
        work = Work(
            n_prompt_tokens=n_tokens,
            is_generation=True,
            may_retry=True,
            interruption_s=0.8 if is_long_one else 0.0,
        )
        where = choose(candidates, work, rng).name
        if is_long_one:
            readings.append((where, now_s, now_s + prefill_s))
        begun_s = now_s + prefill_s
        streams.append((where, begun_s, begun_s + STREAM_S))
    n_interrupted = 0
    for where, begun_s, end_s in streams:
        n_interrupted += any(
            where == at and from_s < end_s and until_s > begun_s
            for at, from_s, until_s in readings
        )
    return n_interrupted / len(streams)


@pytest.mark.parametrize(
    ("n_per_s", "n_long_per_s"), [(40.0, 0.6), (40.0, 1.0), (70.0, 1.5)]
)
def test_streams_are_rarely_interrupted_by_long_prompts(n_per_s, n_long_per_s):
    share = play_streams(n_per_s=n_per_s, n_long_per_s=n_long_per_s)
    assert share <= MAX_INTERRUPTED


def test_without_long_prompts_all_endpoints_are_alike():
    assert choose_readers(NAMES, 0.0) is NO_READERS


@pytest.mark.parametrize("n_endpoints", [1, 2])
def test_few_endpoints_are_not_divided(n_endpoints):
    assert choose_readers(NAMES[:n_endpoints], 5.0) is NO_READERS


def test_readers_grow_with_the_load_and_leave_others():
    few, many = choose_readers(NAMES, 0.2), choose_readers(NAMES, 1.0)
    assert few.names < many.names
    assert len(choose_readers(NAMES, 50.0).names) == len(NAMES) - MIN_OTHERS


def test_a_lost_reader_is_replaced_and_the_others_stay():
    before = choose_readers(NAMES, 0.8)
    lost = min(before.names)
    after = choose_readers([name for name in NAMES if name != lost], 0.8)
    assert before.names - {lost} < after.names
    assert len(after.names) == len(before.names)
