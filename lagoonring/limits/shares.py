"""Splits limits among data centres and instances by their demand.

The functions are deterministic, so that instances with the same view agree, and
the shares of a view never sum to more than the limit.
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
    """Row ``demand``: requests per second that an instance is asked for.

    By scope: ``org:NAME``, ``class:NAME`` or ``entry:NAME``.
    """

    per_s: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class DemandSummary:
    """Row ``summary``: the demand of a data centre and its instances.

    ``busy`` is the load of an entry's endpoints there over their slots.
    """

    data_centre: str
    n_instances: int
    time_s: float
    per_s: dict[str, float] = attrs.field(factory=dict)
    busy: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Part:
    """One of those that share a limit.

    ``size`` is the number of instances in it; ``demand`` is None if it is cut
    off, so that its demand is not known.
    """

    demand: float | None
    size: int = 1


@attrs.frozen
class Totals:
    """Sums over all that share a limit.

    ``n_instances`` counts all instances, ``n_live`` those that are not cut off,
    ``demand`` is that of the latter.
    """

    n_instances: int
    n_live: int
    demand: float


def share_of(part: Part, totals: Totals, floor_share: float) -> float:
    """Return one part's share of a limit.

    A part that is cut off gets its even share. The others split the rest:
    ``floor_share`` of it evenly, what remains by demand.
    """
    even = part.size / totals.n_instances
    if part.demand is None:
        return even
    by_demand = even
    if totals.demand > 0:
        rest = totals.n_live / totals.n_instances
        by_demand = rest * (part.demand / totals.demand)
    return floor_share * even + (1 - floor_share) * by_demand


def split(parts: Mapping[str, Part], floor_share: float) -> dict[str, float]:
    """Return each part's share of a limit; the shares sum to 1."""
    live = [part for part in parts.values() if part.demand is not None]
    totals = Totals(
        n_instances=sum(part.size for part in parts.values()),
        n_live=sum(part.size for part in live),
        demand=math.fsum(part.demand or 0.0 for part in live),
    )
    return {name: share_of(part, totals, floor_share) for name, part in parts.items()}


def split_count(limit: int, shares: Mapping[str, float]) -> dict[str, int]:
    """Return whole numbers that sum to ``limit``, by largest remainder."""
    counts = {name: int(limit * share) for name, share in shares.items()}
    n_left = limit - sum(counts.values())
    by_remainder = sorted(
        shares, key=lambda name: (counts[name] - limit * shares[name], name)
    )
    for name in by_remainder[: max(0, n_left)]:
        counts[name] += 1
    return counts


def round_demand(per_s: float) -> float:
    """Round to one of few values, so that small changes aren't told."""
    if per_s < 0.05:
        return 0.0
    step = 1.0
    while step * 8 > per_s:
        step /= 2
    while step * 16 <= per_s:
        step *= 2
    return round(per_s / step) * step


class DelayedGrowth:
    """Follows a value down at once and up after a delay."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.seen: deque[tuple[float, float]] = deque()

    def update(self, value: float, now_s: float) -> float:
        """Take the newest value; return the least of the delay's values."""
        seen = self.seen
        while seen and seen[-1][1] > value:
            seen.pop()
        if not seen or seen[-1][1] < value:
            seen.append((now_s, value))
        while len(seen) > 1 and seen[1][0] <= now_s - self.delay_s:
            seen.popleft()
        return seen[0][1]
