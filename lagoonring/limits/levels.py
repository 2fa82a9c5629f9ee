"""Snapshot of the data centres or instances among which limits are split."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.limits.shares import Participant, Totals, compute_share, split

if TYPE_CHECKING:
    from collections.abc import Mapping


class Level:
    """One level of the split: all data centres, or the instances of one.

    Parameters
    ----------
    own : str
        Name of this data centre or instance.
    sizes : mapping
        Number of instances in each, by name.
    demands : mapping
        Requests per second by scope, by name; None where unreachable.
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
        self, scope: str, floor_share: float, *, excluded_demand: float = 0.0
    ) -> float:
        """Return the own share of a limit, less ``excluded_demand`` of own demand."""
        per_s = self.demands[self.own] or {}
        demand = per_s.get(scope, 0.0)
        counted_demand = max(0.0, demand - excluded_demand)
        total = self.totals.get(scope, 0.0) - demand + counted_demand
        totals = Totals(self.n_instances, self.n_live, max(counted_demand, total))
        return compute_share(
            Participant(counted_demand, self.sizes[self.own]), totals, floor_share
        )

    def shares(self, scope: str, floor_share: float) -> dict[str, float]:
        """Return the shares of a limit by name."""
        participants = {}
        for name, size in self.sizes.items():
            per_s = self.demands[name]
            demand = None if per_s is None else per_s.get(scope, 0.0)
            participants[name] = Participant(demand, size)
        return split(participants, floor_share)
