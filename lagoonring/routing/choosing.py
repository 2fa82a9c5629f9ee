"""Chooses an endpoint of a group: local first, then remote, then ejected ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.routing import health as health_rules
from lagoonring.routing.policies import Choice, Context, Policy, affinity_load

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lagoonring.routing.state import EndpointState
    from lagoonring.routing.table import Group


def choose_from_group(
    group: Group,
    policy: Policy,
    context: Context,
    exclude: frozenset[str],
    now_s: float,
) -> Choice | None:
    """Return the best endpoint of a group, or None if the group has none.

    Endpoints of other data centres are considered if there is no local one or,
    under the ``affinity_load`` policy, if the best local one has a queue that
    costs more than crossing to another data centre or is expected to miss the
    first-token target.
    """
    local = _eligible(group.local, group, context, exclude, now_s)
    best = policy(local, context) if local else None
    if best is not None and not _is_crossing_worthwhile(best, policy, context):
        return best
    remote = _sample_remote(group, context, exclude, now_s)
    if remote:
        remote_choice = policy(remote, context)
        if best is None or remote_choice.cost_s < best.cost_s:
            remote_choice.reason = "crossing"
            return remote_choice
    if best is not None:
        return best
    return _choose_ejected(group, policy, context, exclude)


def start_probe(
    group: Group, exclude: frozenset[str], now_s: float
) -> EndpointState | None:
    """Start a probe and return its endpoint, or None if none awaits a probe."""
    for state in group.probing:
        if not state.health.is_probe_in_flight and state.name not in exclude:
            health_rules.begin_probe(state.health, now_s)
            return state
    return None


def _is_crossing_worthwhile(best: Choice, policy: Policy, context: Context) -> bool:
    if policy is not affinity_load:
        return False
    crossing_s = context.options.crossing_s
    return best.state.wait_s > crossing_s or best.cost_s > context.target_s


def _sample_remote(
    group: Group, context: Context, exclude: frozenset[str], now_s: float
) -> Sequence[EndpointState]:
    remote = group.remote
    max_remote = context.options.n_remote_most
    if len(remote) > max_remote:
        remote = context.rng.sample(remote, max_remote)
    return _eligible(remote, group, context, exclude, now_s)


def _eligible(
    states: list[EndpointState],
    group: Group,
    context: Context,
    exclude: frozenset[str],
    now_s: float,
) -> list[EndpointState]:
    """Drop excluded endpoints and, at random, some of those that are ramping up.

    A ramping endpoint is admitted with the probability of its ramp share. If
    no endpoint is left, all that are not excluded are returned.
    """
    if exclude:
        states = [state for state in states if state.name not in exclude]
    if not group.ramping:
        return states
    draw_random = context.rng.random
    admitted = [
        state
        for state in states
        if state.health.state != health_rules.RAMPING
        or draw_random() < health_rules.ramp_share(state.health, now_s, context.options)
    ]
    return admitted or states


def _choose_ejected(
    group: Group, policy: Policy, context: Context, exclude: frozenset[str]
) -> Choice | None:
    """Return the best of the ejected endpoints, or None if there are none.

    Used when no healthy endpoint is available.
    """
    others = [state for state in group.others if state.name not in exclude]
    local = [state for state in others if state.is_local]
    if not others:
        return None
    choice = policy(local or others, context)
    choice.reason = "all_ejected"
    return choice
