"""Choice of endpoints: prefix affinity, load, health, data centres."""

from __future__ import annotations

from lagoonring.routing.messages import (
    AttemptResult,
    EndpointLoad,
    FailingEndpoint,
    LeavingEndpoint,
    NoEndpointError,
    Route,
    RouteRequest,
)
from lagoonring.routing.options import RoutingOptions
from lagoonring.routing.prefixes import hash_blocks, hash_conversation
from lagoonring.routing.service import RoutingService

__all__ = [
    "AttemptResult",
    "EndpointLoad",
    "FailingEndpoint",
    "LeavingEndpoint",
    "NoEndpointError",
    "Route",
    "RouteRequest",
    "RoutingOptions",
    "RoutingService",
    "hash_blocks",
    "hash_conversation",
]
