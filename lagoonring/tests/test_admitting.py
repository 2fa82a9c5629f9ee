"""Admission of plain requests to endpoints that get more than they can answer."""

from __future__ import annotations

import math
import random

import pytest

from lagoonring.serving.admitting import WaitEstimate, decide

N_SLOTS = 18
SERVICE_S = 0.06
OBJECTIVE_S = 0.35
SECONDS = 20.0


def play(*, load, objective_s, rng):
    """Return the times to the callers' answers, by how long they wait at most.

    The callers send ``load`` times what the endpoints can answer; nine in ten wait for
    two seconds, the others for 0.9 s, and none of them returns after a refusal.
    """
    free_s = [0.0] * N_SLOTS
    answers = {2.0: [], 0.9: []}
    now_s = 0.0
    while now_s < SECONDS:
        now_s += rng.expovariate(load * N_SLOTS / SERVICE_S)
        left_s = 2.0 if rng.random() < 0.9 else 0.9
        slot = min(range(N_SLOTS), key=free_s.__getitem__)
        ready_s = max(free_s[slot], now_s) + SERVICE_S - now_s
        wait = WaitEstimate(
            estimate_s=ready_s,
            left_s=left_s,
            max_wait_s=left_s,
            objective_s=objective_s,
        )
        is_admitted = decide(wait, rng) is None
        if is_admitted:
            free_s[slot] = now_s + ready_s
        answers[left_s].append(ready_s if is_admitted else math.inf)
    return answers


def share_within(times_s, limit_s):
    return sum(time_s <= limit_s for time_s in times_s) / len(times_s)


@pytest.mark.parametrize("load", [1.1, 1.3, 2.0])
def test_callers_are_answered_as_fast_as_the_endpoints_can(load):
    answers = play(load=load, objective_s=OBJECTIVE_S, rng=random.Random(5))
    assert share_within(answers[2.0], 2 * OBJECTIVE_S) > 0.95 / load


@pytest.mark.parametrize("load", [1.1, 1.3, 2.0])
def test_callers_that_wait_shorter_are_served_as_often(load):
    answers = play(load=load, objective_s=OBJECTIVE_S, rng=random.Random(6))
    shares = {left_s: share_within(one, left_s) for left_s, one in answers.items()}
    assert shares[0.9] > 0.9 * shares[2.0]


def test_without_an_objective_the_deadline_decides():
    wait = WaitEstimate(estimate_s=1.7, left_s=2.0, max_wait_s=2.0)
    assert decide(wait, random.Random(1)) is None
    assert wait.objective_s == math.inf
