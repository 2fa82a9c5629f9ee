"""Which endpoints are cold, and how many requests they take meanwhile.

Answers the load in which endpoints come back after a start, all of a data centre at
once, while the others are full: a cold endpoint falls over at a rate that a warm one
carries. All instances together keep to the rate that the configuration names.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from lagoonring.logs import make_logger
from lagoonring.serving.rate_budget import MAX_SECOND_SHARE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonring.serving.configuration import WarmUp
    from lagoonring.serving.endpoints import Endpoint, EndpointTable

SAME_S = 0.25  # later by less is the same statement, or a difference of clocks

# Incarnation (its start in ms), and until when the endpoint is cold, in milliseconds
# of the time that all instances agree on: news that pass several instances stay alike.
ColdRow = tuple[int, int]

logger = make_logger("endpoints")


def record_cold(
    endpoint: Endpoint, left_s: float, now_s: float, *, source: str
) -> bool:
    """Record for how long an endpoint stays cold; return whether that is news."""
    until_s = now_s + left_s
    if left_s <= 0 or until_s <= endpoint.cold_until_s + SAME_S:
        return False
    if not is_cold(endpoint, now_s):
        logger.info(
            "Endpoint is cold.",
            extra={
                "endpoint": endpoint.name,
                "data_centre": endpoint.record.data_centre,
                "left_s": round(left_s, 3),
                "source": source,
            },
        )
    endpoint.cold_until_s = until_s
    return True


def assume_cold(
    table: EndpointTable, endpoint: Endpoint, now_s: float, *, source: str
) -> None:
    """Take an endpoint for cold that may have been started again."""
    warm_up = table.warm_ups.get(endpoint.record.service)
    if warm_up is not None and record_cold(
        endpoint, warm_up.duration_s, now_s, source=source
    ):
        endpoint.cold_seen_until_s = endpoint.cold_until_s


def is_cold(endpoint: Endpoint, now_s: float) -> bool:
    """Return whether an endpoint is cold, as far as this instance knows."""
    return now_s < endpoint.cold_until_s


def cold_allowed_per_s(table: EndpointTable, endpoint: Endpoint, now_s: float) -> float:
    """Return the rate at which all instances together may send to an endpoint."""
    warm_up = table.warm_ups.get(endpoint.record.service)
    if warm_up is None or not is_cold(endpoint, now_s):
        return math.inf
    return warm_up.rate_per_s


def bounded_warm_up(warm_up: WarmUp, *, excess: float, slack: float) -> WarmUp:
    """Return a warm-up whose rate keeps any one second within the tolerance.

    Parameters
    ----------
    excess, slack : float
        The multiple of the configured rate, and the additional number, that an
        endpoint may get in a second.
    """
    most = warm_up.rate_per_s * excess + slack
    return attrs.evolve(
        warm_up, rate_per_s=min(warm_up.rate_per_s, most / MAX_SECOND_SHARE)
    )


def cold_rows(
    endpoints: Iterable[Endpoint], now_s: float, true_time_s: float
) -> dict[str, ColdRow]:
    """Return what other instances can't read in the endpoints' records."""
    return {
        endpoint.name: (
            endpoint.record.born_ms,
            round((endpoint.cold_seen_until_s - now_s + true_time_s) * 1e3),
        )
        for endpoint in endpoints
        if endpoint.cold_seen_until_s > now_s
    }


def apply_cold_rows(
    table: EndpointTable, rows: dict[str, ColdRow], now_s: float, true_time_s: float
) -> None:
    """Apply what other instances saw of the endpoints' present incarnations."""
    for name, (born_ms, until_ms) in rows.items():
        endpoint = table.find(name)
        if endpoint is None or endpoint.record.born_ms != born_ms:
            continue
        left_s = min(until_ms / 1e3 - true_time_s, _longest_s(table, endpoint))
        if record_cold(endpoint, left_s, now_s, source="instances"):
            endpoint.cold_seen_until_s = endpoint.cold_until_s


def _longest_s(table: EndpointTable, endpoint: Endpoint) -> float:
    """Return the longest time for which an endpoint can be cold."""
    warm_up = table.warm_ups.get(endpoint.record.service)
    return 0.0 if warm_up is None else warm_up.duration_s
