"""Updates an endpoint's estimates and health from the result of an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.routing import health as health_rules
from lagoonring.routing.messages import AttemptResult, Route, RouteRequest
from lagoonring.routing.state import EndpointState, refresh

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonring.routing.options import RoutingOptions

WORK_BASE_BLOCKS = 8


def update_estimates(
    state: EndpointState,
    route: Route | str,
    request: RouteRequest,
    result: AttemptResult,
    now_s: float,
) -> float:
    """Update an endpoint's speeds from a complete answer.

    Returns
    -------
    float
        Seconds by which the first token came later than the endpoint's speeds
        predict without queueing; at least 0.
    """
    first_token_s = result.first_token_s or 0.0
    expected_s = route.expected_wait_s if isinstance(route, Route) else 0.0
    n_cached = route.n_cached_blocks if isinstance(route, Route) else 0
    n_uncached = max(0, len(request.prefix_blocks) - n_cached)
    response_s = max(0.0, first_token_s - expected_s)
    unqueued_s = state.base_s + state.prefill_s * n_uncached
    state.speeds.sampled_s = now_s
    if _is_cache_known(route, request):
        state.speeds.record_first_token(n_uncached, response_s)
    between_s = result.between_tokens_s or 0.0
    service_s = response_s + between_s * result.n_tokens
    state.speeds.record_service(service_s, result.between_tokens_s)
    health_rules.record_latency(
        state.health,
        response_s / (WORK_BASE_BLOCKS + n_uncached),
        result.between_tokens_s,
    )
    refresh(state)
    return max(0.0, first_token_s - unqueued_s)


def update_health(
    state: EndpointState,
    result: AttemptResult,
    find_peers: Callable[[EndpointState], Iterable[EndpointState]],
    now_s: float,
    options: RoutingOptions,
) -> bool:
    """Apply a result to an endpoint's health; return whether its state changed.

    ``find_peers`` returns the other endpoints of the same entry and version.
    """
    health = state.health
    if health.state == health_rules.PROBING and health.is_probe_in_flight:
        health_rules.end_probe(health, result, now_s, options)
        return True
    health_rules.record_result(health, result)
    if health.state not in (health_rules.UP, health_rules.RAMPING):
        return False
    if result.cause and result.kind == "cut":
        health_rules.eject_without_penalty(health, now_s, options)
        return True
    if result.ok and health.n_results % health_rules.MIN_SAMPLES:
        return False
    reason = health_rules.find_ejection_reason(
        health,
        [other.health for other in find_peers(state)],
        is_reported_failing=state.is_reported_failing,
        options=options,
    )
    if reason:
        health_rules.eject(health, reason, now_s, options)
    return bool(reason)


def _is_cache_known(route: Route | str, request: RouteRequest) -> bool:
    """Return whether the known cached blocks are likely to be all cached ones.

    A conversation's home may have cached more of it than this instance knows,
    unless at least half of the prompt is known to be cached there.
    """
    if not isinstance(route, Route) or route.reason != "home":
        return True
    return 2 * route.n_cached_blocks >= len(request.prefix_blocks)
