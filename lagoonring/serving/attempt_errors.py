"""Errors of attempts at endpoints, and the limits of waiting that they name."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.endpoints.errors import (
    EndpointCrossedError,
    EndpointCutError,
    EndpointTimeoutError,
)

if TYPE_CHECKING:
    from lagoonring.serving.endpoints import Endpoint

MAX_EVENT_BYTES = 1 << 20  # an event holds some tokens


@attrs.frozen(order=True)
class Limit:
    """A limit of waiting for an endpoint, and what set it; ordered by its length."""

    reason: str = attrs.field(order=False)
    seconds: float


def unsigned_error(endpoint: Endpoint) -> EndpointCutError:
    """Return the error for an answer that an endpoint did not make itself."""
    return EndpointCutError(
        f"Got an answer of {endpoint.name} that is not its own work, expected a "
        "signed one.",
        remedy="Repeat the request only if it is idempotent.",
    )


def endless_event_error(endpoint: Endpoint, n_bytes: int) -> EndpointCrossedError:
    """Return the error for a stream without a whole event in ``n_bytes``."""
    return EndpointCrossedError(
        f"Got {n_bytes} bytes of {endpoint.name} that are no whole event, expected "
        f"events of at most {MAX_EVENT_BYTES}.",
        remedy="Drop the stream; resume it elsewhere where that is allowed.",
    )


def timeout_error(endpoint: Endpoint, what: str, limit: Limit) -> EndpointTimeoutError:
    """Return the error for an endpoint that was waited for up to a limit."""
    return EndpointTimeoutError(
        f"Got no sign of {endpoint.name} in {limit.seconds:.2f} s (limit: "
        f"{limit.reason}), expected it to {what}.",
        remedy="Repeat the request only if it is idempotent.",
    )
