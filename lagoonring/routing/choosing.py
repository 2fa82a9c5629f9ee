"""Chooses among the endpoints of a group: here, elsewhere, or ejected ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.routing import health as health_rules
from lagoonring.routing.policies import Choice, Context, Policy, affinity_load

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lagoonring.routing.state import EndpointState
    from lagoonring.routing.table import Group


def choose_in(
    group: Group,
    policy: Policy,
    context: Context,
    exclude: frozenset[str],
    now_s: float,
) -> Choice | None:
    """Return the best endpoint of a group, None if there is none.

    Stays in the data centre until its queue costs more than the crossing.
    """
    local = _filtered(group.local, group, context, exclude, now_s)
    best = policy(local, context) if local else None
    if best is not None and not _is_crossing_worth(best, policy, context):
        return best
    remote = _remote_sample(group, context, exclude, now_s)
    if remote:
        other = policy(remote, context)
        if best is None or other.cost_s < best.cost_s:
            other.reason = "crossing"
            return other
    if best is not None:
        return best
    return _choose_ejected(group, policy, context, exclude)


def take_probe(
    group: Group, exclude: frozenset[str], now_s: float
) -> EndpointState | None:
    """Return an endpoint to be tested by one request, None if there is none."""
    for state in group.probing:
        if not state.health.is_probed and state.name not in exclude:
            health_rules.begin_probe(state.health, now_s)
            return state
    return None


def _is_crossing_worth(best: Choice, policy: Policy, context: Context) -> bool:
    if policy is not affinity_load:
        return False
    crossing_s = context.options.crossing_s
    return best.state.wait_s > crossing_s or best.cost_s > context.target_s


def _remote_sample(
    group: Group, context: Context, exclude: frozenset[str], now_s: float
) -> Sequence[EndpointState]:
    remote = group.remote
    n_most = context.options.n_remote_most
    if len(remote) > n_most:
        remote = context.rng.sample(remote, n_most)
    return _filtered(remote, group, context, exclude, now_s)


def _filtered(
    states: list[EndpointState],
    group: Group,
    context: Context,
    exclude: frozenset[str],
    now_s: float,
) -> list[EndpointState]:
    """Leave out what is excluded and, by chance, what is just returning."""
    if exclude:
        states = [state for state in states if state.name not in exclude]
    if not group.ramping:
        return states
    draw = context.rng.random
    kept = [
        state
        for state in states
        if state.health.state != health_rules.RAMPING
        or draw() < health_rules.ramp_share(state.health, now_s, context.options)
    ]
    return kept or states


def _choose_ejected(
    group: Group, policy: Policy, context: Context, exclude: frozenset[str]
) -> Choice | None:
    """Use ejected endpoints rather than none at all."""
    others = [state for state in group.others if state.name not in exclude]
    local = [state for state in others if state.is_local]
    if not others:
        return None
    choice = policy(local or others, context)
    choice.reason = "all_ejected"
    return choice
