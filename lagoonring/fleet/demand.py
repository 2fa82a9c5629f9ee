"""Demand forecasts, reclaim rates and offers that capacity plans are made from."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.fleet.forecast import Forecast
from lagoonring.fleet.messages import DemandReport, is_own_token
from lagoonring.fleet.planner import GoalRange, Need, Offer
from lagoonring.platform.cloud import MARKETS, RECLAIMABLE

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lagoonring.catalogue.entries import CatalogueContent, FleetGoal
    from lagoonring.fleet.options import FleetOptions
    from lagoonring.platform.cloud import CloudInstance, CloudPrice
    from lagoonring.routing.messages import EndpointLoad

HOUR_S = 3600.0
PRIOR_RECLAIMS_PER_H = 0.05
PRIOR_HOURS = 10.0
MAX_RISK_HOURS = 200.0


class DemandTracker:
    """Forecasts the demand of a data centre by entry.

    Parameters
    ----------
    data_centre : str
        Only load reports of endpoints in this data centre are used.
    """

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.forecasts: dict[str, Forecast] = {}

    def restore(self, report: DemandReport | None) -> None:
        """Restore the forecasts from the report of an earlier lease holder."""
        self.forecasts.clear()
        if report is None:
            return
        for entry, demand in report.demand.items():
            forecast = Forecast(level=demand, time_s=report.time_s)
            shape = report.shapes.get(entry)
            if shape is not None and len(shape) == len(forecast.shape):
                forecast.shape = list(shape)
            self.forecasts[entry] = forecast

    def add(
        self,
        content: CatalogueContent,
        loads: Mapping[str, EndpointLoad],
        time_s: float,
    ) -> None:
        """Add load reports of endpoints; entries without any get no sample."""
        busy_slots: dict[str, int] = {}
        for name, load in loads.items():
            endpoint = content.endpoints.get(name)
            if endpoint is not None and endpoint.data_centre == self.data_centre:
                n_busy = load.n_running + load.n_waiting
                busy_slots[endpoint.entry] = busy_slots.get(endpoint.entry, 0) + n_busy
        for entry, n_busy in busy_slots.items():
            self.forecasts.setdefault(entry, Forecast()).add(n_busy, time_s)
        for entry in [name for name in self.forecasts if name not in content.entries]:
            del self.forecasts[entry]

    def predict(self, horizon_s: float) -> dict[str, float]:
        """Return the demand expected within a horizon, by entry."""
        return {
            entry: forecast.predict(horizon_s)
            for entry, forecast in self.forecasts.items()
        }

    def make_report(
        self,
        horizon_s: float,
        time_s: float,
        refused: frozenset[tuple[str, str]] = frozenset(),
    ) -> DemandReport:
        """Return the report for other data centres and later lease holders."""
        shapes = {
            entry: [round(value, 2) for value in forecast.shape]
            for entry, forecast in self.forecasts.items()
        }
        demand = {
            entry: round(value, 2) for entry, value in self.predict(horizon_s).items()
        }
        return DemandReport(
            demand=demand,
            time_s=time_s,
            shapes=shapes,
            refused=sorted(refused),
        )


@attrs.define(kw_only=True)
class DemandHysteresis:
    """Follows rising demand at once and falling demand only after a delay.

    Starts and stops are both planned from this value, so that an instance started
    in one step isn't stopped in the next.

    Attributes
    ----------
    margin : float
        Share by which demand must fall below the value in use.
    settle_s : float
        Time, in seconds, for which demand must stay that low.
    """

    margin: float
    settle_s: float
    held: dict[str, float] = attrs.field(factory=dict)
    low_since_s: dict[str, float] = attrs.field(factory=dict)

    def update(self, demand: Mapping[str, float], now_s: float) -> dict[str, float]:
        """Update with the current demand by entry; return the demand to plan for."""
        for entry in self.held.keys() - demand.keys():
            del self.held[entry]
        for entry, value in demand.items():
            self._update_entry(entry, value, now_s)
        return dict(self.held)

    def _update_entry(self, entry: str, value: float, now_s: float) -> None:
        held = self.held.get(entry, 0.0)
        if held * (1 - self.margin) <= value <= held:
            self.low_since_s.pop(entry, None)
            return
        since_s = self.low_since_s.setdefault(entry, now_s)
        if value > held or now_s - since_s >= self.settle_s:
            self.held[entry] = value
            self.low_since_s.pop(entry, None)


@attrs.define
class ReclaimRisk:
    """Estimates reclaims per instance and hour by data centre and class."""

    hours: dict[tuple[str, str], float] = attrs.field(factory=dict)
    n_reclaims: dict[tuple[str, str], float] = attrs.field(factory=dict)
    leaving: set[str] = attrs.field(factory=set)

    def add(self, instances: Iterable[CloudInstance], elapsed_s: float) -> None:
        """Count instance hours and new reclaim notices."""
        still_leaving = set()
        for item in instances:
            if item.market != RECLAIMABLE or item.state == "gone":
                continue
            key = (item.data_centre, item.instance_class)
            self.hours[key] = self.hours.get(key, 0.0) + elapsed_s / HOUR_S
            if item.state == "leaving":
                still_leaving.add(item.instance)
                is_new = item.instance not in self.leaving
                self.n_reclaims[key] = self.n_reclaims.get(key, 0.0) + float(is_new)
            if self.hours[key] > MAX_RISK_HOURS:
                self.hours[key] /= 2
                self.n_reclaims[key] = self.n_reclaims.get(key, 0.0) / 2
        self.leaving = still_leaving

    def rate(self, data_centre: str, instance_class: str) -> float:
        """Return the reclaims expected per instance and hour."""
        key = (data_centre, instance_class)
        n_reclaims = self.n_reclaims.get(key, 0.0)
        n_reclaims += PRIOR_RECLAIMS_PER_H * PRIOR_HOURS
        return n_reclaims / (self.hours.get(key, 0.0) + PRIOR_HOURS)


def make_offers(
    goals: Mapping[str, FleetGoal],
    prices: Iterable[CloudPrice],
    risk: ReclaimRisk,
    *,
    n_slots: Mapping[str, int],
    n_running: Mapping[tuple[str, str], int],
    refused: frozenset[tuple[str, str]],
    options: FleetOptions,
) -> list[Offer]:
    """Return the offers for the goals of one entry.

    Parameters
    ----------
    n_running : mapping
        Instances by goal and market; offers in use get a discount of
        ``switch_margin``, so that small price changes don't replace instances.
    refused : frozenset
        Goals and markets that currently refuse starts; their offers are limited to
        the instances in use.
    """
    price_by_place = {
        (price.data_centre, price.instance_class): price for price in prices
    }
    offers = []
    for name, goal in goals.items():
        price = price_by_place.get((goal.data_centre, goal.instance_class))
        if price is None:
            continue
        for market in MARKETS:
            n_in_use = n_running.get((name, market), 0)
            is_refused = (name, market) in refused
            factor = 1 - options.switch_margin if n_in_use else 1.0
            reclaims_per_h = 0.0
            if market == RECLAIMABLE:
                reclaims_per_h = risk.rate(goal.data_centre, goal.instance_class)
            offers.append(
                Offer(
                    goal=name,
                    entry=goal.entry,
                    data_centre=goal.data_centre,
                    instance_class=goal.instance_class,
                    market=market,
                    price=getattr(price, market) * factor,
                    reclaims_per_h=reclaims_per_h,
                    n_slots=n_slots.get(goal.instance_class, options.n_slots),
                    n_most=n_in_use if is_refused else goal.n_most,
                )
            )
    return offers


def make_need(demand: float, n_fixed_slots: int, options: FleetOptions) -> Need:
    """Return the capacity requirement of an entry."""
    return Need(
        demand=demand,
        target_load=options.target_load,
        wave_load=options.wave_load,
        n_fixed_slots=n_fixed_slots,
    )


def make_ranges(goals: Mapping[str, FleetGoal]) -> dict[str, GoalRange]:
    """Return the instance counts that goals allow, by goal."""
    return {
        name: GoalRange(n_least=goal.n_least, n_most=goal.n_most, n_spare=goal.n_spare)
        for name, goal in goals.items()
    }


def count_fixed_slots(
    content: CatalogueContent, entry: str, instances: Iterable[CloudInstance]
) -> int:
    """Return the slots of an entry's endpoints that the fleet doesn't manage."""
    fleet_instances = {
        item.instance
        for item in instances
        if is_own_token(item.token, item.data_centre)
    }
    return sum(
        endpoint.n_slots
        for name, endpoint in content.endpoints.items()
        if endpoint.entry == entry
        and name not in fleet_instances
        and endpoint.instance not in fleet_instances
    )


def slots_by_class(
    content: CatalogueContent, instances: Iterable[CloudInstance]
) -> dict[str, int]:
    """Return the slots per instance by class, as endpoints in the catalogue have."""
    classes = {item.instance: item.instance_class for item in instances}
    return {
        classes[endpoint.instance]: endpoint.n_slots
        for endpoint in content.endpoints.values()
        if endpoint.instance in classes
    }
