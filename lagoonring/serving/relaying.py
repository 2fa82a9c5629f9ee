"""Decides whether this instance passes on a request that another one relays by it.

The first instance keeps the request: it has accepted it, counts it, chooses the
endpoint, decides on retries and relays the answer to the caller. The one that relays
only connects to the endpoint, and answers for what the endpoint asked of it: it sends
nothing to endpoints that leave or that want a pause, and never passes a request on to
a further instance.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import RelayRefusedError

if TYPE_CHECKING:
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.parts import ServingParts


def find_relayed_endpoint(
    parts: ServingParts, name: str, *, is_leaving: bool
) -> Endpoint:
    """Return the endpoint to which a relayed request goes.

    Raises
    ------
    RelayRefusedError
        If this instance can't send a request there now; nothing was run.
    """
    if is_leaving:
        raise _refusal("an instance that is leaving")
    endpoint = parts.table.find(name)
    if endpoint is None or not endpoint.takes_new_work():
        raise _refusal(f"no endpoint {name!r} that takes requests")
    if parts.connectivity.is_lost(endpoint):
        raise _refusal("an instance that does not reach the service")
    if endpoint.paused_until_s > parts.app.clock.monotonic():
        raise _refusal(f"an endpoint {name!r} that wants no requests from here")
    return endpoint


def _refusal(got: str) -> RelayRefusedError:
    return RelayRefusedError(
        f"Got {got}, expected one that can pass the request on.",
        remedy="Use another instance.",
    )
