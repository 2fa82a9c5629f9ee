"""Offers, clouds with faults and instances that run a fleet."""

from __future__ import annotations

from typing import Any

from lagoonring.fleet.planner import GoalRange, Offer


def make_offer(**fields: Any) -> Offer:
    """Return a cheap reclaimable offer of ``goal-0`` unless told otherwise."""
    values: dict[str, Any] = {
        "goal": "goal-0",
        "entry": "guide",
        "data_centre": "dc0",
        "instance_class": "small",
        "market": "reclaimable",
        "price": 0.3,
    }
    return Offer(**{**values, **fields})


def make_offers(
    prices: list[float], *, on_demand: float = 1.0
) -> tuple[list[Offer], dict[str, GoalRange]]:
    """Return both markets of one goal per data centre, and the goals' ranges."""
    offers = []
    for index, price in enumerate(prices):
        place = {"goal": f"goal-{index}", "data_centre": f"dc{index}"}
        offers.append(make_offer(price=price, **place))
        offers.append(make_offer(market="on_demand", price=on_demand, **place))
    return offers, {offer.goal: GoalRange() for offer in offers}
