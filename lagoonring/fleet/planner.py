"""Finds the cheapest set of instances that serves an entry's forecast demand.

Capacity is counted in slots. A plan must meet two constraints: all instances
together serve the forecast demand at ``target_load``, and they still serve it at
``wave_load`` after a reclaim wave, in which one data centre loses all its
reclaimable instances at once.

Each reclaimable slot of the data centre that holds most of them needs a spare
slot elsewhere. The planner therefore tries a range of limits on the reclaimable
slots per data centre, builds a plan from the cheapest offers under each limit and
keeps the cheapest plan.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

from lagoonring.platform.cloud import RECLAIMABLE

if TYPE_CHECKING:
    from collections.abc import Iterable

HOUR_S = 3600.0
N_LIMITS_TRIED = 24
EPSILON = 1e-9  # rounding error that must not add a whole slot


@attrs.frozen(kw_only=True, cache_hash=True)
class Offer:
    """Instances of one class that a market offers for a fleet goal.

    Attributes
    ----------
    goal, entry : str
        Name of the fleet goal that the offer serves, and the goal's entry.
    price : float
        Price per instance and hour.
    reclaims_per_h : float
        Expected reclaims per instance and hour.
    n_slots : int
        Slots of one instance.
    n_most : int
        Maximum number of instances, running ones included.
    """

    goal: str
    entry: str = ""
    data_centre: str
    instance_class: str
    market: str
    price: float
    reclaims_per_h: float = 0.0
    n_slots: int = 8
    n_most: int = 1000

    @property
    def is_reclaimable(self) -> bool:
        """Return whether the cloud may reclaim the instances."""
        return self.market == RECLAIMABLE


@attrs.frozen(kw_only=True)
class Need:
    """Capacity requirement of an entry over all data centres.

    Attributes
    ----------
    demand : float
        Forecast of busy slots.
    target_load, wave_load : float
        Maximum share of busy slots, normally and after a reclaim wave.
    n_fixed_slots : int
        Slots of endpoints that the fleet doesn't manage.
    restart_s : float
        Paid time without service, in seconds, for each reclaim.
    """

    demand: float
    target_load: float = 0.7
    wave_load: float = 0.9
    n_fixed_slots: int = 0
    restart_s: float = 180.0


@attrs.frozen(kw_only=True)
class GoalRange:
    """Minimum and maximum number of instances of a goal, and spares to add."""

    n_least: int = 0
    n_most: int = 1000
    n_spare: int = 0


@attrs.frozen(kw_only=True)
class Plan:
    """Instances per offer, their price per hour, and the slots still missing."""

    counts: dict[Offer, int]
    price: float
    n_missing_slots: int


def make_plan(need: Need, offers: list[Offer], goals: dict[str, GoalRange]) -> Plan:
    """Return the cheapest plan found.

    If the offers don't suffice, the plan uses all of them and reports the missing
    slots.
    """
    ordered = sorted(offers, key=lambda offer: _sort_key(offer, need.restart_s))
    by_goal: dict[str, list[Offer]] = {goal: [] for goal in goals}
    for offer in ordered:
        by_goal[offer.goal].append(offer)
    loss_limits = _find_loss_limits(need, offers)
    plans = [
        _build_plan(need, ordered, by_goal, goals, loss_limit)
        for loss_limit in loss_limits
    ]
    return min(plans, key=lambda plan: (plan.n_missing_slots, plan.price))


def max_wave_loss(counts: dict[Offer, int]) -> int:
    """Return the slots lost in the worst reclaim wave of one data centre."""
    lost_slots: Counter[str] = Counter()
    for offer, count in counts.items():
        if offer.is_reclaimable:
            lost_slots[offer.data_centre] += count * offer.n_slots
    return max(lost_slots.values(), default=0)


def expected_price(offer: Offer, restart_s: float) -> float:
    """Return the price per instance and hour, including the cost of reclaims."""
    return offer.price * (1 + offer.reclaims_per_h * restart_s / HOUR_S)


def _find_loss_limits(need: Need, offers: list[Offer]) -> list[int]:
    """Return candidate limits on the slots that one reclaim wave may take."""
    sizes = {offer.n_slots for offer in offers if offer.is_reclaimable}
    max_slots = int(need.demand / min(need.target_load, need.wave_load)) + 1
    found = {0}
    for size in sizes:
        n_limits = max_slots // size + 2
        step = max(1, n_limits // N_LIMITS_TRIED)
        found.update(size * n for n in range(0, n_limits, step))
    return sorted(found)


def _build_plan(
    need: Need,
    ordered: list[Offer],
    by_goal: dict[str, list[Offer]],
    goals: dict[str, GoalRange],
    loss_limit: int,
) -> Plan:
    builder = _PlanBuilder(need, goals, loss_limit)
    for goal, goal_offers in by_goal.items():
        builder.add_minimum(goal, goal_offers)
    builder.add_until_sufficient(ordered)
    builder.remove_surplus(ordered)
    for goal, goal_offers in by_goal.items():
        builder.add_spares(goal_offers, goals[goal].n_spare)
    return builder.make_plan()


def _sort_key(offer: Offer, restart_s: float) -> tuple[float, str, str]:
    price = expected_price(offer, restart_s) / offer.n_slots
    return price, offer.data_centre, offer.instance_class


class _PlanBuilder:
    """Builds a plan under a limit on the slots that one reclaim wave may take."""

    def __init__(
        self, need: Need, goals: dict[str, GoalRange], loss_limit: int
    ) -> None:
        self.need = need
        self.goals = goals
        self.loss_limit = loss_limit
        self.counts: dict[Offer, int] = defaultdict(int)
        self.by_goal: Counter[str] = Counter()
        self.n_slots = need.n_fixed_slots
        self.reclaimable_slots: Counter[str] = Counter()

    def missing_slots(self) -> int:
        """Return the number of slots missing to meet both constraints."""
        need = self.need
        missing_normally = need.demand / need.target_load - self.n_slots
        lost_slots = max(self.reclaimable_slots.values(), default=0)
        missing_in_wave = need.demand / need.wave_load - (self.n_slots - lost_slots)
        return max(0, _ceil(max(missing_normally, missing_in_wave)))

    def add_minimum(self, goal: str, offers: list[Offer]) -> None:
        """Add a goal's minimum number of instances, cheapest first."""
        for is_limited in (True, False):
            for offer in offers:
                n_more = self.goals[goal].n_least - self.by_goal[goal]
                n_available = self._n_available(offer, is_limited)
                self._add(offer, max(0, min(n_more, n_available)))

    def add_until_sufficient(self, offers: list[Offer]) -> None:
        """Add the cheapest offers that the limit allows until no slot is missing.

        A reclaimable instance beyond the limit increases the loss in a wave, so
        it only helps the constraint without a wave and is added last.
        """
        for is_limited in (True, False):
            for offer in offers:
                self._add_while_missing(offer, is_limited)

    def _add_while_missing(self, offer: Offer, is_limited: bool) -> None:
        previous = self.missing_slots() + 1
        while (missing_slots := self.missing_slots()) > 0:
            # Fewer instances can't suffice: each adds at most its n_slots.
            n_more = min(
                -(-missing_slots // offer.n_slots), self._n_available(offer, is_limited)
            )
            is_stuck = not is_limited and missing_slots >= previous
            if n_more <= 0 or is_stuck:
                return
            previous = missing_slots
            self._add(offer, n_more)

    def remove_surplus(self, offers: list[Offer]) -> None:
        """Remove instances that no constraint needs, most expensive first."""
        for offer in reversed(offers):
            while self.counts[offer] > 0 and self.missing_slots() == 0:
                if self.by_goal[offer.goal] <= self.goals[offer.goal].n_least:
                    break
                self._add(offer, -1)
                if self.missing_slots() > 0:
                    self._add(offer, 1)
                    break

    def add_spares(self, offers: Iterable[Offer], n_more: int) -> None:
        """Add spare instances."""
        for offer in offers:
            n_added = min(n_more, self._n_available(offer, is_limited=True))
            self._add(offer, n_added)
            n_more -= max(0, n_added)

    def make_plan(self) -> Plan:
        """Return the plan with the instances added so far."""
        counts = {offer: count for offer, count in self.counts.items() if count}
        price = sum(
            count * expected_price(offer, self.need.restart_s)
            for offer, count in counts.items()
        )
        return Plan(counts=counts, price=price, n_missing_slots=self.missing_slots())

    def _n_available(self, offer: Offer, is_limited: bool) -> int:
        """Return how many more instances of an offer can be added."""
        n_most = self.goals[offer.goal].n_most - self.by_goal[offer.goal]
        n_available = min(n_most, offer.n_most - self.counts[offer])
        if is_limited and offer.is_reclaimable:
            slots_left = self.loss_limit - self.reclaimable_slots[offer.data_centre]
            n_available = min(n_available, slots_left // offer.n_slots)
        return max(0, n_available)

    def _add(self, offer: Offer, count: int) -> None:
        if count == 0:
            return
        self.counts[offer] += count
        self.by_goal[offer.goal] += count
        self.n_slots += count * offer.n_slots
        if offer.is_reclaimable:
            self.reclaimable_slots[offer.data_centre] += count * offer.n_slots


def _ceil(value: float) -> int:
    return -int(-(value - EPSILON) // 1)
