"""Makes capacity plans for all entries from the state of cloud and catalogue."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from lagoonring.catalogue.entries import CatalogueContent
from lagoonring.fleet.demand import (
    ReclaimRisk,
    count_fixed_slots,
    make_need,
    make_offers,
    make_ranges,
    slots_by_class,
)
from lagoonring.fleet.planner import Plan, make_plan
from lagoonring.fleet.reconcile import GONE_STATES, count_running
from lagoonring.platform.cloud import CloudInstance, CloudPrice

if TYPE_CHECKING:
    from lagoonring.catalogue.entries import FleetGoal
    from lagoonring.fleet.messages import DemandReport
    from lagoonring.fleet.options import FleetOptions
    from lagoonring.fleet.reconcile import View


@attrs.frozen(kw_only=True)
class PlanningInputs:
    """Input of the capacity plans.

    Attributes
    ----------
    demand : mapping
        Busy slots expected by entry, over all data centres.
    running : mapping
        Instances wanted by goal and market, in all data centres.
    refused : frozenset
        Goals and markets that currently refuse starts.
    """

    content: CatalogueContent
    instances: list[CloudInstance]
    prices: list[CloudPrice]
    demand: Mapping[str, float]
    risk: ReclaimRisk
    running: Mapping[tuple[str, str], int]
    refused: frozenset[tuple[str, str]]


def plan_entries(planning: PlanningInputs, options: FleetOptions) -> dict[str, Plan]:
    """Return a plan for each entry that has goals and prices."""
    content = planning.content
    plans = {}
    for entry, goals in _goals_by_entry(content).items():
        offers = make_offers(
            goals,
            planning.prices,
            planning.risk,
            n_slots=slots_by_class(content, planning.instances),
            n_running=planning.running,
            refused=planning.refused,
            options=options,
        )
        if not offers:
            continue
        n_fixed = count_fixed_slots(content, entry, planning.instances)
        demand = planning.demand.get(entry, 0.0)
        need = make_need(demand, n_fixed, options)
        known = {offer.goal for offer in offers}
        ranges = make_ranges({name: goals[name] for name in sorted(known)})
        plans[entry] = make_plan(need, offers, ranges)
    return plans


def merge_plans(plans: Mapping[str, Plan]) -> Plan:
    """Return one plan that combines all plans."""
    counts = {offer: n for plan in plans.values() for offer, n in plan.counts.items()}
    return Plan(
        counts=counts,
        price=sum(plan.price for plan in plans.values()),
        n_missing_slots=sum(plan.n_missing_slots for plan in plans.values()),
    )


def count_instances(
    content: CatalogueContent, instances: list[CloudInstance], view: View
) -> Counter[tuple[str, str]]:
    """Return instances by goal and market, in all data centres.

    Intents exist for the own data centre only; instances of other data centres are
    matched to goals by their class in the cloud's list.
    """
    goal_names = {
        (goal.data_centre, goal.instance_class): name
        for name, goal in content.fleet.items()
    }
    counts: Counter[tuple[str, str]] = Counter()
    for intent in view.intents.values():
        if intent.state == "wanted":
            counts[intent.goal, intent.market] += 1
    for item in instances:
        goal = goal_names.get((item.data_centre, item.instance_class))
        is_other = item.data_centre != view.data_centre
        if is_other and goal and item.state not in GONE_STATES:
            counts[goal, item.market] += 1
    return counts


def is_plan_running(
    plan: Plan, content: CatalogueContent, instances: list[CloudInstance], view: View
) -> bool:
    """Return whether all planned instances run, in all data centres."""
    running = [item for item in instances if item.state == "running"]
    counts = count_instances(content, running, attrs.evolve(view, intents={}))
    counts.update(count_running(view))
    return all(
        counts[offer.goal, offer.market] >= count
        for offer, count in plan.counts.items()
    )


def find_refused_markets(report: DemandReport) -> frozenset[tuple[str, str]]:
    """Return the goals and markets that refused starts at the time of a report."""
    return frozenset((goal, market) for goal, market in report.refused)


def _goals_by_entry(content: CatalogueContent) -> dict[str, dict[str, FleetGoal]]:
    found: dict[str, dict[str, FleetGoal]] = {}
    for name, goal in content.fleet.items():
        found.setdefault(goal.entry, {})[name] = goal
    return found
