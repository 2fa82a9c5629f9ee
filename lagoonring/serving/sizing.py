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
    from collections.abc import Iterator, Sequence

    from lagoonring.serving.configuration import ScalingTraits

LOAD_MOST = 0.45  # of an endpoint's time reading prompts; beyond it first tokens wait
FLOOR_LOAD_MOST = 0.9  # until reclaimable endpoints are back, a boot time or two


@attrs.frozen(kw_only=True)
class DataCentreFleet:
    """Endpoints of a service in a data centre: those that serve, and the order."""

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
) -> list[Order]:
    """Return the wanted numbers of endpoints.

    Parameters
    ----------
    load : float
        Work that arrives, in endpoints that are fully busy reading prompts.
    spare : int
        Reclaimable endpoints kept in each data centre beyond the load.
    """
    if traits.reclaimable_price is None:
        return list(_plan_on_demand(fleets, traits, math.ceil(load / LOAD_MOST)))
    n_floor = math.ceil(load / FLOOR_LOAD_MOST)
    n_wanted = math.ceil(load / LOAD_MOST)
    on_demand = {
        order.data_centre: order.n_endpoints
        for order in _plan_on_demand(fleets, traits, n_floor)
    }
    n_missing = max(0, n_wanted - sum(on_demand.values()))
    per_data_centre = math.ceil(n_missing / max(len(fleets), 1)) + spare
    orders = []
    for fleet in fleets:
        n_on_demand = on_demand[fleet.data_centre]
        n_reclaimable = min(per_data_centre, traits.n_most - n_on_demand)
        orders.append(
            Order(
                data_centre=fleet.data_centre,
                is_reclaimable=True,
                n_endpoints=max(n_reclaimable, 0),
            )
        )
        # What serves now goes only once reclaimable endpoints serve beside it.
        n_kept = min(
            n_on_demand + n_reclaimable - fleet.n_reclaimable, fleet.n_on_demand
        )
        orders.append(
            Order(
                data_centre=fleet.data_centre,
                is_reclaimable=False,
                n_endpoints=max(n_on_demand, n_kept),
            )
        )
    return orders


def _plan_on_demand(
    fleets: Sequence[DataCentreFleet], traits: ScalingTraits, n_wanted: int
) -> Iterator[Order]:
    """Yield the least everywhere, and more where it is cheapest."""
    n_more = max(0, n_wanted - traits.n_least * len(fleets))
    for fleet in sorted(fleets, key=lambda fleet: fleet.price):
        n_here = min(n_more, traits.n_most - traits.n_least)
        n_more -= n_here
        yield Order(
            data_centre=fleet.data_centre,
            is_reclaimable=False,
            n_endpoints=traits.n_least + n_here,
        )
