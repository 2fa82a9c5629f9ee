"""Decides whether a request is taken or refused, and when to come back.

Answers a load beyond what the endpoints carry: a request that would be answered
only after its caller has given up takes places from those that could be served.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

PATIENCE_SHARE = 0.9  # leaves a tenth of the time for the answer itself
RETRY_LEAST_S = 0.1  # below it a return costs more than the place it finds
RETRY_SHARE_MOST = 1 / 3  # callers honour no more than a third of what is left
NO_ENDPOINT_RETRY_S = 0.5  # half an endpoint's usual restart


@attrs.frozen(kw_only=True)
class Prospect:
    """What a request can expect; times in seconds.

    ``estimate_s`` is None if no endpoint can take it. ``left_s`` is what remains
    until its caller or its route gives up; ``first_answer_s`` how long its caller
    waits for the first part of the answer.
    """

    estimate_s: float | None
    left_s: float
    first_answer_s: float


@attrs.frozen
class Refusal:
    """Why a request is refused, and when its caller may come back."""

    reason: str
    retry_after_s: float


def decide(prospect: Prospect, rng: random.Random) -> Refusal | None:
    """Return None if the request is taken, else the refusal.

    Times to come back are spread over the time in which places come free, so
    that callers refused together don't return together.
    """
    if prospect.left_s <= 0:
        return Refusal("too_late", RETRY_LEAST_S)
    if prospect.estimate_s is None:
        return Refusal("no_endpoint", spread(NO_ENDPOINT_RETRY_S, prospect, rng))
    patience_s = min(prospect.left_s, prospect.first_answer_s) * PATIENCE_SHARE
    if prospect.estimate_s <= patience_s:
        return None
    excess_s = prospect.estimate_s - patience_s
    return Refusal("overload", spread(excess_s, prospect, rng))


def spread(mean_s: float, prospect: Prospect, rng: random.Random) -> float:
    """Return a time around a mean, at most a third of what is left."""
    most_s = max(prospect.left_s, 0.0) * RETRY_SHARE_MOST
    wanted_s = max(mean_s, RETRY_LEAST_S) * (0.5 + rng.random())
    return max(min(wanted_s, most_s), 0.01)
