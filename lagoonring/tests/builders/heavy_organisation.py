"""An organisation that sends several times its limit through many instances."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.serving.quotas import Quotas
from lagoonring.tests.builders.serving import make_organisation

if TYPE_CHECKING:
    from collections.abc import Iterator

# Tokens, share of the requests, and the objective in s of short and long requests.
REQUEST_KINDS = (
    (200, 0.26, 0.4),
    (1100, 0.22, 0.5),
    (2400, 0.34, 0.5),
    (7000, 0.12, 0.8),
    (30000, 0.06, 0.8),
)
MEAN_TOKENS = sum(tokens * share for tokens, share, _ in REQUEST_KINDS)
REPORT_INTERVAL_S = 0.45
REPORT_DELAY_S = 0.25
WINDOW_S = 8.0


@attrs.frozen(kw_only=True)
class Results:
    """What callers got during the heavy load.

    ``in_time`` is the share of requests admitted within their objective, ``ideal`` the
    share that one bucket for all instances admits. ``window_share`` is the largest
    amount admitted in a window, as a share of the bound, and ``in_time_before`` the
    share at the usual load.
    """

    in_time: float
    ideal: float
    window_share: float
    in_time_before: float


@attrs.define
class Bucket:
    """One token bucket for all instances, which holds a second of its rate."""

    rate_per_s: float
    level: float = attrs.field(init=False)
    at_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.level = self.rate_per_s

    def take(self, amount: float, now_s: float) -> bool:
        """Take an amount, unless the bucket holds less."""
        refilled = self.level + (now_s - self.at_s) * self.rate_per_s
        self.level, self.at_s = min(refilled, self.rate_per_s), now_s
        if self.level < amount:
            return False
        self.level -= amount
        return True


def play_heavy_organisation(
    *, n_instances: int, factor: float, seed: int = 1, rate_per_s: float = 200e3
) -> Results:
    """Play 8 s of the usual load and 14 s of ``factor`` times as much.

    Instances report what they admitted; callers come back once, as told.
    """
    rng = random.Random(seed)
    limited = make_organisation(
        rate_per_s=rate_per_s, burst=rate_per_s, counts_tokens=True
    )
    made = [
        Quotas(WINDOW_S, overshoot=0.1, slack=140e3, started_s=-30.0)
        for _ in range(n_instances)
    ]
    numbers = itertools.count()
    events: list[Any] = []

    def schedule(at_s: float, kind: str, *details: Any) -> None:
        heapq.heappush(events, (at_s, next(numbers), kind, details))

    for at_s in _arrivals(rng, rate_per_s / 1.8 / MEAN_TOKENS, factor):
        kind = rng.choices(REQUEST_KINDS, [share for _, share, _ in REQUEST_KINDS])[0]
        schedule(at_s, "request", at_s, kind, True)
    for number in range(n_instances):
        schedule(rng.random() * REPORT_INTERVAL_S, "report", number)
    bucket = Bucket(rate_per_s)
    asked: list[tuple[float, float | None, bool]] = []
    admitted: list[tuple[float, float]] = []
    while events:
        now_s, _, event, details = heapq.heappop(events)
        if event == "report":
            (number,) = details
            totals = made[number].totals(now_s)
            schedule(now_s + REPORT_DELAY_S, "reported", number, totals)
            if now_s < 22.0:
                schedule(now_s + REPORT_INTERVAL_S, "report", number)
        elif event == "reported":
            number, totals = details
            for other, quotas in enumerate(made):
                if other != number:
                    quotas.update_peer(number, 1, totals, now_s)
        else:
            arrived_s, (tokens, _, objective_s), is_first = details
            quotas = rng.choice(made)
            wait_s = quotas.take(limited, tokens, now_s, 1.0, n_instances=n_instances)
            is_in_time = now_s - arrived_s <= objective_s - 0.15
            if is_first:
                in_bucket = bucket.take(tokens, now_s)
                asked.append((arrived_s, None, in_bucket))
            if wait_s is None:
                admitted.append((now_s, tokens))
                asked.append((arrived_s, float(is_in_time), False))
            elif is_first:
                again_s = now_s + min(wait_s * (1 + 0.5 * rng.random()), 2.0)
                schedule(again_s, "request", arrived_s, details[1], False)
    n_before = sum(at_s < 8.0 for at_s, result, _ in asked if result is None)
    n_heavy = sum(at_s >= 8.0 for at_s, result, _ in asked if result is None)
    good = [at_s for at_s, result, _ in asked if result]
    bound = (rate_per_s * WINDOW_S + rate_per_s) * 1.1 + 140e3
    return Results(
        in_time=sum(at_s >= 8.0 for at_s in good) / n_heavy,
        ideal=sum(at_s >= 8.0 and in_bucket for at_s, _, in_bucket in asked) / n_heavy,
        window_share=max(_window_sums(admitted)) / bound,
        in_time_before=sum(at_s < 8.0 for at_s in good) / n_before,
    )


def _arrivals(rng: random.Random, usual_per_s: float, factor: float) -> Iterator[float]:
    now_s = 0.0
    while now_s < 22.0:
        yield now_s
        now_s += rng.expovariate(usual_per_s * (factor if now_s >= 8.0 else 1.0))


def _window_sums(admitted: list[tuple[float, float]]) -> Iterator[float]:
    window: deque[tuple[float, float]] = deque()
    total = 0.0
    for at_s, amount in admitted:
        window.append((at_s, amount))
        total += amount
        while window[0][0] < at_s - WINDOW_S:
            total -= window.popleft()[1]
        yield total
