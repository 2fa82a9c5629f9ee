"""Health of endpoints: ejection, probing and cautious return.

An endpoint is ``up``, ``ejected`` until a time, then ``probing`` (one request
at a time) and, after a success, ``ramping`` up to its full share.
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
DOWN_KINDS = frozenset({"connect", "cut"})
SMOOTHING = 0.1
N_SAMPLES_LEAST = 10
FAILURE_SHARE_LEAST = 0.2
LATENCY_LEAST_S = 0.005
PACE_LEAST_S = 0.02
RAMP_SHARE_LEAST = 0.1
N_HINTED_FAILURES = 1
PROBE_TIMEOUT_S = 30.0
FORGIVEN_AFTER_S = 120.0


@attrs.define(kw_only=True, eq=False)
class EndpointHealth:
    """State and recent results of an endpoint; times on the monotonic clock.

    ``latency_s`` is the smoothed time to the first token per unit of work,
    ``pace_s`` that between tokens.
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
    pace_s: float = 0.0
    n_latencies: int = 0
    is_probed: bool = False


def counts_as_failure(result: AttemptResult) -> bool:
    """Return whether a result speaks against the endpoint."""
    return not result.ok and not result.cause and result.kind in FAILURE_KINDS


def note_result(health: EndpointHealth, result: AttemptResult) -> None:
    """Take a result into the counts."""
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
    health: EndpointHealth, latency_s: float, pace_s: float | None
) -> None:
    """Take the latency of a success, per unit of work, into the averages."""
    health.n_latencies += 1
    rate = max(SMOOTHING, 1.0 / health.n_latencies)
    health.latency_s += rate * (latency_s - health.latency_s)
    if pace_s is not None:
        health.pace_s += rate * (pace_s - health.pace_s)


def find_fault(
    health: EndpointHealth,
    others: Iterable[EndpointHealth],
    *,
    is_hinted: bool,
    options: RoutingOptions,
) -> str:
    """Return why an endpoint should be ejected, empty if it should not.

    ``others`` are the other endpoints of the entry and version. No more than
    half of all are ejected for being slower or failing more often than the
    others; consecutive failures eject in any case.
    """
    n_failures = N_HINTED_FAILURES if is_hinted else options.n_failures
    if health.n_consecutive >= n_failures:
        return CONSECUTIVE_FAILURES
    others = list(others)
    n_out = sum(other.state in (EJECTED, PROBING) for other in others)
    if not others or 2 * (n_out + 1) > len(others) + 1:
        return ""
    if _fails_more(health, others, options):
        return "failure_share"
    if _is_slower(health, others, options):
        return "latency"
    return ""


def eject(
    health: EndpointHealth, reason: str, now_s: float, options: RoutingOptions
) -> None:
    """Take an endpoint out; each time in a row twice as long."""
    if now_s - health.since_s > FORGIVEN_AFTER_S:
        health.n_ejections = 0
    factor = 2 ** min(health.n_ejections, 16)
    out_s = min(options.ejection_most_s, options.ejection_s * factor)
    health.n_ejections += 1
    _enter(health, EJECTED, now_s, until_s=now_s + out_s)
    health.reason = reason


def pause(health: EndpointHealth, now_s: float, options: RoutingOptions) -> None:
    """Take an endpoint out that a request brought down, without blame."""
    _enter(health, EJECTED, now_s, until_s=now_s + options.ejection_s)
    health.reason = BROUGHT_DOWN


def advance(health: EndpointHealth, now_s: float, options: RoutingOptions) -> bool:
    """Let time change the state; return whether it did."""
    if health.state == EJECTED and now_s >= health.until_s:
        _enter(health, PROBING, now_s, until_s=now_s)
        return True
    if health.state == RAMPING and now_s >= health.until_s:
        _enter(health, UP, now_s, until_s=0.0)
        return True
    if health.state == PROBING and health.is_probed and now_s >= health.until_s:
        health.is_probed = False
        return True
    return False


def begin_probe(health: EndpointHealth, now_s: float) -> None:
    """Note that the one request of a probe is on its way."""
    health.is_probed = True
    health.until_s = now_s + PROBE_TIMEOUT_S


def end_probe(
    health: EndpointHealth,
    result: AttemptResult,
    now_s: float,
    options: RoutingOptions,
) -> None:
    """Take the result of a probe: back with a small share, or out again."""
    health.is_probed = False
    health.until_s = now_s
    if result.ok and not result.kind:
        _reset_counts(health)
        _enter(health, RAMPING, now_s, until_s=now_s + options.ramp_s)
    elif counts_as_failure(result):
        eject(health, "probe_failed", now_s, options)


def ramp_share(health: EndpointHealth, now_s: float, options: RoutingOptions) -> float:
    """Return the share of its usual work that an endpoint gets now."""
    if health.state != RAMPING or options.ramp_s <= 0:
        return 1.0
    share = 1.0 - (health.until_s - now_s) / options.ramp_s
    return min(1.0, max(RAMP_SHARE_LEAST, share))


def _enter(health: EndpointHealth, state: str, now_s: float, *, until_s: float) -> None:
    health.state = state
    health.since_s = now_s
    health.until_s = until_s
    health.is_probed = False


def _reset_counts(health: EndpointHealth) -> None:
    health.n_consecutive = 0
    health.failure_share = 0.0
    health.n_results = 0
    health.latency_s = 0.0
    health.pace_s = 0.0
    health.n_latencies = 0


def _fails_more(
    health: EndpointHealth, others: list[EndpointHealth], options: RoutingOptions
) -> bool:
    if health.n_results < N_SAMPLES_LEAST:
        return False
    usual = statistics.median(other.failure_share for other in others)
    limit = max(FAILURE_SHARE_LEAST, options.outlier_factor * usual)
    return health.failure_share > limit


def _is_slower(
    health: EndpointHealth, others: list[EndpointHealth], options: RoutingOptions
) -> bool:
    if health.n_latencies < N_SAMPLES_LEAST:
        return False
    known = [other for other in others if other.n_latencies >= N_SAMPLES_LEAST]
    if 2 * len(known) < len(others):
        return False
    factor = options.outlier_factor
    first_s = statistics.median(other.latency_s for other in known)
    if health.latency_s > max(LATENCY_LEAST_S, factor * first_s):
        return True
    pace_s = statistics.median(other.pace_s for other in known)
    return health.pace_s > max(PACE_LEAST_S, factor * pace_s)
