"""The cheapest instances for an entry that meet its target through a wave.

Capacity is counted in slots. Two things must hold: all instances together take
the forecast demand at ``target_load``, and they take it at ``wave_load`` after
any one data centre has lost all its reclaimable instances at once.

The reclaimable slots that one data centre may hold are then worth an equal
number of slots elsewhere, so the plan tries every such limit, fills up with the
cheapest offers under it and keeps the cheapest result.
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
EPSILON = 1e-9


@attrs.frozen(kw_only=True, cache_hash=True)
class Offer:
    """A market where instances for an entry can be had.

    Attributes
    ----------
    goal, entry : str
        Name of the fleet goal that it serves, and the goal's entry.
    price : float
        Money per hour and instance.
    reclaims_per_h : float
        Expected reclaims per instance and hour.
    n_slots : int
        Slots of one instance.
    n_most : int
        Instances that can be had, those running included.
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
        """Whether the cloud may take instances back."""
        return self.market == RECLAIMABLE


@attrs.frozen(kw_only=True)
class Need:
    """What an entry needs, over all data centres.

    Attributes
    ----------
    demand : float
        Forecast of busy slots.
    target_load, wave_load : float
        Share of slots that may be busy, in general and after a wave.
    n_fixed_slots : int
        Slots that are there anyway.
    restart_s : float
        Time for which a reclaimed instance is paid for without being of use.
    """

    demand: float
    target_load: float = 0.7
    wave_load: float = 0.9
    n_fixed_slots: int = 0
    restart_s: float = 180.0


@attrs.frozen(kw_only=True)
class GoalRange:
    """The least and the most instances of a goal; ``n_spare`` are added."""

    n_least: int = 0
    n_most: int = 1000
    n_spare: int = 0


@attrs.frozen(kw_only=True)
class Plan:
    """Instances per offer, what they cost per hour, and slots that are missing."""

    counts: dict[Offer, int]
    price: float
    n_missing_slots: int


def make_plan(need: Need, offers: list[Offer], goals: dict[str, GoalRange]) -> Plan:
    """Return the cheapest plan found.

    What can't be had is reported as missing; the plan then has all there is.
    """
    ordered = sorted(offers, key=lambda offer: _order(offer, need.restart_s))
    by_goal: dict[str, list[Offer]] = {goal: [] for goal in goals}
    for offer in ordered:
        by_goal[offer.goal].append(offer)
    limits = _find_limits(need, offers)
    plans = [_fill(need, ordered, by_goal, goals, limit) for limit in limits]
    return min(plans, key=lambda plan: (plan.n_missing_slots, plan.price))


def count_lost(counts: dict[Offer, int]) -> int:
    """Return the slots that the worst wave in one data centre takes."""
    lost: Counter[str] = Counter()
    for offer, count in counts.items():
        if offer.is_reclaimable:
            lost[offer.data_centre] += count * offer.n_slots
    return max(lost.values(), default=0)


def expected_price(offer: Offer, restart_s: float) -> float:
    """Return the money per hour and instance, reclaims taken into account."""
    return offer.price * (1 + offer.reclaims_per_h * restart_s / HOUR_S)


def _find_limits(need: Need, offers: list[Offer]) -> list[int]:
    """Return limits, in slots, of what one wave may take."""
    sizes = {offer.n_slots for offer in offers if offer.is_reclaimable}
    most = int(need.demand / min(need.target_load, need.wave_load)) + 1
    found = {0}
    for size in sizes:
        n_limits = most // size + 2
        step = max(1, n_limits // N_LIMITS_TRIED)
        found.update(size * n for n in range(0, n_limits, step))
    return sorted(found)


def _fill(
    need: Need,
    ordered: list[Offer],
    by_goal: dict[str, list[Offer]],
    goals: dict[str, GoalRange],
    limit: int,
) -> Plan:
    filling = _Filling(need, goals, limit)
    for goal, own in by_goal.items():
        filling.take_least(goal, own)
    filling.take_until_enough(ordered)
    filling.drop_needless(ordered)
    for goal, own in by_goal.items():
        filling.take_more(own, goals[goal].n_spare)
    return filling.make_plan()


def _order(offer: Offer, restart_s: float) -> tuple[float, str, str]:
    price = expected_price(offer, restart_s) / offer.n_slots
    return price, offer.data_centre, offer.instance_class


class _Filling:
    """A plan in the making, under a limit of what one wave may take."""

    def __init__(self, need: Need, goals: dict[str, GoalRange], limit: int) -> None:
        self.need = need
        self.goals = goals
        self.limit = limit
        self.counts: dict[Offer, int] = defaultdict(int)
        self.by_goal: Counter[str] = Counter()
        self.n_slots = need.n_fixed_slots
        self.reclaimable: Counter[str] = Counter()

    def missing(self) -> int:
        """Return the slots that are missing."""
        need = self.need
        in_general = need.demand / need.target_load - self.n_slots
        lost = max(self.reclaimable.values(), default=0)
        in_wave = need.demand / need.wave_load - (self.n_slots - lost)
        return max(0, _ceil(max(in_general, in_wave)))

    def take_least(self, goal: str, offers: list[Offer]) -> None:
        """Take the least number of a goal's instances, the cheapest first."""
        for is_limited in (True, False):
            for offer in offers:
                n_more = self.goals[goal].n_least - self.by_goal[goal]
                room = self._room(offer, is_limited)
                self._take(offer, max(0, min(n_more, room)))

    def take_until_enough(self, offers: list[Offer]) -> None:
        """Take the cheapest that the limit allows until nothing is missing.

        Beyond the limit a reclaimable instance adds to what a wave takes, so
        it comes last, for the case in general.
        """
        for is_limited in (True, False):
            for offer in offers:
                self._take_while_missing(offer, is_limited)

    def _take_while_missing(self, offer: Offer, is_limited: bool) -> None:
        before = self.missing() + 1
        while (missing := self.missing()) > 0:
            # Fewer can't be enough: none brings more than its slots.
            n_more = min(-(-missing // offer.n_slots), self._room(offer, is_limited))
            is_stuck = not is_limited and missing >= before
            if n_more <= 0 or is_stuck:
                return
            before = missing
            self._take(offer, n_more)

    def drop_needless(self, offers: list[Offer]) -> None:
        """Give back, the dearest first, what is not needed for the target."""
        for offer in reversed(offers):
            while self.counts[offer] > 0 and self.missing() == 0:
                if self.by_goal[offer.goal] <= self.goals[offer.goal].n_least:
                    break
                self._take(offer, -1)
                if self.missing() > 0:
                    self._take(offer, 1)
                    break

    def take_more(self, offers: Iterable[Offer], n_more: int) -> None:
        """Take spare instances."""
        for offer in offers:
            n_taken = min(n_more, self._room(offer, is_limited=True))
            self._take(offer, n_taken)
            n_more -= max(0, n_taken)

    def make_plan(self) -> Plan:
        """Return what has been taken."""
        counts = {offer: count for offer, count in self.counts.items() if count}
        price = sum(
            count * expected_price(offer, self.need.restart_s)
            for offer, count in counts.items()
        )
        return Plan(counts=counts, price=price, n_missing_slots=self.missing())

    def _room(self, offer: Offer, is_limited: bool) -> int:
        """Return how many more instances of an offer can be taken."""
        n_most = self.goals[offer.goal].n_most - self.by_goal[offer.goal]
        room = min(n_most, offer.n_most - self.counts[offer])
        if is_limited and offer.is_reclaimable:
            left = self.limit - self.reclaimable[offer.data_centre]
            room = min(room, left // offer.n_slots)
        return max(0, room)

    def _take(self, offer: Offer, count: int) -> None:
        if count == 0:
            return
        self.counts[offer] += count
        self.by_goal[offer.goal] += count
        self.n_slots += count * offer.n_slots
        if offer.is_reclaimable:
            self.reclaimable[offer.data_centre] += count * offer.n_slots


def _ceil(value: float) -> int:
    return -int(-(value - EPSILON) // 1)
