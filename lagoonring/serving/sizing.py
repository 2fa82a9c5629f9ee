"""Planning of how many endpoints each data centre runs; pure functions without I/O.

A reclaim may take all reclaimable endpoints of a data centre at once, and the cloud
may have no replacements for a while. A floor of on-demand endpoints therefore carries
the load that can't wait through that time; reclaimable endpoints carry the remainder
at a fraction of the price.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lagoonring.serving.configuration import ScalingTraits

MAX_LOAD = 0.45  # share of time spent on prefill; above it first tokens are delayed
MAX_SHORTAGE_LOAD = 0.4  # while reclaimable endpoints are missing, for seconds
MAX_FLOOR_LOAD = 0.9  # only for the seconds until an on-demand endpoint has started
MAX_FLOOR_LOAD_EXHAUSTED = 0.6  # without replacements the shortage lasts longer
MIN_FLOOR = 2  # one survives a crash while all reclaimable endpoints are missing


@attrs.frozen(kw_only=True)
class DataCentreFleet:
    """Endpoints of a service that are ready in a data centre, and the price there.

    Of the reclaimable ones, ``n_cold`` are cold.
    """

    data_centre: str
    price: float
    n_on_demand: int
    n_reclaimable: int
    n_cold: int = 0


@attrs.frozen(kw_only=True)
class Order:
    """The wanted number of endpoints of a kind in a data centre."""

    data_centre: str
    is_reclaimable: bool
    n_endpoints: int


def max_reclaimable_load(price: float) -> float:
    """Return the share of time that reclaimable endpoints may spend on prefill.

    Requests wait for about as long as the endpoints are loaded. One more endpoint is
    therefore justified up to a load that grows with the root of the price.

    Parameters
    ----------
    price : float
        As a fraction of the on-demand price, for which `MAX_LOAD` holds.
    """
    return MAX_LOAD * math.sqrt(price)


def plan(
    fleets: Sequence[DataCentreFleet],
    traits: ScalingTraits,
    *,
    load: float,
    spare: int,
    is_exhausted: bool = False,
) -> list[Order]:
    """Return the wanted numbers of endpoints.

    Parameters
    ----------
    load : float
        Arriving work, in endpoints that are fully busy with prefill.
    spare : int
        Minimum number of reclaimable endpoints in each data centre, whatever the load.
    is_exhausted : bool
        Whether the cloud has no reclaimable capacity in some data centre at the moment,
        so that endpoints in the other data centres could not be replaced either.

    Returns
    -------
    list of Order
        One for each data centre and kind, reclaimable endpoints first.
    """
    if traits.reclaimable_price is None:
        n_wanted = max(math.ceil(load / MAX_LOAD), traits.n_least * len(fleets))
        on_demand = _spread_on_demand(fleets, traits, n_wanted, n_each=traits.n_least)
        return [_make_order(fleet, on_demand, False) for fleet in fleets]
    floor = _spread_on_demand(fleets, traits, _count_floor(fleets, load, is_exhausted))
    reclaimable = _spread_reclaimable(fleets, traits, floor, load, spare)
    on_demand = _cover_shortage(fleets, traits, floor, load)
    for fleet in fleets:
        # On-demand endpoints are stopped only after warm reclaimable ones have replaced
        # them, unless the limit on both kinds together keeps these from starting.
        name = fleet.data_centre
        n_planned = floor[name] + reclaimable[name]
        n_warm = fleet.n_reclaimable - fleet.n_cold
        n_retained = min(n_planned - n_warm, fleet.n_on_demand)
        n_retained = min(n_retained, traits.n_most - reclaimable[name])
        on_demand[name] = min(max(on_demand[name], n_retained), traits.n_most)
    return [
        *(_make_order(fleet, reclaimable, True) for fleet in fleets),
        *(_make_order(fleet, on_demand, False) for fleet in fleets),
    ]


def _count_floor(
    fleets: Sequence[DataCentreFleet], load: float, is_exhausted: bool
) -> int:
    """Return the on-demand endpoints needed while all others are reclaimed."""
    max_load = MAX_FLOOR_LOAD_EXHAUSTED if is_exhausted else MAX_FLOOR_LOAD
    return max(math.ceil(load / max_load), min(MIN_FLOOR, len(fleets)))


def _spread_on_demand(
    fleets: Sequence[DataCentreFleet],
    traits: ScalingTraits,
    n_wanted: int,
    *,
    n_each: int = 0,
) -> dict[str, int]:
    """Return numbers by data centre, assigned in turn starting with the cheapest."""
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
    """Return numbers by data centre, spread evenly.

    Those of one data centre may be reclaimed at once, and the others then carry the
    load alone.
    """
    assert traits.reclaimable_price is not None
    n_wanted = load / max_reclaimable_load(traits.reclaimable_price)
    n_missing = max(0.0, n_wanted - sum(floor.values()))
    n_each = max(math.ceil(n_missing / max(len(fleets) - 1, 1)), spare)
    spread = {}
    for fleet in fleets:
        n_floor = floor[fleet.data_centre]
        n_wanted = max(n_each, traits.n_least - n_floor)
        spread[fleet.data_centre] = max(0, min(n_wanted, traits.n_most - n_floor))
    return spread


def _cover_shortage(
    fleets: Sequence[DataCentreFleet],
    traits: ScalingTraits,
    floor: dict[str, int],
    load: float,
) -> dict[str, int]:
    """Return on-demand numbers that also replace missing reclaimable endpoints."""
    n_reclaimable = sum(fleet.n_reclaimable for fleet in fleets)
    n_wanted = math.ceil(load / MAX_SHORTAGE_LOAD) - n_reclaimable
    n_wanted = max(n_wanted, sum(floor.values()))
    return _spread_on_demand(fleets, traits, n_wanted)


def _make_order(
    fleet: DataCentreFleet, numbers: dict[str, int], is_reclaimable: bool
) -> Order:
    return Order(
        data_centre=fleet.data_centre,
        is_reclaimable=is_reclaimable,
        n_endpoints=numbers[fleet.data_centre],
    )
