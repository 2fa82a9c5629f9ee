"""Health of endpoints: ejection, probing and gradual return.

An endpoint is ``up`` until it is ``ejected``. When the ejection expires it is
``probing`` (one request at a time) and, after a successful probe, ``ramping``
up to its full share of requests.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonring.routing.messages import AttemptResult
    from lagoonring.routing.options import RoutingOptions

UP = "up"
EJECTED = "ejected"
PROBING = "probing"
RAMPING = "ramping"

CONSECUTIVE_FAILURES = "consecutive_failures"
BROUGHT_DOWN = "brought_down"
REASONS_WITH_CACHE_LOST = frozenset({CONSECUTIVE_FAILURES, BROUGHT_DOWN})

FAILURE_KINDS = frozenset({"connect", "cut", "timeout", "error", "crossed"})
SMOOTHING = 0.1
MIN_SAMPLES = 10
MIN_FAILURE_SHARE = 0.2
MIN_LATENCY_LIMIT_S = 0.005
MIN_TOKEN_INTERVAL_LIMIT_S = 0.02
MIN_RAMP_SHARE = 0.1
N_FAILURES_IF_REPORTED = 1
PROBE_TIMEOUT_S = 30.0
EJECTION_COUNT_RESET_S = 120.0


@attrs.define(kw_only=True, eq=False)
class EndpointHealth:
    """Health state and recent results of an endpoint.

    ``until_s`` and ``since_s`` are times of the monotonic clock. ``latency_s``
    is the smoothed time to the first token per unit of work,
    ``token_interval_s`` the smoothed time between tokens.
    """

    state: str = UP
    until_s: float = 0.0
    since_s: float = 0.0
    reason: str = ""
    n_ejections: int = 0
    n_consecutive: int = 0
    failure_share: float = 0.0
    n_results: int = 0
    latency_s: float = 0.0
    token_interval_s: float = 0.0
    n_latencies: int = 0
    is_probe_in_flight: bool = False


def counts_as_failure(result: AttemptResult) -> bool:
    """Return whether a result is a failure attributed to the endpoint."""
    return not result.ok and not result.cause and result.kind in FAILURE_KINDS


def record_result(health: EndpointHealth, result: AttemptResult) -> None:
    """Update the failure counts from a result.

    Results that say nothing about the endpoint's health are ignored: kinds
    outside ``FAILURE_KINDS``, and failures that have another cause.
    """
    if result.kind not in FAILURE_KINDS and result.kind:
        return
    if result.cause:
        return
    failed = counts_as_failure(result)
    health.n_consecutive = health.n_consecutive + 1 if failed else 0
    health.n_results += 1
    rate = max(SMOOTHING, 1.0 / health.n_results)
    health.failure_share += rate * (float(failed) - health.failure_share)


def record_latency(
    health: EndpointHealth, latency_s: float, token_interval_s: float | None
) -> None:
    """Update the averages from a success; ``latency_s`` is per unit of work."""
    health.n_latencies += 1
    rate = max(SMOOTHING, 1.0 / health.n_latencies)
    health.latency_s += rate * (latency_s - health.latency_s)
    if token_interval_s is not None:
        health.token_interval_s += rate * (token_interval_s - health.token_interval_s)


def find_ejection_reason(
    health: EndpointHealth,
    others: Iterable[EndpointHealth],
    *,
    is_reported_failing: bool,
    options: RoutingOptions,
) -> str:
    """Return why an endpoint should be ejected, or "" if it should not be.

    ``others`` are the other endpoints of the same entry and version. At most
    half of all of them are ejected for being slower or failing more often than
    the others; consecutive failures eject regardless of that limit.
    """
    n_failures = N_FAILURES_IF_REPORTED if is_reported_failing else options.n_failures
    if health.n_consecutive >= n_failures:
        return CONSECUTIVE_FAILURES
    others = list(others)
    n_unavailable = sum(other.state in (EJECTED, PROBING) for other in others)
    if not others or 2 * (n_unavailable + 1) > len(others) + 1:
        return ""
    if _fails_more(health, others, options):
        return "failure_share"
    if _is_slower(health, others, options):
        return "latency"
    return ""


def eject(
    health: EndpointHealth, reason: str, now_s: float, options: RoutingOptions
) -> None:
    """Eject an endpoint, doubling the duration for each ejection in a row."""
    if now_s - health.since_s > EJECTION_COUNT_RESET_S:
        health.n_ejections = 0
    factor = 2 ** min(health.n_ejections, 16)
    duration_s = min(options.ejection_most_s, options.ejection_s * factor)
    health.n_ejections += 1
    _enter(health, EJECTED, now_s, until_s=now_s + duration_s)
    health.reason = reason


def eject_without_penalty(
    health: EndpointHealth, now_s: float, options: RoutingOptions
) -> None:
    """Eject an endpoint that a request crashed.

    The ejection does not count towards the doubling of later ones.
    """
    _enter(health, EJECTED, now_s, until_s=now_s + options.ejection_s)
    health.reason = BROUGHT_DOWN


def advance(health: EndpointHealth, now_s: float, options: RoutingOptions) -> bool:
    """Apply state changes that are due; return whether there was one."""
    if health.state == EJECTED and now_s >= health.until_s:
        _enter(health, PROBING, now_s, until_s=now_s)
        return True
    if health.state == RAMPING and now_s >= health.until_s:
        _enter(health, UP, now_s, until_s=0.0)
        return True
    if (
        health.state == PROBING
        and health.is_probe_in_flight
        and now_s >= health.until_s
    ):
        health.is_probe_in_flight = False
        return True
    return False


def begin_probe(health: EndpointHealth, now_s: float) -> None:
    """Mark the probe as in flight; it times out after ``PROBE_TIMEOUT_S``."""
    health.is_probe_in_flight = True
    health.until_s = now_s + PROBE_TIMEOUT_S


def end_probe(
    health: EndpointHealth,
    result: AttemptResult,
    now_s: float,
    options: RoutingOptions,
) -> None:
    """Apply the result of a probe.

    A success starts the ramp-up, a failure of the endpoint ejects it again.
    After any other result the endpoint stays in probing.
    """
    health.is_probe_in_flight = False
    health.until_s = now_s
    if result.ok and not result.kind:
        _reset_counts(health)
        _enter(health, RAMPING, now_s, until_s=now_s + options.ramp_s)
    elif counts_as_failure(result):
        eject(health, "probe_failed", now_s, options)


def ramp_share(health: EndpointHealth, now_s: float, options: RoutingOptions) -> float:
    """Return the share of its normal load that an endpoint should get now."""
    if health.state != RAMPING or options.ramp_s <= 0:
        return 1.0
    share = 1.0 - (health.until_s - now_s) / options.ramp_s
    return min(1.0, max(MIN_RAMP_SHARE, share))


def _enter(health: EndpointHealth, state: str, now_s: float, *, until_s: float) -> None:
    health.state = state
    health.since_s = now_s
    health.until_s = until_s
    health.is_probe_in_flight = False


def _reset_counts(health: EndpointHealth) -> None:
    health.n_consecutive = 0
    health.failure_share = 0.0
    health.n_results = 0
    health.latency_s = 0.0
    health.token_interval_s = 0.0
    health.n_latencies = 0


def _fails_more(
    health: EndpointHealth, others: list[EndpointHealth], options: RoutingOptions
) -> bool:
    if health.n_results < MIN_SAMPLES:
        return False
    median_share = statistics.median(other.failure_share for other in others)
    limit = max(MIN_FAILURE_SHARE, options.outlier_factor * median_share)
    return health.failure_share > limit


def _is_slower(
    health: EndpointHealth, others: list[EndpointHealth], options: RoutingOptions
) -> bool:
    if health.n_latencies < MIN_SAMPLES:
        return False
    sampled = [other for other in others if other.n_latencies >= MIN_SAMPLES]
    if 2 * len(sampled) < len(others):
        return False
    factor = options.outlier_factor
    median_latency_s = statistics.median(other.latency_s for other in sampled)
    if health.latency_s > max(MIN_LATENCY_LIMIT_S, factor * median_latency_s):
        return True
    median_interval_s = statistics.median(other.token_interval_s for other in sampled)
    return health.token_interval_s > max(
        MIN_TOKEN_INTERVAL_LIMIT_S, factor * median_interval_s
    )
