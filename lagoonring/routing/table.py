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

LEAVING_MOST = 4096
MODEL = "model"


@attrs.define(eq=False)
class Group:
    """Endpoints that run a version of an entry and take work.

    ``probing`` wait for the one request that tests them, ``ramping`` are also
    in ``local`` or ``remote``, ``others`` are out but not leaving.
    """

    local: list[EndpointState] = attrs.field(factory=list)
    remote: list[EndpointState] = attrs.field(factory=list)
    probing: list[EndpointState] = attrs.field(factory=list)
    ramping: list[EndpointState] = attrs.field(factory=list)
    others: list[EndpointState] = attrs.field(factory=list)


class EndpointTable:
    """Endpoint states by name, and groups that are made when needed.

    Parameters
    ----------
    data_centre : str
        Where this instance is.
    options : RoutingOptions
        Options of routing.
    index : PrefixIndex
        Gives the endpoints their bits.
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
        """Make the states match the catalogue, keeping what was learned."""
        states = {}
        by_entry: dict[str, list[EndpointState]] = {}
        for name, endpoint in content.endpoints.items():
            state = self.states.get(name)
            if state is None or not _is_same(state, endpoint):
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
        self.mark_leaving()

    def is_model(self, entry: str) -> bool:
        """Return whether an entry's endpoints are model engines."""
        return entry in self.model_entries

    def note_leaving(self, name: str, leaving: LeavingEndpoint) -> None:
        """Leave an incarnation of an endpoint out from now on."""
        self.leaving.pop(name, None)
        self.leaving[name] = leaving
        if len(self.leaving) > LEAVING_MOST:
            del self.leaving[next(iter(self.leaving))]
        self.mark_leaving()

    def mark_leaving(self) -> None:
        """Compare the leaving incarnations with the catalogue's."""
        for state in self.states.values():
            leaving = self.leaving.get(state.name)
            state.is_leaving = (
                leaving is not None
                and leaving.instance == state.instance
                and leaving.url == state.url
            )
        self.regroup()

    def regroup(self) -> None:
        """Have the groups made again at their next use."""
        self.groups.clear()
        self.next_change_s = 0.0

    def group(self, entry: str, version: str, now_s: float) -> Group:
        """Return the endpoints that take work of a version."""
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
            self.regroup()
        self._find_next_change()

    def _find_next_change(self) -> None:
        self.next_change_s = min(
            (
                state.health.until_s
                for state in self.states.values()
                if _waits_for_time(state.health)
            ),
            default=float("inf"),
        )


def _waits_for_time(health: health_rules.EndpointHealth) -> bool:
    if health.state == health_rules.PROBING:
        return health.is_probe_in_flight
    return health.state in (health_rules.EJECTED, health_rules.RAMPING)


def _is_same(state: EndpointState, endpoint: Endpoint) -> bool:
    """Return whether the catalogue still means the same incarnation."""
    return (
        state.entry == endpoint.entry
        and state.url == endpoint.url
        and state.instance == endpoint.instance
        and state.data_centre == endpoint.data_centre
    )
