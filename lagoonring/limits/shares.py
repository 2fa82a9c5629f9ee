"""Splits limits among data centres and instances by their demand.

The functions are deterministic, so that instances with the same view agree, and
the shares of a view never sum to more than the limit.
"""

from __future__ import annotations

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
    """Row ``summary``: the demand of a data centre and its instances."""

    data_centre: str
    n_instances: int
    time_s: float
    per_s: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Part:
    """One of those that share a limit.

    ``size`` is the number of instances in it; ``demand`` is None if it is cut
    off, so that its demand is not known.
    """

    demand: float | None
    size: int = 1


def split(parts: Mapping[str, Part], floor_share: float) -> dict[str, float]:
    """Return each part's share of a limit; the shares sum to 1.

    Parts that are cut off get their even share. The others split the rest:
    ``floor_share`` of it evenly, what remains by demand.
    """
    n_instances = sum(part.size for part in parts.values())
    if n_instances == 0:
        return {}
    even = {name: part.size / n_instances for name, part in parts.items()}
    live = [name for name in sorted(parts) if parts[name].demand is not None]
    rest = sum(even[name] for name in live)
    total = sum(parts[name].demand or 0.0 for name in live)
    shares = dict(even)
    for name in live:
        demand = parts[name].demand or 0.0
        by_demand = rest * demand / total if total > 0 else even[name]
        shares[name] = floor_share * even[name] + (1 - floor_share) * by_demand
    return shares


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
