"""Members of other data centres, and the contacts selected among them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

from lagoonring.peers.members import make_member
from lagoonring.peers.messages import Member, MemberRecord, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonring.kernel import Clock
    from lagoonring.peers.options import PeersOptions, SeedMember

MAX_LEARNED_MEMBERS = 16
AVOID_DURATION_S = 120.0
PROBE_DELAY_DIVISOR = 3


@attrs.define
class RemoteMember:
    """State of an instance in another data centre.

    Times are of this process's monotonic clock. ``unanswered_since_s`` is when the
    oldest unanswered request was sent, ``last_seen_s`` when the last frame was
    received. Until ``avoid_until_s``, the member is not selected as a contact
    because it did not answer.
    """

    record: MemberRecord
    is_listed: bool
    weight: int
    last_seen_s: float = 0.0
    unanswered_since_s: float | None = None
    avoid_until_s: float = 0.0
    is_leaving: bool = False


class RemoteMembers:
    """Known instances of other data centres, and the contacts among them.

    Each instance selects its contacts in a data centre by rendezvous hashing. This
    spreads the load evenly and changes few contacts when members join or leave.
    """

    def __init__(
        self, instance: str, data_centre: str, clock: Clock, options: PeersOptions
    ) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.clock = clock
        self.options = options
        self.members: dict[str, dict[str, RemoteMember]] = {}

    def data_centres(self) -> list[str]:
        """Return the names of all other known data centres."""
        return [name for name, members in self.members.items() if members]

    def find(self, instance: str) -> MemberRecord | None:
        """Return the record of an instance, or None if it is unknown."""
        for members in self.members.values():
            if instance in members:
                return members[instance].record
        return None

    def update_list(self, seeds: Iterable[SeedMember]) -> None:
        """Apply the platform's list; drop listed members that it no longer has."""
        listed = set()
        for seed in seeds:
            if seed.data_centre == self.data_centre:
                continue
            listed.add(seed.instance)
            members = self.members.setdefault(seed.data_centre, {})
            known = members.get(seed.instance)
            if known is None or known.record.address != seed.address:
                members[seed.instance] = self._make_remote_member(
                    make_seed_record(seed), True
                )
            else:
                known.is_listed = True
        for members in self.members.values():
            for instance, member in list(members.items()):
                if member.is_listed and instance not in listed:
                    del members[instance]

    def merge_record(self, record: MemberRecord) -> None:
        """Merge a record received from a peer, unless its incarnation is older."""
        if record.data_centre == self.data_centre or record.instance == self.instance:
            return
        members = self.members.setdefault(record.data_centre, {})
        known = members.get(record.instance)
        if known is not None:
            if known.record.incarnation < record.incarnation:
                known.record = record
                known.is_leaving = False
            return
        n_learned = sum(not member.is_listed for member in members.values())
        if n_learned < MAX_LEARNED_MEMBERS:
            members[record.instance] = self._make_remote_member(record, False)

    def record_request(self, instance: str, data_centre: str) -> None:
        """Record that a request was sent to an instance."""
        member = self.members.get(data_centre, {}).get(instance)
        if member is not None and member.unanswered_since_s is None:
            member.unanswered_since_s = self.clock.monotonic()

    def record_frame(self, instance: str, incarnation: int) -> None:
        """Record that a frame of an instance was received."""
        for members in self.members.values():
            member = members.get(instance)
            if member is None:
                continue
            member.unanswered_since_s = None
            member.last_seen_s = self.clock.monotonic()
            member.avoid_until_s = 0.0
            if member.record.incarnation < incarnation:
                member.record = attrs.evolve(member.record, incarnation=incarnation)
                member.is_leaving = False

    def mark_leaving(self, instance: str, is_leaving: bool) -> None:
        """Set whether an instance is leaving."""
        for members in self.members.values():
            if instance in members:
                members[instance].is_leaving = is_leaving

    def record_pause(self, gap_s: float) -> None:
        """Exclude a pause of this process from the age of unanswered requests."""
        now_s = self.clock.monotonic()
        for members in self.members.values():
            for member in members.values():
                if member.unanswered_since_s is not None:
                    member.unanswered_since_s = min(
                        member.unanswered_since_s + gap_s, now_s
                    )

    def contacts(self, data_centre: str) -> list[RemoteMember]:
        """Return the contacts in a data centre, at most ``n_contacts``."""
        now_s = self.clock.monotonic()
        members = list(self.members.get(data_centre, {}).values())
        usable = [
            member
            for member in members
            if member.avoid_until_s <= now_s and not member.is_leaving
        ]
        chosen = usable or members
        chosen.sort(key=lambda member: member.weight)
        return chosen[: self.options.n_contacts]

    def all_contacts(self) -> list[RemoteMember]:
        """Return the contacts in all other data centres as one list."""
        return [
            contact for name in self.data_centres() for contact in self.contacts(name)
        ]

    def unverified(self) -> list[RemoteMember]:
        """Return contacts to probe because another one in the data centre is silent.

        These contacts have no frame received since the unanswered request. Their
        answers distinguish the loss of one contact from that of a data centre.
        """
        now_s = self.clock.monotonic()
        unverified = []
        for name in self.data_centres():
            contacts = self.contacts(name)
            unanswered_since_s = min(
                (
                    contact.unanswered_since_s
                    for contact in contacts
                    if contact.unanswered_since_s is not None
                ),
                default=now_s,
            )
            if (
                now_s - unanswered_since_s
                <= self.options.suspect_after_s / PROBE_DELAY_DIVISOR
            ):
                continue
            unverified += [
                contact
                for contact in contacts
                if contact.unanswered_since_s is None
                and contact.last_seen_s < unanswered_since_s
            ]
        return unverified

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether no contact of a data centre answers."""
        contacts = self.contacts(data_centre)
        return bool(contacts) and all(self._is_silent(contact) for contact in contacts)

    def sweep(self) -> None:
        """Replace silent contacts of data centres whose other contacts answer."""
        now_s = self.clock.monotonic()
        for name in self.data_centres():
            if self.is_unreachable(name):
                continue
            for contact in self.contacts(name):
                unanswered_since_s = contact.unanswered_since_s
                if (
                    unanswered_since_s is None
                    or now_s - unanswered_since_s <= self.options.dead_after_s
                ):
                    continue
                contact.avoid_until_s = now_s + AVOID_DURATION_S
                contact.unanswered_since_s = None
                if not contact.is_listed:
                    del self.members[name][contact.record.instance]

    def list_members(self) -> list[Member]:
        """Return the contacts in all other data centres, with their states."""
        return [
            make_member(contact.record, self._state(name, contact))
            for name in self.data_centres()
            for contact in self.contacts(name)
        ]

    def _state(self, data_centre: str, member: RemoteMember) -> MemberState:
        if member.is_leaving:
            return MemberState.LEAVING
        if not self._is_silent(member):
            return MemberState.ALIVE
        if self.is_unreachable(data_centre):
            return MemberState.UNREACHABLE
        return MemberState.SUSPECT

    def _is_silent(self, member: RemoteMember) -> bool:
        if member.unanswered_since_s is None:
            return False
        silent_s = self.clock.monotonic() - member.unanswered_since_s
        return silent_s > self.options.suspect_after_s

    def _make_remote_member(
        self, record: MemberRecord, is_listed: bool
    ) -> RemoteMember:
        text = f"{self.instance} {record.instance}".encode()
        return RemoteMember(record, is_listed, xxhash.xxh64_intdigest(text))


def make_seed_record(seed: SeedMember) -> MemberRecord:
    """Return the record of a seed, with incarnation 0 for unknown."""
    return MemberRecord(
        instance=seed.instance,
        data_centre=seed.data_centre,
        region=seed.region,
        address=seed.address,
        http_address=seed.http_address,
        incarnation=0,
    )
