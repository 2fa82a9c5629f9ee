"""Instances whose endpoints refuse every request, and the repeats that they send."""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING

import attrs

from lagoonring.serving.retry_budget import RetryBudget
from lagoonring.tests.builders.exchanges import Deployment

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

RATIO, SLACK, WINDOW_S = 0.2, 52, 10.0
SERVICE = "assistant"
MAX_REPEATS = 3  # of one request
DOWN_S = 0.6  # from a kill until the next process listens
STEP_S = 0.01
WINDOW_STEP_S = 0.05  # between the starts of the windows that are checked


@attrs.define
class Instance:
    """One instance in a sequence of processes."""

    data_centre: str
    number: int
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
        n_steps = round((max(self.repeats, default=0.0) + WINDOW_S) / WINDOW_STEP_S)
        starts = [step * WINDOW_STEP_S - WINDOW_S for step in range(n_steps)]
        return max(
            self._count(self.repeats, start_s)
            - RATIO
            * max(
                self._count(self.requests, start_s - offset_s)
                for offset_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            - SLACK
            for start_s in (*starts, *self.repeats)
        )

    def _count(self, times: Sequence[float], start_s: float) -> int:
        return bisect_right(times, start_s + WINDOW_S) - bisect_left(times, start_s)


def play_refusals(
    centres: dict[str, int],
    *,
    part_of: Callable[[Instance, float], float],
    kills: Sequence[float] = (),
    bursts: Sequence[tuple[float, int]] = (),
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
    part_of : callable
        ``part_of(instance, now_s)`` returns the part of the slack that an instance
        takes for its own.
    bursts : sequence of tuple
        Times of bursts of callers, in order, and their numbers of requests.
    ill_from_s : float
        Time from which endpoints refuse all requests.
    """
    rng = random.Random(seed)
    instances = [
        Instance(centre, number, make_budget(-WINDOW_S))
        for centre, n_instances in centres.items()
        for number in range(n_instances)
    ]
    play, now_s = Play(), 0.0
    remaining, coming = list(kills), list(bursts)
    while now_s < duration_s:
        now_s += STEP_S
        if remaining and now_s >= remaining[0]:
            started_s = remaining.pop(0) + DOWN_S
            for instance in instances:
                instance.budget, instance.started_s = make_budget(started_s), started_s
        n_requests = int(rng.random() < requests_per_s * STEP_S)
        if coming and now_s >= coming[0][0]:
            n_requests += coming.pop(0)[1]
        for _ in range(n_requests):
            play.requests.append(now_s)
            instance = rng.choice(instances)
            if now_s < instance.started_s:
                continue
            instance.budget.record_request(SERVICE, now_s)
            if now_s < ill_from_s:
                continue
            for _ in range(MAX_REPEATS):
                if not instance.budget.take(SERVICE, now_s, part_of(instance, now_s)):
                    break
                play.repeats.append(now_s)
    return play


async def start_in_a_cut(
    centres: dict[str, int], *, is_cut_within: bool, duration_s: float = 12.0
) -> Deployment:
    """Return instances that start while their data centres don't hear each other.

    With ``is_cut_within`` no instance hears any other.
    """
    seeds = tuple(f"{centre}-0" for centre in centres)[:3]
    deployment = Deployment(centres=tuple(centres), n_each=0, seeds=seeds)
    for centre, n_instances in centres.items():
        for number in range(n_instances):
            deployment.start(f"{centre}-{number}")
    addresses = [exchange.address for exchange in deployment.exchanges.values()]
    groups = (
        [[address] for address in addresses]
        if is_cut_within
        else [deployment.addresses(centre) for centre in centres]
    )
    for group in groups:
        deployment.network.isolate(group, set(addresses) - set(group))
    await deployment.run_for(duration_s)
    return deployment


def make_budget(started_s: float) -> RetryBudget:
    """Return the budget of a process that starts at a time."""
    return RetryBudget(ratio=RATIO, slack=SLACK, window_s=WINDOW_S, started_s=started_s)
