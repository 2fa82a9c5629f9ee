"""Operators' orders to send nothing to the endpoints of a data centre.

Answers the load in which a data centre is emptied and the others take over its work,
and in which its endpoints, possibly cold by then, are used again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.logs import make_logger
from lagoonring.serving.warming import assume_cold

if TYPE_CHECKING:
    from lagoonring.serving.endpoints import EndpointTable

logger = make_logger("evacuations")


@attrs.frozen
class EvacuationOrder:
    """An operator's order to send nothing to a data centre, or its withdrawal."""

    data_centre: str
    is_withdrawn: bool = False


def apply_evacuation(
    table: EndpointTable, order: EvacuationOrder, now_s: float
) -> bool:
    """Put an order in force; return whether it changed anything.

    The endpoints of a data centre that is used again count as cold.
    """
    is_evacuated = order.data_centre in table.evacuated
    if is_evacuated is not order.is_withdrawn:
        return False
    there = [
        endpoint
        for endpoint in table.endpoints.values()
        if endpoint.record.data_centre == order.data_centre
    ]
    if order.is_withdrawn:
        table.evacuated.discard(order.data_centre)
        for endpoint in there:
            assume_cold(table, endpoint, now_s, source="evacuation")
    else:
        table.evacuated.add(order.data_centre)
    logger.info(
        "Data centre {}.",
        "used again" if order.is_withdrawn else "evacuated",
        extra={
            "data_centre": order.data_centre,
            "n_endpoints": len(there),
            "unserved": unserved(table),
        },
    )
    return True


def unserved(table: EndpointTable) -> list[str]:
    """Return the services whose endpoints are all in evacuated data centres."""
    return sorted(
        service
        for service, endpoints in table.by_service.items()
        if endpoints
        and all(
            endpoint.record.data_centre in table.evacuated
            for endpoint in endpoints.values()
        )
    )
