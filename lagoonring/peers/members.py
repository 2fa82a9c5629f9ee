"""Failure detection for the members of this instance's data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.logs.logger import make_logger
from lagoonring.peers.kinds import KINDS_BY_NAME
from lagoonring.peers.messages import Member, MemberRecord, MemberState

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.peers.options import PeersOptions
    from lagoonring.peers.origins import Origin
    from lagoonring.peers.tables import Table

LEAVING_CODE = KINDS_BY_NAME["member_leaving"].code

logger = make_logger("peers")


class LocalMembers:
    """States of the members of one data centre, derived from their ticks.

    A member whose tick does not advance becomes suspect, then dead. While more than
    half of the other members are silent, a partition or a pause of this instance is
    as likely as their failure. Silent members are then marked unreachable until they
    answer again, leave the platform's list, or exceed ``unreachable_keep_s``.

    Parameters
    ----------
    table : Table
        Table of the data centre's rows; dead members are removed from it.
    fleet : Table
        Table with the rows by which members announce that they are leaving.
    """

    def __init__(
        self, table: Table, fleet: Table, clock: Clock, options: PeersOptions
    ) -> None:
        self.table = table
        self.fleet = fleet
        self.clock = clock
        self.options = options
        self.states: dict[str, MemberState] = {}
        self.listed: set[str] | None = None
        self.listed_s = 0.0
        self.majority_alive_since_s = clock.monotonic()
        self.was_majority_silent = False

    def update_list(self, instances: set[str]) -> None:
        """Record the platform's current list of instances."""
        self.listed = instances
        self.listed_s = self.clock.monotonic()

    def record_pause(self, gap_s: float) -> None:
        """Exclude a pause of this process from the silence of all members."""
        now_s = self.clock.monotonic()
        for origin in [*self.table.origins.values(), *self.fleet.origins.values()]:
            origin.advanced_s = min(origin.advanced_s + gap_s, now_s)
        self.majority_alive_since_s = min(self.majority_alive_since_s + gap_s, now_s)

    def state(self, instance: str) -> MemberState:
        """Return the state of a member; unknown members count as dead."""
        if instance not in self.table.origins:
            return MemberState.DEAD
        state = self.states.get(instance, MemberState.ALIVE)
        if state is MemberState.ALIVE and self.is_leaving(instance):
            return MemberState.LEAVING
        return state

    def is_leaving(self, instance: str) -> bool:
        """Return whether the member has announced that it is leaving."""
        origin = self.fleet.origins.get(instance)
        if origin is None:
            return False
        row = origin.rows.get((LEAVING_CODE, instance))
        return row is not None and row.value is not None

    def others(self) -> list[Origin]:
        """Return the origins of all members except this instance."""
        own = self.table.own
        return [origin for origin in self.table.origins.values() if origin is not own]

    def partners(self) -> list[MemberRecord]:
        """Return the members eligible as gossip partners."""
        states = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
        return [
            origin.record
            for origin in self.others()
            if self.state(origin.record.instance) in states
        ]

    def unreachable(self) -> list[MemberRecord]:
        """Return the members in the unreachable state."""
        return [
            origin.record
            for origin in self.others()
            if self.states.get(origin.record.instance) is MemberState.UNREACHABLE
        ]

    def list_members(self) -> list[Member]:
        """Return all members except this instance, with their states."""
        return [
            make_member(origin.record, self.state(origin.record.instance))
            for origin in self.others()
        ]

    def sweep(self) -> None:
        """Update all states; remove dead members and their rows."""
        now_s = self.clock.monotonic()
        is_majority_silent = self._is_majority_silent(now_s)
        if self.was_majority_silent and not is_majority_silent:
            self.majority_alive_since_s = now_s
        self.was_majority_silent = is_majority_silent
        for origin in self.others():
            state = self._classify(origin, now_s, is_majority_silent)
            self._set_state(origin, state)

    def _is_majority_silent(self, now_s: float) -> bool:
        remaining = [
            origin
            for origin in self.others()
            if not self.is_leaving(origin.record.instance)
        ]
        silent = [origin for origin in remaining if self._is_silent(origin, now_s)]
        return 2 * len(silent) > len(remaining)

    def _is_silent(self, origin: Origin, now_s: float) -> bool:
        return now_s - origin.advanced_s > self.options.suspect_after_s

    def _classify(
        self, origin: Origin, now_s: float, is_majority_silent: bool
    ) -> MemberState:
        if not self._is_silent(origin, now_s):
            return MemberState.ALIVE
        silent_s = now_s - origin.advanced_s
        if silent_s > self.options.unreachable_keep_s:
            return MemberState.DEAD
        if silent_s > self.options.dead_after_s and self._has_left(origin):
            return MemberState.DEAD
        if is_majority_silent:
            return MemberState.UNREACHABLE
        silent_since_majority_s = now_s - max(
            origin.advanced_s, self.majority_alive_since_s
        )
        if silent_since_majority_s > self.options.dead_after_s:
            return MemberState.DEAD
        if self.states.get(origin.record.instance) is MemberState.UNREACHABLE:
            return MemberState.UNREACHABLE
        return MemberState.SUSPECT

    def _has_left(self, origin: Origin) -> bool:
        """Return whether a member is leaving or missing from a newer platform list."""
        if self.is_leaving(origin.record.instance):
            return True
        return (
            self.listed is not None
            and origin.record.instance not in self.listed
            and self.listed_s > origin.advanced_s + self.options.suspect_after_s
        )

    def _set_state(self, origin: Origin, state: MemberState) -> None:
        instance = origin.record.instance
        old = self.states.get(instance, MemberState.ALIVE)
        if state is not old:
            logger.info("Instance {} is {}, was {}.", instance, state.value, old.value)
        if state is MemberState.DEAD:
            self.states.pop(instance, None)
            self.table.remove(instance, add_tombstone=True)
        else:
            self.states[instance] = state


def make_member(record: MemberRecord, state: MemberState) -> Member:
    """Return the public view of a member record."""
    return Member(
        instance=record.instance,
        data_centre=record.data_centre,
        region=record.region,
        address=record.address,
        incarnation=record.incarnation,
        state=state,
        http_address=record.http_address,
    )
