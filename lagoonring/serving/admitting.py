"""Admission control: decides whether a request is refused, and when to retry it.

Protects against overload: a request that would be answered only after its caller's
timeout takes slots from requests that could still be answered in time.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

MAX_WAIT_SHARE = 0.9  # the remaining tenth of the time is for the answer itself
MAX_LATENESS = 1.5  # times the objective; a longer queue makes every answer late
MIN_RETRY_AFTER_S = 0.1  # an earlier retry costs more than the slot that it finds
MAX_RETRY_SHARE = 1 / 3  # callers honour a Retry-After up to a third of time left
NO_ENDPOINT_RETRY_S = 0.5  # half of an endpoint's typical restart time


@attrs.frozen(kw_only=True)
class WaitEstimate:
    """The expected wait of a request and its limits, in seconds.

    ``estimate_s`` is None if no endpoint can take the request; ``opens_s`` is then the
    time until one may, None if that is not known. ``left_s`` is the time
    until its deadline, ``max_wait_s`` how long its caller waits for the first part
    of the answer, and ``objective_s`` the time after which the answer is late.
    """

    estimate_s: float | None
    left_s: float
    max_wait_s: float
    objective_s: float = math.inf
    opens_s: float | None = None


@attrs.frozen
class Refusal:
    """The reason for which a request is refused, and the delay before a retry."""

    reason: str
    retry_after_s: float


def decide(wait: WaitEstimate, rng: random.Random) -> Refusal | None:
    """Return None if the request is admitted, else the refusal.

    Retry delays are spread over the time in which slots come free, so that callers
    that were refused together don't retry together.
    """
    if wait.left_s <= 0:
        return Refusal("too_late", MIN_RETRY_AFTER_S)
    if wait.estimate_s is None and wait.opens_s is not None:
        return Refusal("limited", spread(wait.opens_s, wait, rng))
    if wait.estimate_s is None:
        return Refusal("no_endpoint", spread(NO_ENDPOINT_RETRY_S, wait, rng))
    limit_s = min(wait.left_s, wait.max_wait_s) * MAX_WAIT_SHARE
    limit_s = min(limit_s, wait.objective_s * MAX_LATENESS)
    if wait.estimate_s <= limit_s:
        return None
    excess_s = wait.estimate_s - limit_s
    return Refusal("overload", spread(excess_s, wait, rng))


def spread(mean_s: float, wait: WaitEstimate, rng: random.Random) -> float:
    """Return a random delay around a mean, at most a third of the time left."""
    max_s = max(wait.left_s, 0.0) * MAX_RETRY_SHARE
    wanted_s = max(mean_s, MIN_RETRY_AFTER_S) * (0.5 + rng.random())
    return max(min(wanted_s, max_s), 0.01)
