"""Instances whose endpoints refuse every request, and the repeats that they send."""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING

import attrs

from lagoonring.serving.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

RATIO, SLACK, WINDOW_S = 0.2, 52, 10.0
SERVICE = "assistant"
MAX_REPEATS = 3  # of one request
DOWN_S = 0.6  # from a kill until the next process listens
STEP_S = 0.01


@attrs.define
class Instance:
    """One instance in a sequence of processes."""

    data_centre: str
    budget: RetryBudget
    started_s: float = 0.0


@attrs.define
class Play:
    """Times, in seconds, of the requests of callers and of the repeats sent."""

    requests: list[float] = attrs.field(factory=list)
    repeats: list[float] = attrs.field(factory=list)

    def excess(self) -> float:
        """Return the most repeats above the budget in any window; negative if none.

        The requests are those of the window, of the one before it or of the one half
        a window before it, whichever has most.
        """
        return max(
            self._count(self.repeats, start_s)
            - RATIO
            * max(
                self._count(self.requests, start_s - offset_s)
                for offset_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            - SLACK
            for start_s in self.repeats
        )

    def _count(self, times: Sequence[float], start_s: float) -> int:
        return bisect_right(times, start_s + WINDOW_S) - bisect_left(times, start_s)


def play_refusals(
    centres: dict[str, int],
    *,
    count_known: Callable[[Instance, float], int],
    kills: Sequence[float] = (),
    ill_from_s: float = 0.0,
    requests_per_s: float = 70.0,
    duration_s: float = 40.0,
    seed: int = 1,
) -> Play:
    """Return the repeats of instances that are all killed at given times.

    Parameters
    ----------
    centres : dict
        Number of instances by data centre.
    count_known : callable
        ``count_known(instance, now_s)`` returns how many instances an instance knows
        of, itself included.
    ill_from_s : float
        Time from which endpoints refuse all requests.
    """
    rng = random.Random(seed)
    instances = [
        Instance(centre, make_budget(-WINDOW_S))
        for centre, n_instances in centres.items()
        for _ in range(n_instances)
    ]
    play, now_s, remaining = Play(), 0.0, list(kills)
    while now_s < duration_s:
        now_s += STEP_S
        if remaining and now_s >= remaining[0]:
            started_s = remaining.pop(0) + DOWN_S
            for instance in instances:
                instance.budget, instance.started_s = make_budget(started_s), started_s
        if rng.random() >= requests_per_s * STEP_S:
            continue
        play.requests.append(now_s)
        instance = rng.choice(instances)
        if now_s < instance.started_s:
            continue
        instance.budget.record_request(SERVICE, now_s)
        if now_s < ill_from_s:
            continue
        for _ in range(MAX_REPEATS):
            if not instance.budget.take(SERVICE, now_s, count_known(instance, now_s)):
                break
            play.repeats.append(now_s)
    return play


def make_budget(started_s: float) -> RetryBudget:
    """Return the budget of a process that starts at a time."""
    return RetryBudget(ratio=RATIO, slack=SLACK, window_s=WINDOW_S, started_s=started_s)
