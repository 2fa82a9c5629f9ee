"""A few contacts in each other data centre."""

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

N_LEARNED_MOST = 16
AVOID_S = 120.0
DOUBT_SHARE = 3


@attrs.define
class RemoteMember:
    """What is known of an instance in another data centre.

    Times are of this process's monotonic clock. ``asked_s`` is that of the first
    message still without an answer, ``heard_s`` that of the last frame;
    ``avoid_until_s`` ends a time in which the member is not chosen because it did
    not answer.
    """

    record: MemberRecord
    is_listed: bool
    weight: int
    heard_s: float = 0.0
    asked_s: float | None = None
    avoid_until_s: float = 0.0
    is_leaving: bool = False


class RemoteMembers:
    """Known instances of other data centres, and the contacts among them.

    Each instance picks its contacts in a data centre by rendezvous hashing, so
    that the load of being a contact is even and few contacts change when
    members come and go.
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
        """Return the names of the other data centres known."""
        return [name for name, members in self.members.items() if members]

    def find(self, instance: str) -> MemberRecord | None:
        """Return the record of an instance, if it is known."""
        for members in self.members.values():
            if instance in members:
                return members[instance].record
        return None

    def note_list(self, seeds: Iterable[SeedMember]) -> None:
        """Take in the platform's list; what it no longer names is forgotten."""
        listed = set()
        for seed in seeds:
            if seed.data_centre == self.data_centre:
                continue
            listed.add(seed.instance)
            members = self.members.setdefault(seed.data_centre, {})
            known = members.get(seed.instance)
            if known is None or known.record.address != seed.address:
                members[seed.instance] = self._make(record_of_seed(seed), True)
            else:
                known.is_listed = True
        for members in self.members.values():
            for instance, member in list(members.items()):
                if member.is_listed and instance not in listed:
                    del members[instance]

    def learn(self, record: MemberRecord) -> None:
        """Take in a record told by a peer, unless it is an older life."""
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
        if n_learned < N_LEARNED_MOST:
            members[record.instance] = self._make(record, False)

    def note_asked(self, instance: str, data_centre: str) -> None:
        """Record that a message that wants an answer was sent."""
        member = self.members.get(data_centre, {}).get(instance)
        if member is not None and member.asked_s is None:
            member.asked_s = self.clock.monotonic()

    def note_heard(self, instance: str, incarnation: int) -> None:
        """Record a frame of an instance."""
        for members in self.members.values():
            member = members.get(instance)
            if member is None:
                continue
            member.asked_s = None
            member.heard_s = self.clock.monotonic()
            member.avoid_until_s = 0.0
            if member.record.incarnation < incarnation:
                member.record = attrs.evolve(member.record, incarnation=incarnation)
                member.is_leaving = False

    def note_leaving(self, instance: str, is_leaving: bool) -> None:
        """Record that an instance leaves."""
        for members in self.members.values():
            if instance in members:
                members[instance].is_leaving = is_leaving

    def note_pause(self, gap_s: float) -> None:
        """Forgive the silence that a pause of this process made up."""
        now_s = self.clock.monotonic()
        for members in self.members.values():
            for member in members.values():
                if member.asked_s is not None:
                    member.asked_s = min(member.asked_s + gap_s, now_s)

    def contacts(self, data_centre: str) -> list[RemoteMember]:
        """Return the contacts in a data centre."""
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
        """Return the contacts in all other data centres."""
        return [
            contact for name in self.data_centres() for contact in self.contacts(name)
        ]

    def doubtful(self) -> list[RemoteMember]:
        """Return contacts not heard since another one of theirs was asked in vain.

        Their answers tell the loss of one contact from that of a data centre.
        """
        now_s = self.clock.monotonic()
        doubtful = []
        for name in self.data_centres():
            contacts = self.contacts(name)
            asked_s = min(
                (item.asked_s for item in contacts if item.asked_s is not None),
                default=now_s,
            )
            if now_s - asked_s <= self.options.suspect_after_s / DOUBT_SHARE:
                continue
            doubtful += [
                item
                for item in contacts
                if item.asked_s is None and item.heard_s < asked_s
            ]
        return doubtful

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether no contact of a data centre answers."""
        contacts = self.contacts(data_centre)
        return bool(contacts) and all(self._is_silent(contact) for contact in contacts)

    def sweep(self) -> None:
        """Replace contacts that are silent while others of theirs answer."""
        now_s = self.clock.monotonic()
        for name in self.data_centres():
            if self.is_unreachable(name):
                continue
            for contact in self.contacts(name):
                asked_s = contact.asked_s
                if asked_s is None or now_s - asked_s <= self.options.dead_after_s:
                    continue
                contact.avoid_until_s = now_s + AVOID_S
                contact.asked_s = None
                if not contact.is_listed:
                    del self.members[name][contact.record.instance]

    def list_members(self) -> list[Member]:
        """Return the contacts of all other data centres, with their states."""
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
        if member.asked_s is None:
            return False
        silent_s = self.clock.monotonic() - member.asked_s
        return silent_s > self.options.suspect_after_s

    def _make(self, record: MemberRecord, is_listed: bool) -> RemoteMember:
        text = f"{self.instance} {record.instance}".encode()
        return RemoteMember(record, is_listed, xxhash.xxh64_intdigest(text))


def record_of_seed(seed: SeedMember) -> MemberRecord:
    """Return the record of an instance whose life is not known yet."""
    return MemberRecord(
        instance=seed.instance,
        data_centre=seed.data_centre,
        region=seed.region,
        address=seed.address,
        http_address=seed.http_address,
        incarnation=0,
    )
