"""Keeps refusals low at endpoints that fall over when they refuse too many requests.

A brittle endpoint names the number of requests that it can refuse within a second for
want of room. Answers the load in which callers press for more than all endpoints can
take. What the instances know of each other's load is some tenths of a second old, so
that together they may send more than there is room for. Requests are therefore sent at
a rate somewhat below that at which the endpoint ends others, and once it may be full
only at a share of what it can refuse. `RateBudget` divides the rate among instances.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonring.serving.rate_budget import SLOT_S

if TYPE_CHECKING:
    from lagoonring.serving.endpoints import Endpoint, EndpointTable

RISKED_SHARE = 0.5  # of the refusals; the rest is for loads that are not known yet
USED_SHARE = 0.6  # of the rate at which requests end, so that hardly any has to queue
REFUSED_S = 1.0  # after a refusal, in which the endpoint is believed to have no room
GENERATION_S = 1.0  # typical stream, until times are known
PLAIN_S = 0.06  # typical plain answer, until times are known
MAX_QUEUED_S = 0.5  # that a request waits for room; callers do better elsewhere


def allowed_per_s(endpoint: Endpoint, service_s: float, now_s: float) -> float:
    """Return the rate at which all instances together may send to an endpoint.

    Parameters
    ----------
    service_s : float
        Time that the endpoint takes for a request.
    """
    n_refusable = endpoint.limit.n_refusable
    if n_refusable is None:
        return math.inf
    n_slots = endpoint.record.n_slots
    is_refusing = now_s - endpoint.refused_s < REFUSED_S
    if is_refusing or endpoint.count_running() >= n_slots:
        return RISKED_SHARE * n_refusable
    return USED_SHARE * n_slots / max(service_s, SLOT_S / n_slots)


def typical_service_s(table: EndpointTable, endpoint: Endpoint) -> float:
    """Return the time that a typical request takes at an endpoint."""
    typical = table.typical.get(endpoint.record.service)
    is_engine = bool(endpoint.seconds_per_token)
    if typical is not None:
        is_engine = is_engine or bool(typical.token_s)
    default_s = GENERATION_S if is_engine else PLAIN_S
    return (typical and typical.service_s) or endpoint.service_s or default_s
