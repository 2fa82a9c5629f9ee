"""The instances known, and which of them is the hub of its data centre.

One instance of each data centre gathers what the others of it tell, and exchanges
sums with the hubs of the other data centres. So the number of messages grows with
the instances, not with their square. Hubs are not elected: every instance takes the
one with the most capacity among those that it knows and does not suspect. Instances
that disagree for a moment correct each other, see `Exchange`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

LEAVING_CAPACITY = -1.0  # below that of any instance that stays
FORGET_S = 30.0  # longer than cuts between data centres usually last
MEMBER_TIMEOUT_S = (
    1.5  # several intervals; a shorter one takes slow machines for cut off
)


@attrs.frozen(order=True)
class Rank:
    """Order of preference as a hub; equal capacities are told by the address."""

    capacity: float
    address: str


@attrs.frozen
class Card:
    """What one instance tells of another: where it is and how it ranks."""

    address: str
    data_centre: str
    capacity: float


@attrs.define
class Member:
    """An instance known; times on the monotonic clock.

    ``listed_s`` is when it was last heard or named by another instance,
    ``trusted_s`` since when it is not suspected.
    """

    card: Card
    listed_s: float
    trusted_s: float
    instance: str = ""
    life: int = 0
    last_seen_s: float | None = None
    is_suspected: bool = False

    @property
    def rank(self) -> Rank:
        """The instance's place in the order of preference."""
        return Rank(self.card.capacity, self.card.address)

    def is_reachable(self, now_s: float) -> bool:
        """Whether the instance was heard lately."""
        return (
            self.last_seen_s is not None and now_s - self.last_seen_s < MEMBER_TIMEOUT_S
        )


class Members:
    """The instances known to one instance.

    Parameters
    ----------
    me : Card
        This instance.
    """

    def __init__(self, me: Card) -> None:
        self.me = me
        self.known: dict[str, Member] = {}

    def record_message(self, card: Card, now_s: float) -> Member:
        """Take in a message of an instance; it is no longer suspected."""
        member = self._note(card, now_s)
        member.last_seen_s = now_s
        self.trust(card.address, now_s)
        return member

    def record_listed(self, card: Card, now_s: float) -> None:
        """Learn of an instance from another one."""
        known = self.known.get(card.address)
        if known is not None and known.is_reachable(now_s):
            card = known.card  # what it says of itself is newer
        if card.address != self.me.address:
            self._note(card, now_s)

    def retire(self) -> None:
        """Leave the role of the hub to any other instance."""
        self.me = attrs.evolve(self.me, capacity=LEAVING_CAPACITY)

    def trust(self, address: str, now_s: float) -> None:
        """Take an instance for alive: it was heard, or another one hears it."""
        member = self.known.get(address)
        if member is not None and member.is_suspected:
            member.is_suspected = False
            member.trusted_s = now_s

    def suspect(self, address: str) -> None:
        """Take an instance for gone until it is heard again."""
        member = self.known.get(address)
        if member is not None:
            member.is_suspected = True

    def forget(self, now_s: float) -> list[Member]:
        """Drop and return instances that nobody has heard for long."""
        gone = [it for it in self.known.values() if now_s - it.listed_s > FORGET_S]
        for member in gone:
            del self.known[member.card.address]
        return gone

    def local(self) -> list[Member]:
        """Return the other instances of this data centre."""
        return self.of_data_centre(self.me.data_centre)

    def of_data_centre(self, name: str) -> list[Member]:
        """Return the other instances known of a data centre."""
        return [it for it in self.known.values() if it.card.data_centre == name]

    def hub(self, data_centre: str) -> Card | None:
        """Return the hub of a data centre as far as it is known here.

        Where all instances of another data centre are suspected, as while it is
        cut off, the best of them is tried all the same.
        """
        there = self.of_data_centre(data_centre)
        trusted = [it for it in there if not it.is_suspected]
        best = max(trusted, key=lambda it: it.rank, default=None)
        if data_centre != self.me.data_centre:
            best = best or max(there, key=lambda it: it.rank, default=None)
            return best.card if best else None
        own_rank = Rank(self.me.capacity, self.me.address)
        return best.card if best and best.rank > own_rank else self.me

    def is_hub(self) -> bool:
        """Whether this instance is the hub of its data centre."""
        return self.hub(self.me.data_centre) is self.me

    def other_hubs(self) -> list[Card]:
        """Return the hubs of the other data centres known."""
        names = {it.card.data_centre for it in self.known.values()}
        hubs = (self.hub(name) for name in sorted(names - {self.me.data_centre}))
        return [hub for hub in hubs if hub is not None]

    def count_local(self, now_s: float) -> tuple[int, int]:
        """Return the instances of this data centre: heard now, and known.

        Those that were only named by others are not counted.
        """
        ever_heard = [it for it in self.local() if it.last_seen_s is not None]
        n_heard = sum(it.is_reachable(now_s) for it in ever_heard)
        return 1 + n_heard, 1 + len(ever_heard)

    def _note(self, card: Card, now_s: float) -> Member:
        member = self.known.get(card.address)
        if member is None:
            member = self.known[card.address] = Member(card, now_s, now_s)
        member.card = card
        member.listed_s = now_s
        return member


def cards_of(members: Iterable[Member]) -> list[Card]:
    """Return what is told of members."""
    return [member.card for member in members]
