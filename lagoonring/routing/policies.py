"""Policies that choose among the available endpoints, as plain functions.

Each takes a non-empty list of endpoints and the context of the decision and
returns a :class:`Choice`. ``affinity_load`` is the one in use; the others are
baselines.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import attrs

from lagoonring.routing.options import RoutingOptions
from lagoonring.routing.prefixes import MASK_64, MIX_1, MIX_2
from lagoonring.routing.state import EndpointState

Policy = Callable[[Sequence[EndpointState], "Context"], "Choice"]

SECOND_HOME_SHARE = 0.25
N_SAMPLED = 2


@attrs.define(kw_only=True, eq=False)
class Context:
    """What a decision depends on besides the endpoints.

    ``key`` places the request, 0 without affinity; ``depths`` are the leading
    blocks known to be cached by endpoint bit.
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
    """An endpoint, why, and its cost in seconds."""

    state: EndpointState
    reason: str
    n_cached: int
    cost_s: float


def affinity_load(candidates: Sequence[EndpointState], context: Context) -> Choice:
    """Take the least sum of waiting and prefill of what is not cached.

    That sum is the expected time to the first token, so a choice that would
    miss the class's target loses to any that would not.
    """
    if not context.key:
        return _least_of_sampled(candidates, context)
    first, second = _find_homes(candidates, context)
    trusted = context.options.home_trust * context.n_blocks
    return _least_cost(candidates, context, first, second, trusted)


def affinity_only(candidates: Sequence[EndpointState], context: Context) -> Choice:
    """Take the rendezvous home whatever its load."""
    key = context.key or context.rng.getrandbits(64)
    best = max(candidates, key=lambda state: _weight(key, state.name_hash))
    depth = context.depths.get(best.bit, 0)
    return Choice(best, "affinity_only", depth, best.cost_s)


def least_outstanding(candidates: Sequence[EndpointState], context: Context) -> Choice:
    """Take the endpoint with the least load for its slots."""
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
    """Take one endpoint after the other."""
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
    """Return the two endpoints of greatest weight that are not overloaded."""
    total = 0.0
    for state in candidates:
        total += state.load
    bound = context.options.load_bound * total / len(candidates) + 1.0
    key = context.key
    first = second = None
    first_weight = second_weight = -1
    for state in candidates:
        if state.load > bound and state.load >= state.n_slots:
            continue
        # Same as rendezvous_weight, written out for speed.
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
    trusted: float,
) -> Choice:
    depths = context.depths
    n_blocks = context.n_blocks
    best = candidates[0]
    best_cost = float("inf")
    for state in candidates:
        cached: float = depths.get(state.bit, 0) if depths else 0
        if state is first:
            cached = max(cached, trusted)
        elif state is second:
            cached = max(cached, SECOND_HOME_SHARE * trusted)
        cost = state.base_s + state.cost_s + state.prefill_s * (n_blocks - cached)
        if cost < best_cost:
            best = state
            best_cost = cost
    depth = depths.get(best.bit, 0)
    if best is first:
        return Choice(best, "home", depth, best_cost)
    return Choice(best, "cached" if depth else "load", depth, best_cost)


def _least_of_sampled(candidates: Sequence[EndpointState], context: Context) -> Choice:
    """Take the cheaper of two at random, or of all if both make it wait.

    Two at random keep instances with the same late reports from choosing the
    same endpoint all at once.
    """
    n_sampled = min(N_SAMPLED, len(candidates))
    best = min(context.rng.sample(candidates, n_sampled), key=_cost)
    if best.wait_s > 0:
        best = min(candidates, key=_cost)
    return Choice(best, "load", 0, best.cost_s)


def _cost(state: EndpointState) -> float:
    return state.cost_s + state.base_s


def _weight(key: int, name_hash: int) -> int:
    mixed = ((key ^ name_hash) * MIX_1) & MASK_64
    return ((mixed ^ (mixed >> 32)) * MIX_2) & MASK_64
