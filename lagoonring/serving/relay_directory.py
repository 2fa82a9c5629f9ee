"""Which instances reach a service that others do not reach.

Instances report the services that they do not reach. As long as any does, each hub
names some instances of its data centre that reach the service; the others learn them
from the digests. Without unreached services nothing is sent.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from lagoonring.kernel import Clock

MAX_NAMED = 8  # instances per data centre and round; another sample in each round
MAX_AGE_S = 3.0  # until a silent hub is replaced

RelayRow = tuple[str, int]
RelayRows = dict[str, list[RelayRow]]


@attrs.frozen
class Relay:
    """An instance that may pass requests on to endpoints.

    ``address`` is that for messages between instances. ``life`` identifies its process
    and shows the instance that a request comes from one that hears its messages.
    """

    address: str
    life: int


@attrs.define
class CentreRow:
    """What the hub of another data centre said last, and when."""

    at_s: float
    unreached: list[str]
    relays: RelayRows


class RelayDirectory:
    """The relays by service, as known to one instance.

    Parameters
    ----------
    peers : callable
        Returns this instance and the reachable ones of its data centre that stay.
    """

    def __init__(
        self, peers: Callable[[], list[Relay]], clock: Clock, rng: random.Random
    ) -> None:
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.local: dict[str, frozenset[str]] = {}
        self.centres: dict[str, CentreRow] = {}
        self.known: dict[str, tuple[Relay, ...]] = {}
        self.known_s = -math.inf

    def relays(self, service: str) -> Sequence[Relay]:
        """Return instances that reach a service, as far as that is known."""
        if self.clock.monotonic() - self.known_s >= MAX_AGE_S:
            return ()
        return self.known.get(service, ())

    def update_local(self, address: str, unreached: Iterable[str]) -> None:
        """Apply what an instance of this data centre reported."""
        self.local[address] = frozenset(unreached)

    def update_centre(
        self, data_centre: str, unreached: list[str], relays: RelayRows
    ) -> None:
        """Apply what the hub of another data centre said."""
        now_s = self.clock.monotonic()
        self.centres[data_centre] = CentreRow(now_s, unreached, relays)

    def apply_rows(self, rows: RelayRows) -> None:
        """Replace the relays by those of a hub's digest."""
        self.known_s = self.clock.monotonic()
        self.known = {
            service: tuple(Relay(*row) for row in relays)
            for service, relays in rows.items()
        }

    def reset(self) -> None:
        """Drop what others said, when the hub changes."""
        self.local.clear()
        self.centres.clear()

    def local_unreached(self) -> list[str]:
        """Return the services that some instance of this data centre lacks."""
        present = {relay.address for relay in self.peers()}
        rows = (row for address, row in self.local.items() if address in present)
        return sorted(set().union(*rows))

    def local_rows(self) -> RelayRows:
        """Return relays of this data centre for the services that anyone lacks."""
        wanted = set(self.local_unreached())
        for centre in self._fresh_centres():
            wanted.update(centre.unreached)
        if not wanted:
            return {}
        peers = self.peers()
        rows = {}
        for service in sorted(wanted):
            able = [
                (peer.address, peer.life)
                for peer in peers
                if service not in self.local.get(peer.address, ())
            ]
            rows[service] = self.rng.sample(able, min(MAX_NAMED, len(able)))
        return rows

    def all_rows(self, local: RelayRows) -> RelayRows:
        """Return the relays of all data centres; they are applied here as well."""
        rows = {service: list(relays) for service, relays in local.items()}
        for centre in self._fresh_centres():
            for service, relays in centre.relays.items():
                rows.setdefault(service, []).extend(relays)
        self.apply_rows(rows)
        return rows

    def _fresh_centres(self) -> list[CentreRow]:
        now_s = self.clock.monotonic()
        return [row for row in self.centres.values() if now_s - row.at_s < MAX_AGE_S]
