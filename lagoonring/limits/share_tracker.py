"""Keeps this instance's shares of all limits up to date from the peers' rows."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.limits.shares import (
    DelayedGrowth,
    Demand,
    DemandSummary,
    Part,
    round_demand,
    split,
    split_count,
)

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.limits.options import LimitsOptions

SMOOTHING_S = 3.0
UNREACHABLE = "unreachable"
DEAD = "dead"
SUMMARY_PREFIX = "demand:"
NO_DEMAND = Demand()


@attrs.define
class DemandMeter:
    """Smoothed requests per second of a scope."""

    per_s: float = 0.0
    n_asked: int = 0


@attrs.define(eq=False)
class ScopeShares:
    """This instance's shares for a scope, as last worked out."""

    share: float
    shares: dict[str, float]
    data_centre_shares: dict[str, float]


class ShareTracker:
    """Works out shares from own demand, the peers' and other data centres'.

    A limit is first split among data centres, then among the instances of this
    one. While instances are cut off, shares stay as they are for ``hold_s``;
    then those cut off keep an even share and the rest is split by demand.
    """

    def __init__(self, peers: Any, clock: Clock, options: LimitsOptions) -> None:
        self.peers = peers
        self.clock = clock
        self.options = options
        self.meters: dict[str, DemandMeter] = {}
        self.refreshed_s = clock.monotonic()
        self.own = Demand()
        self.summaries: dict[str, DemandSummary] = {}
        self.own_summary: DemandSummary | None = None
        self.scopes: dict[str, ScopeShares] = {}
        self.growth: dict[str, DelayedGrowth] = {}
        self.demands: dict[str, Demand] = {}
        self.lost: frozenset[str] = frozenset()
        self.held_until_s = 0.0
        self.instances: dict[str, bool] = {}
        self.data_centres: dict[str, bool] = {}
        self.sizes: dict[str, int] = {}

    def note_asked(self, scope: str) -> None:
        """Count a request asked for, whether admitted or not."""
        meter = self.meters.get(scope)
        if meter is None:
            meter = self.meters[scope] = DemandMeter()
        meter.n_asked += 1

    def refresh(self) -> None:
        """Take the peers' newest rows in and work all shares out again."""
        now_s = self.clock.monotonic()
        self._smooth(now_s)
        if self.peers is None:
            return
        self._tell_demand()
        self.demands = self._read_demands()
        self._find_members(now_s)
        self._take_summaries()
        self._tell_summary()
        if now_s < self.held_until_s:
            return
        names = set(self.scopes) | set(self.meters)
        for scope in names:
            if scope not in self.scopes:
                self._first(scope)
        self.scopes = {scope: self._work_out(scope, now_s) for scope in names}

    def share(self, scope: str) -> float:
        """Return this instance's share of a limit of a scope, 0 to 1."""
        if self.peers is None:
            return 1.0
        known = self.scopes.get(scope)
        if known is None:
            known = self._first(scope)
        return known.share

    def count(self, scope: str, limit: int) -> int:
        """Return this instance's part of a limit in whole numbers."""
        if self.peers is None:
            return limit
        known = self.scopes.get(scope) or self._first(scope)
        me = self.peers.me
        of_data_centre = split_count(limit, known.data_centre_shares)
        own_limit = of_data_centre.get(me.data_centre, 0)
        count = split_count(own_limit, known.shares).get(me.instance, 0)
        growth = self._growth(f"{scope}:count")
        return int(growth.update(count, self.clock.monotonic()))

    def slots_share(self, scope: str) -> float:
        """Return the part of this data centre's places to use here."""
        if self.peers is None:
            return 1.0
        parts = self._instance_parts(scope, 0.0)
        shares = split(parts, self.options.slots_floor_share)
        return shares.get(self.peers.me.instance, 1.0)

    def _first(self, scope: str) -> ScopeShares:
        """Work out a scope that is new here, as if nothing had been asked for.

        The others may have split the limit among them; a share for this
        instance's own demand has to wait until they have heard of it.
        """
        now_s = self.clock.monotonic()
        if not self.instances:
            self._find_members(now_s)
        known = self._work_out(scope, now_s, counts_own=False)
        self.scopes[scope] = known
        return known

    def _work_out(
        self, scope: str, now_s: float, *, counts_own: bool = True
    ) -> ScopeShares:
        floor_share = self.options.floor_share
        me = self.peers.me
        own_per_s = self.own.per_s.get(scope, 0.0)
        left_out = 0.0 if counts_own else own_per_s
        instances = self._instance_parts(scope, left_out)
        data_centres = self._data_centre_parts(scope, left_out)
        shares = split(instances, floor_share)
        data_centre_shares = split(data_centres, floor_share)
        share = shares[me.instance] * data_centre_shares[me.data_centre]
        n_known = sum(part.size for part in data_centres.values())
        n_expected = self.options.n_instances_expected
        if n_known < n_expected:
            share *= n_known / n_expected
        share = self._growth(scope).update(share, now_s)
        return ScopeShares(share, shares, data_centre_shares)

    def _growth(self, name: str) -> DelayedGrowth:
        growth = self.growth.get(name)
        if growth is None:
            growth = self.growth[name] = DelayedGrowth(self.options.grow_delay_s)
        return growth

    def _smooth(self, now_s: float) -> None:
        elapsed_s = now_s - self.refreshed_s
        if elapsed_s <= 0:
            return
        self.refreshed_s = now_s
        rate = min(1.0, elapsed_s / SMOOTHING_S)
        for scope, meter in list(self.meters.items()):
            meter.per_s += rate * (meter.n_asked / elapsed_s - meter.per_s)
            meter.n_asked = 0
            if meter.per_s < 0.001:
                del self.meters[scope]

    def _tell_demand(self) -> None:
        per_s = {
            scope: round_demand(meter.per_s) for scope, meter in self.meters.items()
        }
        own = Demand(per_s={scope: value for scope, value in per_s.items() if value})
        if own != self.own:
            self.own = own
            self.peers.publish("demand", "requests", own)

    def _find_members(self, now_s: float) -> None:
        """Note which instances here and which data centres are reachable."""
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
        for name in self.summaries:
            data_centres.setdefault(name, False)
        self.instances = instances
        self.data_centres = data_centres
        self.sizes = sizes
        lost = frozenset(
            name
            for names in (instances, data_centres)
            for name, is_reachable in names.items()
            if not is_reachable
        )
        if lost - self.lost:
            self.held_until_s = now_s + self.options.hold_s
        elif not lost:
            self.held_until_s = 0.0
        self.lost = lost

    def _take_summaries(self) -> None:
        newest: dict[str, DemandSummary] = {}
        rows = self.peers.rows("summary", DemandSummary)
        for (_, name), row in rows.items():
            if not name.startswith(SUMMARY_PREFIX):
                continue
            known = newest.get(row.data_centre)
            if known is None or row.time_s > known.time_s:
                newest[row.data_centre] = row
        newest.pop(self.peers.me.data_centre, None)
        self.summaries.update(newest)

    def _tell_summary(self) -> None:
        """Publish the data centre's demand from its first reachable instance."""
        me = self.peers.me
        reachable = [name for name, is_here in self.instances.items() if is_here]
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
        known = self.own_summary
        is_same = known is not None and (known.per_s, known.n_instances) == (
            per_s,
            len(self.instances),
        )
        if is_same:
            return
        self.own_summary = DemandSummary(
            data_centre=me.data_centre,
            n_instances=len(self.instances),
            time_s=self.clock.time(),
            per_s=per_s,
        )
        self.peers.publish("summary", name, self.own_summary)

    def _read_demands(self) -> dict[str, Demand]:
        rows = self.peers.rows("demand", Demand)
        demands = {origin: row for (origin, _), row in rows.items()}
        demands[self.peers.me.instance] = self.own
        return demands

    def _instance_parts(self, scope: str, left_out: float) -> dict[str, Part]:
        """Return this data centre's instances; ``left_out`` of own demand."""
        parts = {}
        for name, is_reachable in self.instances.items():
            per_s = self.demands.get(name, NO_DEMAND).per_s.get(scope, 0.0)
            parts[name] = Part(per_s if is_reachable else None)
        own = parts[self.peers.me.instance]
        parts[self.peers.me.instance] = Part(max(0.0, (own.demand or 0.0) - left_out))
        return parts

    def _data_centre_parts(self, scope: str, left_out: float) -> dict[str, Part]:
        """Return the data centres; ``left_out`` of this one's demand."""
        me = self.peers.me
        parts = {}
        for name, is_reachable in self.data_centres.items():
            if name == me.data_centre:
                own = self.own_summary or self._told_summary(name)
                per_s = own.per_s.get(scope, 0.0) if own else 0.0
                parts[name] = Part(max(0.0, per_s - left_out), len(self.instances))
                continue
            summary = self.summaries.get(name)
            demand = summary.per_s.get(scope, 0.0) if summary else 0.0
            size = summary.n_instances if summary else self.sizes.get(name, 1)
            parts[name] = Part(demand if is_reachable else None, size)
        return parts

    def _told_summary(self, data_centre: str) -> DemandSummary | None:
        rows = self.peers.rows("summary", DemandSummary)
        for (_, name), row in rows.items():
            if name == SUMMARY_PREFIX + data_centre:
                return row
        return None
