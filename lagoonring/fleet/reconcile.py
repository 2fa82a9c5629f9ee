"""Computes the steps that make cloud, catalogue and intents agree.

Each step is safe to repeat: starts carry the token of their intent, and stops and
catalogue edits are idempotent.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

from lagoonring.catalogue.entries import Endpoint
from lagoonring.fleet.messages import Intent, IntentState, is_own_token
from lagoonring.platform.cloud import CloudInstance

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.fleet.planner import Offer, Plan

GONE_STATES = ("gone",)


@attrs.frozen(kw_only=True)
class View:
    """State of a data centre's fleet as the lease holder reads it.

    Attributes
    ----------
    now_s : float
        Epoch seconds.
    intents : dict
        All intents by token, closed ones included.
    instances : dict
        Instances of the cloud by token, listed after the intents were read.
    endpoints : dict
        Endpoints of the catalogue by name.
    idle : frozenset of str
        Draining endpoints that have no request in progress and get no new ones.
    """

    now_s: float
    data_centre: str
    intents: dict[str, Intent]
    instances: dict[str, CloudInstance]
    endpoints: dict[str, Endpoint]
    idle: frozenset[str] = frozenset()


@attrs.define(kw_only=True)
class Steps:
    """Steps to take next.

    ``changed`` holds intents, which are appended before anything else is done.
    ``starts`` and ``stops`` go to the cloud, ``added`` and ``removed`` to the
    catalogue. ``leaving`` holds endpoints that get no new requests.
    """

    changed: list[Intent] = attrs.field(factory=list)
    starts: list[Intent] = attrs.field(factory=list)
    stops: list[str] = attrs.field(factory=list)
    added: dict[str, Endpoint] = attrs.field(factory=dict)
    removed: list[str] = attrs.field(factory=list)
    leaving: list[str] = attrs.field(factory=list)


def reconcile(
    view: View, *, drain_s: float, versions: dict[str, str], n_slots: dict[str, int]
) -> Steps:
    """Return the steps that bring the fleet closer to its intents.

    Parameters
    ----------
    view : View
        Current state.
    drain_s : float
        Maximum time, in seconds, for which a stop waits for an idle endpoint.
    versions, n_slots : dict
        Version in force by entry, and slots per instance by class.
    """
    steps = Steps()
    for intent in view.intents.values():
        instance = view.instances.get(intent.token)
        if intent.state == "closed":
            _stop_if_running(instance, steps)
        elif instance is None:
            _reconcile_unlisted(intent, view, steps)
        elif instance.state in GONE_STATES:
            steps.changed.append(_with_state(intent, "closed", view.now_s, "gone"))
            _remove_endpoint(instance, view, steps)
        elif intent.state == "wanted":
            _reconcile_wanted(intent, instance, view, steps, versions, n_slots)
        else:
            _reconcile_ending(intent, instance, view, steps, drain_s)
    _adopt_unknown(view, steps)
    _remove_orphans(view, steps)
    return steps


def find_plan_changes(
    view: View,
    plan: Plan,
    *,
    make_token: Callable[[], str],
    may_stop: bool,
) -> list[Intent]:
    """Return intents to add or to drain so that the plan's counts are met.

    Only offers of the view's data centre are considered. ``may_stop`` states that
    the planned instances run, so that any others can be stopped.
    """
    wanted = {
        _market_of(offer): count
        for offer, count in plan.counts.items()
        if offer.data_centre == view.data_centre
    }
    current: dict[tuple[str, str], list[Intent]] = defaultdict(list)
    for intent in view.intents.values():
        if intent.state == "wanted" and not _is_leaving(intent, view):
            current[intent.goal, intent.market].append(intent)
    changes: list[Intent] = []
    offers = {_market_of(offer): offer for offer in plan.counts}
    for key, count in wanted.items():
        n_more = count - len(current[key])
        changes += [_new_intent(offers[key], view, make_token) for _ in range(n_more)]
    if not changes and may_stop:
        for key, intents in current.items():
            n_less = len(intents) - wanted.get(key, 0)
            oldest_first = sorted(intents, key=lambda item: (item.since_s, item.token))
            changes += [
                _with_state(item, "draining", view.now_s, "not needed")
                for item in oldest_first[len(oldest_first) - max(0, n_less) :]
            ]
    return changes


def count_running(view: View) -> Counter[tuple[str, str]]:
    """Return the number of running, wanted instances by goal and market."""
    counts: Counter[tuple[str, str]] = Counter()
    for intent in view.intents.values():
        instance = view.instances.get(intent.token)
        if intent.state == "wanted" and instance and instance.state == "running":
            counts[intent.goal, intent.market] += 1
    return counts


def _market_of(offer: Offer) -> tuple[str, str]:
    return offer.goal, offer.market


def _new_intent(offer: Offer, view: View, make_token: Callable[[], str]) -> Intent:
    return Intent(
        token=make_token(),
        goal=offer.goal,
        entry=offer.entry,
        data_centre=offer.data_centre,
        instance_class=offer.instance_class,
        market=offer.market,
        since_s=view.now_s,
        reason="planned",
    )


def _is_leaving(intent: Intent, view: View) -> bool:
    instance = view.instances.get(intent.token)
    return instance is not None and instance.state in ("leaving", "gone")


def _with_state(
    intent: Intent, state: IntentState, now_s: float, reason: str
) -> Intent:
    return attrs.evolve(intent, state=state, since_s=now_s, reason=reason)


def _reconcile_unlisted(intent: Intent, view: View, steps: Steps) -> None:
    """Start or close an intent whose instance the cloud doesn't list."""
    if intent.state == "wanted" and not intent.instance:
        steps.starts.append(intent)
        return
    # The instance has gone from the list, or the intent ended before its start.
    steps.changed.append(_with_state(intent, "closed", view.now_s, "not listed"))
    if intent.instance in view.endpoints:
        steps.removed.append(intent.instance)


def _reconcile_wanted(
    intent: Intent,
    instance: CloudInstance,
    view: View,
    steps: Steps,
    versions: dict[str, str],
    n_slots: dict[str, int],
) -> None:
    if intent.instance != instance.instance:
        steps.changed.append(attrs.evolve(intent, instance=instance.instance))
    if instance.state != "running" or not instance.url:
        return
    if instance.instance in view.endpoints or intent.entry not in versions:
        return
    steps.added[instance.instance] = Endpoint(
        entry=intent.entry,
        data_centre=intent.data_centre,
        url=instance.url,
        version=versions[intent.entry],
        n_slots=n_slots.get(intent.instance_class, 8),
        instance=instance.instance,
    )


def _reconcile_ending(
    intent: Intent, instance: CloudInstance, view: View, steps: Steps, drain_s: float
) -> None:
    name = instance.instance
    if intent.state == "stopping":
        _remove_endpoint(instance, view, steps)
        steps.stops.append(name)
        return
    steps.leaving.append(name)
    is_late = view.now_s - intent.since_s > drain_s
    if name not in view.endpoints or name in view.idle or is_late:
        reason = "drained" if not is_late else "drained for the longest time"
        steps.changed.append(_with_state(intent, "stopping", view.now_s, reason))


def _stop_if_running(instance: CloudInstance | None, steps: Steps) -> None:
    """Stop an instance whose start arrived after its intent was closed."""
    if instance is not None and instance.state not in GONE_STATES:
        steps.stops.append(instance.instance)


def _adopt_unknown(view: View, steps: Steps) -> None:
    """Record intents for own instances whose intent is missing from the log."""
    for token, instance in view.instances.items():
        is_own = is_own_token(token, view.data_centre)
        if not is_own or token in view.intents or instance.state in GONE_STATES:
            continue
        endpoint = view.endpoints.get(instance.instance)
        steps.changed.append(
            Intent(
                token=token,
                goal="",
                entry=endpoint.entry if endpoint else "",
                data_centre=instance.data_centre,
                instance_class=instance.instance_class,
                market=instance.market,
                since_s=view.now_s,
                instance=instance.instance,
                reason="adopted",
            )
        )


def _remove_endpoint(instance: CloudInstance, view: View, steps: Steps) -> None:
    if instance.instance in view.endpoints:
        steps.removed.append(instance.instance)


def _remove_orphans(view: View, steps: Steps) -> None:
    """Remove endpoints of closed intents, whose instances have ended."""
    for intent in view.intents.values():
        if intent.state != "closed" or intent.instance not in view.endpoints:
            continue
        if intent.instance not in steps.removed:
            steps.removed.append(intent.instance)
