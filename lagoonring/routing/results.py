"""What the result of an attempt teaches about an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.routing import health as health_rules
from lagoonring.routing.messages import AttemptResult, Route, RouteRequest
from lagoonring.routing.state import EndpointState, refresh

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonring.routing.options import RoutingOptions

WORK_BASE_BLOCKS = 8


def learn(
    state: EndpointState,
    route: Route | str,
    request: RouteRequest,
    result: AttemptResult,
    now_s: float,
) -> float:
    """Learn an endpoint's speeds from a whole answer.

    Returns
    -------
    float
        The seconds that the request waited beyond what it needed.
    """
    first_token_s = result.first_token_s or 0.0
    expected_s = route.expected_wait_s if isinstance(route, Route) else 0.0
    n_cached = route.n_cached_blocks if isinstance(route, Route) else 0
    n_uncached = max(0, len(request.prefix_blocks) - n_cached)
    served_s = max(0.0, first_token_s - expected_s)
    needed_s = state.base_s + state.prefill_s * n_uncached
    state.speeds.sampled_s = now_s
    if _is_cache_known(route, request):
        state.speeds.note_first_token(n_uncached, served_s)
    between_s = result.between_tokens_s or 0.0
    service_s = served_s + between_s * result.n_tokens
    state.speeds.note_service(service_s, result.between_tokens_s)
    health_rules.record_latency(
        state.health,
        served_s / (WORK_BASE_BLOCKS + n_uncached),
        result.between_tokens_s,
    )
    refresh(state)
    return max(0.0, first_token_s - needed_s)


def judge(
    state: EndpointState,
    result: AttemptResult,
    find_others: Callable[[EndpointState], Iterable[EndpointState]],
    now_s: float,
    options: RoutingOptions,
) -> bool:
    """Let a result count for an endpoint's health; return whether it changed it.

    ``find_others`` returns the other endpoints of the same entry and version.
    """
    health = state.health
    if health.state == health_rules.PROBING and health.is_probed:
        health_rules.end_probe(health, result, now_s, options)
        return True
    health_rules.note_result(health, result)
    if health.state not in (health_rules.UP, health_rules.RAMPING):
        return False
    if result.cause and result.kind == "cut":
        health_rules.pause(health, now_s, options)
        return True
    if result.ok and health.n_results % health_rules.N_SAMPLES_LEAST:
        return False
    fault = health_rules.find_fault(
        health,
        [other.health for other in find_others(state)],
        is_hinted=state.is_hinted,
        options=options,
    )
    if fault:
        health_rules.eject(health, fault, now_s, options)
    return bool(fault)


def _is_cache_known(route: Route | str, request: RouteRequest) -> bool:
    """Return whether the blocks known to be cached are likely to be all.

    A conversation's home may hold more of it than this instance knows, unless
    it knows most of the prompt to be there.
    """
    if not isinstance(route, Route) or route.reason != "home":
        return True
    return 2 * route.n_cached_blocks >= len(request.prefix_blocks)
