"""Decides how many endpoints of a service each data centre has, over plain data.

Answers reclaims that take all reclaimable endpoints of a data centre at once, when
no others are to be had for a while: on-demand endpoints carry what can't wait
through that time, reclaimable ones beside them carry the rest at a fraction of the
price.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lagoonring.serving.configuration import ScalingTraits

LOAD_MOST = 0.45  # of an endpoint's time reading prompts; beyond it first tokens wait
RECLAIMABLE_LOAD_MOST = 0.3  # at a fifth of the price, with streams read beside
SHORT_LOAD_MOST = 0.4  # while reclaimable endpoints are gone, for seconds at a time
FLOOR_LOAD_MOST = 0.9  # for the seconds until an on-demand endpoint has started
FLOOR_LOAD_DRY = 0.6  # while none are to be had, after a reclaim it lasts longer
FLOOR_LEAST = 2  # so that one crash leaves an endpoint when all others were reclaimed


@attrs.frozen(kw_only=True)
class DataCentreFleet:
    """Endpoints of a service that serve in a data centre, and its price."""

    data_centre: str
    price: float
    n_on_demand: int
    n_reclaimable: int


@attrs.frozen(kw_only=True)
class Order:
    """How many endpoints of a kind a data centre is to have."""

    data_centre: str
    is_reclaimable: bool
    n_endpoints: int


def plan(
    fleets: Sequence[DataCentreFleet],
    traits: ScalingTraits,
    *,
    load: float,
    spare: int,
    is_dry: bool = False,
) -> list[Order]:
    """Return the wanted numbers of endpoints.

    Parameters
    ----------
    load : float
        Work that arrives, in endpoints that are fully busy reading prompts.
    spare : int
        Reclaimable endpoints kept in each data centre whatever the load.
    is_dry : bool
        Whether a data centre has no reclaimable endpoints to give at the moment, so
        that those that serve elsewhere could not be replaced either.

    Returns
    -------
    list of Order
        For each data centre and kind, reclaimable ones first.
    """
    if traits.reclaimable_price is None:
        n_wanted = max(math.ceil(load / LOAD_MOST), traits.n_least * len(fleets))
        on_demand = _spread_on_demand(fleets, traits, n_wanted, n_each=traits.n_least)
        return [_order(fleet, on_demand, False) for fleet in fleets]
    floor = _spread_on_demand(fleets, traits, _count_floor(fleets, load, is_dry))
    reclaimable = _spread_reclaimable(fleets, traits, floor, load, spare)
    on_demand = _cover_missing(fleets, traits, floor, load)
    for fleet in fleets:
        # What serves now goes only once reclaimable endpoints serve in its place,
        # unless these could not start for the limit on both kinds together.
        name = fleet.data_centre
        n_planned = floor[name] + reclaimable[name]
        n_kept = min(n_planned - fleet.n_reclaimable, fleet.n_on_demand)
        n_kept = min(n_kept, traits.n_most - reclaimable[name])
        on_demand[name] = min(max(on_demand[name], n_kept), traits.n_most)
    return [
        *(_order(fleet, reclaimable, True) for fleet in fleets),
        *(_order(fleet, on_demand, False) for fleet in fleets),
    ]


def _count_floor(fleets: Sequence[DataCentreFleet], load: float, is_dry: bool) -> int:
    """Return the on-demand endpoints that serve when all others are reclaimed."""
    load_most = FLOOR_LOAD_DRY if is_dry else FLOOR_LOAD_MOST
    return max(math.ceil(load / load_most), min(FLOOR_LEAST, len(fleets)))


def _spread_on_demand(
    fleets: Sequence[DataCentreFleet],
    traits: ScalingTraits,
    n_wanted: int,
    *,
    n_each: int = 0,
) -> dict[str, int]:
    """Return numbers by data centre: one after the other, the cheapest first."""
    spread = {fleet.data_centre: n_each for fleet in fleets}
    n_left = n_wanted - sum(spread.values())
    by_price = sorted(fleets, key=lambda fleet: fleet.price)
    while n_left > 0 and min(spread.values(), default=traits.n_most) < traits.n_most:
        for fleet in by_price:
            if n_left > 0 and spread[fleet.data_centre] < traits.n_most:
                spread[fleet.data_centre] += 1
                n_left -= 1
    return spread


def _spread_reclaimable(
    fleets: Sequence[DataCentreFleet],
    traits: ScalingTraits,
    floor: dict[str, int],
    load: float,
    spare: int,
) -> dict[str, int]:
    """Return numbers by data centre: all alike, as a whole one may be lost."""
    n_beside = math.ceil(load / RECLAIMABLE_LOAD_MOST) - sum(floor.values())
    n_missing = max(0, n_beside)
    n_each = max(math.ceil(n_missing / max(len(fleets), 1)), spare)
    spread = {}
    for fleet in fleets:
        n_floor = floor[fleet.data_centre]
        n_wanted = max(n_each, traits.n_least - n_floor)
        spread[fleet.data_centre] = max(0, min(n_wanted, traits.n_most - n_floor))
    return spread


def _cover_missing(
    fleets: Sequence[DataCentreFleet],
    traits: ScalingTraits,
    floor: dict[str, int],
    load: float,
) -> dict[str, int]:
    """Return on-demand numbers that stand in for reclaimable ones not there."""
    n_reclaimable = sum(fleet.n_reclaimable for fleet in fleets)
    n_wanted = math.ceil(load / SHORT_LOAD_MOST) - n_reclaimable
    n_wanted = max(n_wanted, sum(floor.values()))
    return _spread_on_demand(fleets, traits, n_wanted)


def _order(
    fleet: DataCentreFleet, numbers: dict[str, int], is_reclaimable: bool
) -> Order:
    return Order(
        data_centre=fleet.data_centre,
        is_reclaimable=is_reclaimable,
        n_endpoints=numbers[fleet.data_centre],
    )
