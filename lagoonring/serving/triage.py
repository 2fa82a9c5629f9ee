"""Whether a request to a model engine is sent, held or refused when room is short.

Answers the load in which callers ask for several times what the engines can read, by a
burst of patient requests or by one organisation: what is delayed or turned away then is
what costs callers least, by its rank, its deadline and the work that it needs. A pure
function without input or output; `docs/design/hard-load.md` tells what was weighed.
"""

from __future__ import annotations

import enum
import math

import attrs

SHORT_QUEUE_S = 0.05  # what a queue known from sums some tenths of a second old may be
MIN_SLACK_SHARE = 0.5  # of the objective, that every request may wait
HEADROOM = 0.3  # of the more urgent objective, that less urgent work may queue
FULL_RESERVE_SHARE = 0.2  # of the work; as much urgent work needs the whole headroom


class Turn(enum.Enum):
    """What happens to a request now."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


@attrs.frozen(kw_only=True)
class Claim:
    """What a request needs, in seconds.

    ``own_s`` is the time to its first answer at an idle endpoint, ``waited_s`` the time
    since it arrived. ``objective_s`` is the time from then to its first answer,
    ``left_s`` what is left until its deadline. ``ahead_s`` is the expected time until
    those held ahead of it at this instance are sent. ``lot`` is a number from 0 to 1
    that is the same at every decision on the request.
    """

    objective_s: float
    left_s: float
    own_s: float
    lot: float = 0.0
    waited_s: float = 0.0
    ahead_s: float = 0.0
    is_over_share: bool = False


@attrs.frozen(kw_only=True)
class Pressure:
    """How short room is for a request.

    ``queue_s`` is the wait at the best endpoint for it, ``admitted_share`` the share of
    requests of its level that there is room for, ``urgent_share`` the share of
    more urgent work in what callers ask for, and ``urgent_objective_s`` the shortest
    objective of that work.
    """

    queue_s: float
    admitted_share: float = 1.0
    urgent_share: float = 0.0
    urgent_objective_s: float = math.inf


@attrs.frozen
class Decision:
    """The turn of a request, and what it rests on.

    ``limit_s`` is the longest queue at which it is sent, ``slack_s`` how long it may
    still wait.
    """

    turn: Turn
    reason: str
    limit_s: float
    slack_s: float


def decide(claim: Claim, pressure: Pressure) -> Decision:
    """Return whether a request is sent, held or refused."""
    slack_s = _slack_s(claim)
    limit_s = max(_limit_s(claim, pressure, slack_s), SHORT_QUEUE_S)
    if claim.lot >= pressure.admitted_share:
        return Decision(Turn.REFUSE, "room", limit_s, slack_s)
    if pressure.queue_s <= limit_s:
        return Decision(Turn.SEND, "room", limit_s, slack_s)
    if limit_s >= slack_s:
        return Decision(Turn.REFUSE, "overload", limit_s, slack_s)
    reason = "share" if claim.is_over_share else "rank"
    is_hopeless = max(claim.ahead_s, SHORT_QUEUE_S) >= slack_s
    turn = Turn.REFUSE if is_hopeless else Turn.HOLD
    return Decision(turn, reason, limit_s, slack_s)


def _slack_s(claim: Claim) -> float:
    """Return how long a request may wait and still be answered in time.

    One that needs more than its objective by itself may wait for a part of it, so that
    large requests are not refused for their size.
    """
    useful_s = claim.objective_s - claim.own_s
    useful_s = max(useful_s, MIN_SLACK_SHARE * claim.objective_s) - claim.waited_s
    return max(min(useful_s, claim.left_s - claim.own_s), 0.0)


def _limit_s(claim: Claim, pressure: Pressure, slack_s: float) -> float:
    """Return the longest queue at which a request is sent."""
    reserve = min(pressure.urgent_share / FULL_RESERVE_SHARE, 1.0)
    objective_s = pressure.urgent_objective_s
    if claim.is_over_share:
        reserve, objective_s = 1.0, min(objective_s, claim.objective_s)
    if reserve <= 0:
        return slack_s
    yielding_s = HEADROOM * objective_s
    return min(slack_s, slack_s + reserve * (yielding_s - slack_s))
