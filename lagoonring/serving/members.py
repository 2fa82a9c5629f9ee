"""Membership: the known instances and the hub of each data centre.

The hub of a data centre collects the reports of the other instances there and exchanges
sums with the hubs of the other data centres, so that the number of messages grows
linearly with the instances, not quadratically. Hubs are not elected: every instance
selects the one with the highest capacity among the known instances that it does not
suspect. Instances that temporarily disagree correct each other, see `Exchange`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

LEAVING_CAPACITY = -1.0  # below that of any instance that is not leaving
FORGET_S = 30.0  # longer than network partitions between data centres usually last
MEMBER_TIMEOUT_S = (
    1.5  # several intervals; less would misreport slow machines as unreachable
)


@attrs.frozen(order=True)
class Rank:
    """Order of preference as a hub; the address decides between equal capacities."""

    capacity: float
    address: str


@attrs.frozen
class Card:
    """Address, data centre and capacity of an instance, as sent in messages."""

    address: str
    data_centre: str
    capacity: float


@attrs.define
class Member:
    """A known instance; times are on the monotonic clock.

    ``seen_s`` is the time of its last message, ``listed_s`` the last time that it
    sent a message or was listed by another instance, and ``trusted_s`` the time since
    which it is not suspected. ``life`` identifies its process.
    """

    card: Card
    listed_s: float
    trusted_s: float
    instance: str = ""
    life: int = 0
    seen_s: float | None = None
    is_suspected: bool = False

    @property
    def rank(self) -> Rank:
        """The instance's rank as a hub."""
        return Rank(self.card.capacity, self.card.address)

    def is_reachable(self, now_s: float) -> bool:
        """Return whether a message came within ``MEMBER_TIMEOUT_S``."""
        return self.seen_s is not None and now_s - self.seen_s < MEMBER_TIMEOUT_S

    def silent_s(self, now_s: float) -> float | None:
        """Return the seconds since the last message; None if there was none."""
        return None if self.seen_s is None else round(now_s - self.seen_s, 2)


class Members:
    """The instances that one instance knows of.

    Parameters
    ----------
    me : Card
        Card of this instance.
    """

    def __init__(self, me: Card) -> None:
        self.me = me
        self.known: dict[str, Member] = {}
        self.by_centre: dict[str, dict[str, Member]] = {}
        # Every message asks for the hub, while the members rarely change.
        self.hubs: dict[str, Card | None] = {}

    def record_message(self, card: Card, now_s: float) -> Member:
        """Record a message from an instance and clear its suspicion."""
        member = self._record(card, now_s)
        member.seen_s = now_s
        self.trust(card.address, now_s)
        return member

    def record_listed(self, card: Card, now_s: float) -> None:
        """Record an instance that another one listed."""
        known = self.known.get(card.address)
        if known is not None and known.is_reachable(now_s):
            card = known.card  # its own message is more recent
        if card.address != self.me.address:
            self._record(card, now_s)

    def retire(self) -> None:
        """Rank below all other instances, so that another one becomes the hub."""
        self.change_capacity(LEAVING_CAPACITY)

    def change_capacity(self, capacity: float) -> None:
        """Change this instance's own capacity, and with it its rank."""
        self.me = attrs.evolve(self.me, capacity=capacity)
        self.hubs.clear()

    def trust(self, address: str, now_s: float) -> None:
        """Clear the suspicion of an instance that is reachable, here or elsewhere."""
        member = self.known.get(address)
        if member is not None and member.is_suspected:
            member.is_suspected = False
            member.trusted_s = now_s
            self.hubs.clear()

    def suspect(self, address: str) -> None:
        """Exclude an instance from the hub role until it is reachable again."""
        member = self.known.get(address)
        if member is not None and not member.is_suspected:
            member.is_suspected = True
            self.hubs.clear()

    def suspect_silent_hubs(self, now_s: float) -> None:
        """Suspect the hubs of other data centres that are silent."""
        for card in self.other_hubs():
            member = self.known[card.address]
            if now_s - max(member.seen_s or 0.0, member.trusted_s) > MEMBER_TIMEOUT_S:
                self.suspect(card.address)

    def forget(self, now_s: float) -> list[Member]:
        """Drop and return instances that were not listed for ``FORGET_S``."""
        silent = [
            known for known in self.known.values() if now_s - known.listed_s > FORGET_S
        ]
        for member in silent:
            del self.known[member.card.address]
            self._remove_from_centre(member.card)
        return silent

    def local(self) -> list[Member]:
        """Return the other instances of this data centre."""
        return self.of_data_centre(self.me.data_centre)

    def present(self, now_s: float) -> list[Member]:
        """Return the reachable local instances that are not leaving."""
        return [
            member
            for member in self.local()
            if member.is_reachable(now_s) and member.card.capacity > LEAVING_CAPACITY
        ]

    def is_leaving(self) -> bool:
        """Return whether this instance is leaving."""
        return self.me.capacity <= LEAVING_CAPACITY

    def of_data_centre(self, name: str) -> list[Member]:
        """Return the other known instances of a data centre."""
        return list(self.by_centre.get(name, {}).values())

    def hub(self, data_centre: str) -> Card | None:
        """Return the hub of a data centre, as known to this instance.

        If all instances of another data centre are suspected, for example during a
        network partition, the one with the highest rank is still tried.
        """
        if data_centre not in self.hubs:
            self.hubs[data_centre] = self._find_hub(data_centre)
        return self.hubs[data_centre]

    def _find_hub(self, data_centre: str) -> Card | None:
        candidates = self.of_data_centre(data_centre)
        trusted = [member for member in candidates if not member.is_suspected]
        best = max(trusted, key=lambda member: member.rank, default=None)
        if data_centre != self.me.data_centre:
            best = best or max(candidates, key=lambda member: member.rank, default=None)
            return best.card if best else None
        own_rank = Rank(self.me.capacity, self.me.address)
        return best.card if best and best.rank > own_rank else self.me

    def is_hub(self) -> bool:
        """Return whether this instance is the hub of its data centre."""
        return self.hub(self.me.data_centre) is self.me

    def other_hubs(self) -> list[Card]:
        """Return the hubs of the other known data centres."""
        names = self.by_centre.keys() - {self.me.data_centre}
        hubs = (self.hub(name) for name in sorted(names))
        return [hub for hub in hubs if hub is not None]

    def count_local(self, now_s: float) -> tuple[int, int]:
        """Return how many instances of this data centre are reachable, and known.

        Both include this one; instances only listed by others are not counted.
        """
        ever_reached = [member for member in self.local() if member.seen_s is not None]
        n_heard = sum(member.is_reachable(now_s) for member in ever_reached)
        return 1 + n_heard, 1 + len(ever_reached)

    def _record(self, card: Card, now_s: float) -> Member:
        member = self.known.get(card.address)
        if member is None:
            member = self.known[card.address] = Member(card, now_s, now_s)
            self._add_to_centre(member)
        elif member.card != card:
            self._remove_from_centre(member.card)
            member.card = card
            self._add_to_centre(member)
        member.listed_s = now_s
        return member

    def _add_to_centre(self, member: Member) -> None:
        centre = self.by_centre.setdefault(member.card.data_centre, {})
        centre[member.card.address] = member
        self.hubs.clear()

    def _remove_from_centre(self, card: Card) -> None:
        centre = self.by_centre[card.data_centre]
        del centre[card.address]
        if not centre:
            del self.by_centre[card.data_centre]
        self.hubs.clear()


def cards_of(members: Iterable[Member]) -> list[Card]:
    """Return the cards of members."""
    return [member.card for member in members]
