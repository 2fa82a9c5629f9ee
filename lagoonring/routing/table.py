"""The endpoints of the catalogue, grouped for decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.routing import health as health_rules
from lagoonring.routing.prefixes import hash_name
from lagoonring.routing.state import EndpointState, refresh

if TYPE_CHECKING:
    from lagoonring.catalogue import CatalogueContent, Endpoint
    from lagoonring.routing.messages import LeavingEndpoint
    from lagoonring.routing.options import RoutingOptions
    from lagoonring.routing.prefix_index import PrefixIndex

MAX_LEAVING = 4096
MODEL = "model"


@attrs.define(eq=False)
class Group:
    """Endpoints that run a version of an entry and are not leaving.

    ``local`` and ``remote`` are available in this and in other data centres;
    those of them that are returning are also in ``ramping``. ``others`` are
    ejected or probing; those awaiting a probe are also in ``probing``.
    """

    local: list[EndpointState] = attrs.field(factory=list)
    remote: list[EndpointState] = attrs.field(factory=list)
    probing: list[EndpointState] = attrs.field(factory=list)
    ramping: list[EndpointState] = attrs.field(factory=list)
    others: list[EndpointState] = attrs.field(factory=list)


class EndpointTable:
    """Endpoint states by name, and groups that are built on demand.

    Parameters
    ----------
    data_centre : str
        Data centre of this instance.
    options : RoutingOptions
        Options of routing.
    index : PrefixIndex
        Assigns the endpoints' bits.
    """

    def __init__(
        self, data_centre: str, options: RoutingOptions, index: PrefixIndex
    ) -> None:
        self.data_centre = data_centre
        self.options = options
        self.index = index
        self.states: dict[str, EndpointState] = {}
        self.by_entry: dict[str, list[EndpointState]] = {}
        self.leaving: dict[str, LeavingEndpoint] = {}
        self.model_entries: frozenset[str] = frozenset()
        self.groups: dict[tuple[str, str], Group] = {}
        self.next_change_s = float("inf")

    def apply_catalogue(self, content: CatalogueContent) -> None:
        """Update the states to match the catalogue.

        Endpoints that are unchanged keep their estimates and health.
        """
        states = {}
        by_entry: dict[str, list[EndpointState]] = {}
        for name, endpoint in content.endpoints.items():
            state = self.states.get(name)
            if state is None or not _is_same_incarnation(state, endpoint):
                state = self._make_state(name, endpoint)
            elif state.version != endpoint.version:
                state.version = endpoint.version
                state.versions = None
            states[name] = state
            by_entry.setdefault(endpoint.entry, []).append(state)
        for name in self.states.keys() - states.keys():
            self.index.remove(name)
            if not self.states[name].instance:
                self.leaving.pop(name, None)
        self.states = states
        self.by_entry = by_entry
        self.model_entries = frozenset(
            name for name, entry in content.entries.items() if entry.kind == MODEL
        )
        self.update_leaving()

    def is_model(self, entry: str) -> bool:
        """Return whether an entry's endpoints are model engines."""
        return entry in self.model_entries

    def record_leaving(self, name: str, leaving: LeavingEndpoint) -> None:
        """Record that an incarnation of an endpoint takes no new requests.

        It need not be in the catalogue yet.
        """
        self.leaving.pop(name, None)
        self.leaving[name] = leaving
        if len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]
        self.update_leaving()

    def update_leaving(self) -> None:
        """Set ``is_leaving`` for the endpoints whose incarnation is leaving."""
        for state in self.states.values():
            leaving = self.leaving.get(state.name)
            state.is_leaving = (
                leaving is not None
                and leaving.instance == state.instance
                and leaving.url == state.url
            )
        self.invalidate_groups()

    def invalidate_groups(self) -> None:
        """Discard all groups, so that they are rebuilt when next needed."""
        self.groups.clear()
        self.next_change_s = 0.0

    def group(self, entry: str, version: str, now_s: float) -> Group:
        """Return the group of an entry's version, with due changes applied."""
        if now_s >= self.next_change_s:
            self._advance(now_s)
        group = self.groups.get((entry, version))
        if group is None:
            group = self._make_group(entry, version)
            self.groups[entry, version] = group
            self._find_next_change()
        return group

    def peers_of(self, state: EndpointState) -> list[EndpointState]:
        """Return the other endpoints of the same entry and version."""
        return [
            other
            for other in self.by_entry.get(state.entry, ())
            if other is not state
            and other.version == state.version
            and not other.is_leaving
        ]

    def _make_state(self, name: str, endpoint: Endpoint) -> EndpointState:
        is_local = endpoint.data_centre == self.data_centre
        state = EndpointState(
            name=name,
            entry=endpoint.entry,
            url=endpoint.url,
            data_centre=endpoint.data_centre,
            instance=endpoint.instance,
            version=endpoint.version,
            n_slots=endpoint.n_slots,
            name_hash=hash_name(name),
            is_local=is_local,
            crossing_s=0.0 if is_local else self.options.crossing_s,
        )
        state.bit = self.index.forget(name)
        refresh(state)
        return state

    def _make_group(self, entry: str, version: str) -> Group:
        group = Group()
        for state in self.by_entry.get(entry, ()):
            if state.is_leaving or not state.runs(version):
                continue
            health = state.health.state
            if health == health_rules.EJECTED:
                group.others.append(state)
                continue
            if health == health_rules.PROBING:
                group.others.append(state)
                group.probing.append(state)
                continue
            if health == health_rules.RAMPING:
                group.ramping.append(state)
            (group.local if state.is_local else group.remote).append(state)
        return group

    def _advance(self, now_s: float) -> None:
        changed = False
        for state in self.states.values():
            changed |= health_rules.advance(state.health, now_s, self.options)
        if changed:
            self.invalidate_groups()
        self._find_next_change()

    def _find_next_change(self) -> None:
        self.next_change_s = min(
            (
                state.health.until_s
                for state in self.states.values()
                if _has_timed_transition(state.health)
            ),
            default=float("inf"),
        )


def _has_timed_transition(health: health_rules.EndpointHealth) -> bool:
    if health.state == health_rules.PROBING:
        return health.is_probe_in_flight
    return health.state in (health_rules.EJECTED, health_rules.RAMPING)


def _is_same_incarnation(state: EndpointState, endpoint: Endpoint) -> bool:
    """Return whether the catalogue still lists the same incarnation."""
    return (
        state.entry == endpoint.entry
        and state.url == endpoint.url
        and state.instance == endpoint.instance
        and state.data_centre == endpoint.data_centre
    )
