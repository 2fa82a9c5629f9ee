"""Policies that choose among the available endpoints.

Each policy is a function that takes a non-empty list of endpoints and the
context of the decision and returns a :class:`Choice`. ``affinity_load`` is the
default; the others are baselines for comparison.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import attrs

from lagoonring.routing.options import RoutingOptions
from lagoonring.routing.prefixes import MASK_64, MIX_1, MIX_2
from lagoonring.routing.state import EndpointState

Policy = Callable[[Sequence[EndpointState], "Context"], "Choice"]

SECOND_HOME_TRUST = 0.25
SAMPLE_SIZE = 2


@attrs.define(kw_only=True, eq=False)
class Context:
    """Inputs of a decision besides the endpoints.

    ``key`` is the rendezvous key of the request, 0 without affinity. ``depths``
    is the number of leading blocks known to be cached, by endpoint bit.
    """

    key: int
    n_blocks: int
    depths: dict[int, int]
    target_s: float
    options: RoutingOptions
    rng: random.Random
    counter: int = 0


@attrs.define(eq=False)
class Choice:
    """The chosen endpoint, the reason for it and its cost in seconds."""

    state: EndpointState
    reason: str
    n_cached: int
    cost_s: float


def affinity_load(candidates: Sequence[EndpointState], context: Context) -> Choice:
    """Choose the endpoint with the lowest cost of queueing and uncached prefill.

    This cost is the expected time to the first token, so an endpoint that would
    miss the service class's target loses to any that would meet it.
    """
    if not context.key:
        return _least_cost_of_sample(candidates, context)
    first, second = _find_homes(candidates, context)
    n_assumed_cached = context.options.home_trust * context.n_blocks
    return _least_cost(candidates, context, first, second, n_assumed_cached)


def affinity_only(candidates: Sequence[EndpointState], context: Context) -> Choice:
    """Choose the endpoint of greatest rendezvous weight regardless of its load."""
    key = context.key or context.rng.getrandbits(64)
    best = max(candidates, key=lambda state: _weight(key, state.name_hash))
    depth = context.depths.get(best.bit, 0)
    return Choice(best, "affinity_only", depth, best.cost_s)


def least_outstanding(candidates: Sequence[EndpointState], context: Context) -> Choice:
    """Choose the endpoint with the lowest load per slot."""
    n_candidates = len(candidates)
    start = context.rng.randrange(n_candidates)
    best = candidates[start]
    for index in range(start + 1, start + n_candidates):
        state = candidates[index % n_candidates]
        if state.load * best.n_slots < best.load * state.n_slots:
            best = state
    depth = context.depths.get(best.bit, 0)
    return Choice(best, "least_outstanding", depth, best.cost_s)


def round_robin(candidates: Sequence[EndpointState], context: Context) -> Choice:
    """Choose the endpoints in turn."""
    best = candidates[context.counter % len(candidates)]
    depth = context.depths.get(best.bit, 0)
    return Choice(best, "round_robin", depth, best.cost_s)


def get_policy(name: str) -> Policy:
    """Return the policy of that name."""
    return POLICIES[name]


POLICIES: dict[str, Policy] = {
    "affinity_load": affinity_load,
    "affinity_only": affinity_only,
    "least_outstanding": least_outstanding,
    "round_robin": round_robin,
}


def _find_homes(
    candidates: Sequence[EndpointState], context: Context
) -> tuple[EndpointState | None, EndpointState | None]:
    """Return the two endpoints of greatest weight that are not overloaded.

    An endpoint is overloaded if its load exceeds the bound and it has no free
    slot.
    """
    total_load = 0.0
    for state in candidates:
        total_load += state.load
    max_load = context.options.load_bound * total_load / len(candidates) + 1.0
    key = context.key
    first = second = None
    first_weight = second_weight = -1
    for state in candidates:
        if state.load > max_load and state.load >= state.n_slots:
            continue
        # Same as rendezvous_weight(), inlined for speed.
        mixed = ((key ^ state.name_hash) * MIX_1) & MASK_64
        weight = ((mixed ^ (mixed >> 32)) * MIX_2) & MASK_64
        if weight > first_weight:
            second, second_weight = first, first_weight
            first, first_weight = state, weight
        elif weight > second_weight:
            second, second_weight = state, weight
    return first, second


def _least_cost(
    candidates: Sequence[EndpointState],
    context: Context,
    first: EndpointState | None,
    second: EndpointState | None,
    n_assumed_cached: float,
) -> Choice:
    depths = context.depths
    n_blocks = context.n_blocks
    best = candidates[0]
    best_cost = float("inf")
    for state in candidates:
        cached: float = depths.get(state.bit, 0) if depths else 0
        if state is first:
            cached = max(cached, n_assumed_cached)
        elif state is second:
            cached = max(cached, SECOND_HOME_TRUST * n_assumed_cached)
        cost = state.base_s + state.cost_s + state.prefill_s * (n_blocks - cached)
        if cost < best_cost:
            best = state
            best_cost = cost
    depth = depths.get(best.bit, 0)
    if best is first:
        return Choice(best, "home", depth, best_cost)
    return Choice(best, "cached" if depth else "load", depth, best_cost)


def _least_cost_of_sample(
    candidates: Sequence[EndpointState], context: Context
) -> Choice:
    """Choose the cheaper of two random endpoints.

    If the request would have to wait at that one, choose the cheapest of all.
    Sampling keeps instances that share the same outdated load reports from all
    choosing the same endpoint at once.
    """
    n_sampled = min(SAMPLE_SIZE, len(candidates))
    best = min(context.rng.sample(candidates, n_sampled), key=_cost)
    if best.wait_s > 0:
        best = min(candidates, key=_cost)
    return Choice(best, "load", 0, best.cost_s)


def _cost(state: EndpointState) -> float:
    return state.cost_s + state.base_s


def _weight(key: int, name_hash: int) -> int:
    mixed = ((key ^ name_hash) * MIX_1) & MASK_64
    return ((mixed ^ (mixed >> 32)) * MIX_2) & MASK_64
