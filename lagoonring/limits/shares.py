"""Splits limits among data centres and instances in proportion to demand.

The functions are deterministic, so instances with the same view of the members
agree, and the shares within a view never sum to more than the limit.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


@attrs.frozen(kw_only=True)
class Demand:
    """Row ``demand``: incoming requests per second of an instance, by scope.

    A scope is ``org:NAME``, ``class:NAME`` or ``entry:NAME``.
    """

    per_s: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class DemandSummary:
    """Row ``summary``: size and total demand of a data centre.

    ``busy`` is, by entry, the load of its endpoints there over their slots.
    """

    data_centre: str
    n_instances: int
    time_s: float
    per_s: dict[str, float] = attrs.field(factory=dict)
    busy: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Participant:
    """A data centre or instance that shares a limit.

    ``size`` is its number of instances; ``demand`` is None if it is unreachable,
    since its demand is then unknown.
    """

    demand: float | None
    size: int = 1


@attrs.frozen
class Totals:
    """Sums over all participants of a limit.

    ``n_instances`` counts all instances, ``n_live`` the reachable ones;
    ``demand`` is the demand of the reachable ones.
    """

    n_instances: int
    n_live: int
    demand: float


def compute_share(
    participant: Participant, totals: Totals, floor_share: float
) -> float:
    """Return the share of one participant in a limit.

    An unreachable participant gets its even share. The others split the rest:
    ``floor_share`` of it evenly, the remainder by demand.
    """
    even = participant.size / totals.n_instances
    if participant.demand is None:
        return even
    by_demand = even
    if totals.demand > 0:
        rest = totals.n_live / totals.n_instances
        by_demand = rest * (participant.demand / totals.demand)
    return floor_share * even + (1 - floor_share) * by_demand


def split(
    participants: Mapping[str, Participant], floor_share: float
) -> dict[str, float]:
    """Return the share of each participant in a limit; the shares sum to 1."""
    live = [
        participant
        for participant in participants.values()
        if participant.demand is not None
    ]
    totals = Totals(
        n_instances=sum(participant.size for participant in participants.values()),
        n_live=sum(participant.size for participant in live),
        demand=math.fsum(participant.demand or 0.0 for participant in live),
    )
    return {
        name: compute_share(participant, totals, floor_share)
        for name, participant in participants.items()
    }


def split_count(limit: int, shares: Mapping[str, float]) -> dict[str, int]:
    """Apportion an integer limit by shares, using the largest remainder method."""
    counts = {name: int(limit * share) for name, share in shares.items()}
    n_left = limit - sum(counts.values())
    by_remainder = sorted(
        shares, key=lambda name: (counts[name] - limit * shares[name], name)
    )
    for name in by_remainder[: max(0, n_left)]:
        counts[name] += 1
    return counts


def round_demand(per_s: float) -> float:
    """Round to a coarse grid, so that small changes are not published."""
    if per_s < 0.05:
        return 0.0
    step = 1.0
    while step * 8 > per_s:
        step /= 2
    while step * 16 <= per_s:
        step *= 2
    return round(per_s / step) * step


class DelayedGrowth:
    """Follows decreases of a value immediately and increases after a delay."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.window: deque[tuple[float, float]] = deque()

    def update(self, value: float, now_s: float) -> float:
        """Add a sample and return the minimum over the last ``delay_s`` seconds."""
        window = self.window
        while window and window[-1][1] > value:
            window.pop()
        if not window or window[-1][1] < value:
            window.append((now_s, value))
        while len(window) > 1 and window[1][0] <= now_s - self.delay_s:
            window.popleft()
        return window[0][1]
