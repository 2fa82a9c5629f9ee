"""Maintains this instance's shares of all limits from the rows of its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.limits.levels import Level
from lagoonring.limits.shares import (
    DelayedGrowth,
    Demand,
    DemandSummary,
    round_demand,
    split_count,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.limits.options import LimitsOptions

SMOOTHING_S = 3.0
UNREACHABLE = "unreachable"
DEAD = "dead"
SUMMARY_PREFIX = "demand:"
NO_DEMAND = Demand()
DATA_CENTRE_EXPIRY_S = 600.0


@attrs.define
class DemandMeter:
    """Smoothed request rate of a scope."""

    per_s: float = 0.0
    n_requested: int = 0


class ShareTracker:
    """Computes shares from the demand of this instance and of all others.

    A limit is first split among data centres, then among the instances of this
    one. When instances become unreachable, shares are frozen for ``hold_s``;
    after that the unreachable ones keep an even share and the rest is split by
    demand.

    ``measure_utilisation`` returns the load of each entry's endpoints over
    their slots, which is published in the data centre's summary.
    """

    def __init__(
        self,
        peers: Any,
        clock: Clock,
        options: LimitsOptions,
        *,
        measure_utilisation: Callable[[], dict[str, float]] = dict,
    ) -> None:
        self.peers = peers
        self.measure_utilisation = measure_utilisation
        self.clock = clock
        self.options = options
        self.meters: dict[str, DemandMeter] = {}
        self.refreshed_s = clock.monotonic()
        self.own = Demand()
        self.summaries: dict[str, DemandSummary] = {}
        self.own_summary: DemandSummary | None = None
        self.received_summary: DemandSummary | None = None
        self.shares: dict[str, float] = {}
        self.growth: dict[str, DelayedGrowth] = {}
        self.demands: dict[str, Demand] = {}
        self.unreachable: frozenset[str] = frozenset()
        self.frozen_until_s = 0.0
        self.instances: dict[str, bool] = {}
        self.data_centres: dict[str, bool] = {}
        self.sizes: dict[str, int] = {}
        self.seen_s: dict[str, float] = {}
        self.instance_level = Level("", {"": 1}, {"": {}})
        self.data_centre_level = self.instance_level
        if peers is not None:
            self._update_levels(self.refreshed_s)

    def record_request(self, scope: str) -> None:
        """Count an incoming request, whether it is admitted or not."""
        meter = self.meters.get(scope)
        if meter is None:
            meter = self.meters[scope] = DemandMeter()
        meter.n_requested += 1

    def refresh(self) -> None:
        """Read the peers' current rows and recompute all shares."""
        now_s = self.clock.monotonic()
        self._update_meters(now_s)
        if self.peers is None:
            return
        self._publish_demand()
        self._update_levels(now_s)
        if now_s < self.frozen_until_s:
            return
        for scope in set(self.shares) | set(self.meters):
            if scope not in self.shares:
                self._init_share(scope)
            self.shares[scope] = self._compute_share(scope, now_s)

    def share(self, scope: str) -> float:
        """Return this instance's share of the limits of a scope, 0 to 1."""
        if self.peers is None:
            return 1.0
        known = self.shares.get(scope)
        return self._init_share(scope) if known is None else known

    def count(self, scope: str, limit: int) -> int:
        """Return this instance's part of an integer limit."""
        if self.peers is None:
            return limit
        me = self.peers.me
        floor_share = self.options.floor_share
        centres = self.data_centre_level.shares(scope, floor_share)
        own_limit = split_count(limit, centres).get(me.data_centre, 0)
        instances = self.instance_level.shares(scope, floor_share)
        count = split_count(own_limit, instances).get(me.instance, 0)
        growth = self._growth_for(f"{scope}:count")
        return int(growth.update(count, self.clock.monotonic()))

    def slots_share(self, scope: str) -> float:
        """Return the share of this data centre's slots that this instance may use."""
        if self.peers is None:
            return 1.0
        return self.instance_level.own_share(scope, self.options.slots_floor_share)

    def _update_levels(self, now_s: float) -> None:
        """Read members and rows, and rebuild both levels unless shares are frozen."""
        self.demands = self._read_demands()
        self._update_members(now_s)
        self._read_summaries(now_s)
        if now_s < self.frozen_until_s:
            return
        self._publish_summary()
        me = self.peers.me
        self.instance_level = Level(
            me.instance,
            dict.fromkeys(self.instances, 1),
            {
                name: self.demands.get(name, NO_DEMAND).per_s if is_reachable else None
                for name, is_reachable in self.instances.items()
            },
        )
        self.data_centre_level = self._make_data_centre_level()

    def _init_share(self, scope: str) -> float:
        """Compute the first share of a scope, ignoring this instance's demand.

        The other instances may already use the whole limit between them; a share
        for this instance's demand has to wait until they have received it.
        """
        excluded_demand = self.own.per_s.get(scope, 0.0)
        now_s = self.clock.monotonic()
        self.shares[scope] = self._compute_share(
            scope, now_s, excluded_demand=excluded_demand
        )
        return self.shares[scope]

    def _compute_share(
        self, scope: str, now_s: float, *, excluded_demand: float = 0.0
    ) -> float:
        floor_share = self.options.floor_share
        level = self.data_centre_level
        share = level.own_share(scope, floor_share, excluded_demand=excluded_demand)
        share *= self.instance_level.own_share(
            scope, floor_share, excluded_demand=excluded_demand
        )
        n_expected = self.options.n_instances_expected
        if level.n_instances < n_expected:
            share *= level.n_instances / n_expected
        return self._growth_for(scope).update(share, now_s)

    def _growth_for(self, name: str) -> DelayedGrowth:
        growth = self.growth.get(name)
        if growth is None:
            growth = self.growth[name] = DelayedGrowth(self.options.grow_delay_s)
        return growth

    def _update_meters(self, now_s: float) -> None:
        elapsed_s = now_s - self.refreshed_s
        if elapsed_s <= 0:
            return
        self.refreshed_s = now_s
        rate = min(1.0, elapsed_s / SMOOTHING_S)
        for scope, meter in list(self.meters.items()):
            meter.per_s += rate * (meter.n_requested / elapsed_s - meter.per_s)
            meter.n_requested = 0
            if meter.per_s < 0.001:
                del self.meters[scope]

    def _publish_demand(self) -> None:
        per_s = {
            scope: round_demand(meter.per_s) for scope, meter in self.meters.items()
        }
        own = Demand(per_s={scope: value for scope, value in per_s.items() if value})
        if own != self.own:
            self.own = own
            self.peers.publish("demand", "requests", own)

    def _update_members(self, now_s: float) -> None:
        """Update which local instances and which data centres are reachable.

        Freezes the shares for ``hold_s`` when another one becomes unreachable.
        """
        me = self.peers.me
        instances = {me.instance: True}
        data_centres = {me.data_centre: True}
        sizes = {me.data_centre: 1}
        for member in self.peers.members():
            state = getattr(member.state, "value", member.state)
            if state == DEAD:
                continue
            is_reachable = state != UNREACHABLE
            sizes[member.data_centre] = sizes.get(member.data_centre, 0) + 1
            if member.data_centre == me.data_centre:
                instances[member.instance] = is_reachable
            else:
                known = data_centres.get(member.data_centre, False)
                data_centres[member.data_centre] = known or is_reachable
        self.seen_s.update(dict.fromkeys(data_centres, now_s))
        for name in list(self.summaries):
            if now_s - self.seen_s.get(name, now_s) > DATA_CENTRE_EXPIRY_S:
                del self.summaries[name]
            else:
                data_centres.setdefault(name, False)
        self.instances = instances
        self.data_centres = data_centres
        self.sizes = sizes
        unreachable = frozenset(
            name
            for names in (instances, data_centres)
            for name, is_reachable in names.items()
            if not is_reachable
        )
        if unreachable - self.unreachable:
            self.frozen_until_s = now_s + self.options.hold_s
        elif not unreachable:
            self.frozen_until_s = 0.0
        self.unreachable = unreachable

    def _read_summaries(self, now_s: float) -> None:
        newest: dict[str, DemandSummary] = {}
        rows = self.peers.rows("summary", DemandSummary)
        for (_, name), row in rows.items():
            if not name.startswith(SUMMARY_PREFIX):
                continue
            known = newest.get(row.data_centre)
            if known is None or row.time_s > known.time_s:
                newest[row.data_centre] = row
        self.received_summary = newest.pop(self.peers.me.data_centre, None)
        for name, row in newest.items():
            if name in self.data_centres:
                self.summaries[name] = row

    def _publish_summary(self) -> None:
        """Publish the data centre's demand if this is its first reachable instance."""
        me = self.peers.me
        reachable = [
            name for name, is_reachable in self.instances.items() if is_reachable
        ]
        name = SUMMARY_PREFIX + me.data_centre
        if me.instance != min(reachable):
            if self.own_summary is not None:
                self.own_summary = None
                self.peers.publish("summary", name, None)
            return
        per_s: dict[str, float] = {}
        for instance in self.instances:
            demand = self.demands.get(instance, NO_DEMAND)
            for scope, value in demand.per_s.items():
                per_s[scope] = per_s.get(scope, 0.0) + value
        per_s = {scope: round_demand(value) for scope, value in per_s.items()}
        summary = DemandSummary(
            data_centre=me.data_centre,
            n_instances=len(self.instances),
            time_s=self.clock.time(),
            per_s=per_s,
            busy=self.measure_utilisation(),
        )
        known = self.own_summary
        if known is not None and attrs.evolve(summary, time_s=known.time_s) == known:
            return
        self.own_summary = summary
        self.peers.publish("summary", name, self.own_summary)

    def _read_demands(self) -> dict[str, Demand]:
        rows = self.peers.rows("demand", Demand)
        demands = {origin: row for (origin, _), row in rows.items()}
        demands[self.peers.me.instance] = self.own
        return demands

    def _make_data_centre_level(self) -> Level:
        own = self.own_summary or self.received_summary
        me = self.peers.me
        sizes = {me.data_centre: len(self.instances)}
        demands: dict[str, dict[str, float] | None] = {
            me.data_centre: own.per_s if own else {}
        }
        for name, is_reachable in self.data_centres.items():
            if name == me.data_centre:
                continue
            summary = self.summaries.get(name)
            sizes[name] = summary.n_instances if summary else self.sizes.get(name, 1)
            per_s = summary.per_s if summary else {}
            demands[name] = per_s if is_reachable else None
        return Level(me.data_centre, sizes, demands)
