"""Those that share limits with this instance, as seen at one time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.limits.shares import Part, Totals, share_of, split

if TYPE_CHECKING:
    from collections.abc import Mapping


class Level:
    """Data centres that share the limits, or the instances of one.

    Parameters
    ----------
    own : str
        The data centre or instance that asks.
    sizes : mapping
        Number of instances in each, by name.
    demands : mapping
        Requests per second by scope, by name; None for those cut off.
    """

    def __init__(
        self,
        own: str,
        sizes: Mapping[str, int],
        demands: Mapping[str, Mapping[str, float] | None],
    ) -> None:
        self.own = own
        self.sizes = sizes
        self.demands = demands
        self.n_instances = sum(sizes.values())
        self.n_live = 0
        self.totals: dict[str, float] = {}
        for name in sorted(demands):
            per_s = demands[name]
            if per_s is None:
                continue
            self.n_live += sizes[name]
            for scope, value in per_s.items():
                self.totals[scope] = self.totals.get(scope, 0.0) + value

    def own_share(
        self, scope: str, floor_share: float, *, left_out: float = 0.0
    ) -> float:
        """Return the own share of a limit, with ``left_out`` of own demand."""
        per_s = self.demands[self.own] or {}
        demand = per_s.get(scope, 0.0)
        kept = max(0.0, demand - left_out)
        total = self.totals.get(scope, 0.0) - demand + kept
        totals = Totals(self.n_instances, self.n_live, max(kept, total))
        return share_of(Part(kept, self.sizes[self.own]), totals, floor_share)

    def shares(self, scope: str, floor_share: float) -> dict[str, float]:
        """Return all shares of a limit by name."""
        parts = {}
        for name, size in self.sizes.items():
            per_s = self.demands[name]
            demand = None if per_s is None else per_s.get(scope, 0.0)
            parts[name] = Part(demand, size)
        return split(parts, floor_share)
