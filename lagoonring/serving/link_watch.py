"""Notices connections to other instances on which messages no longer arrive.

A connection can go silent without a reset, for good; messages sent on it are accepted
by the system and lost. Only what the other side sends shows that messages arrive.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

SILENT_S = 1.5  # a few rounds, also of a large data centre

logger = make_logger("exchange")


@attrs.define
class LinkWatch:
    """Replaces connections on which nothing is known to arrive.

    Attributes
    ----------
    reconnect : callable
        ``reconnect(address)`` replaces the connection to an address.
    confirmed_s : dict
        When a message was last known to arrive, or the connection was replaced, by
        address, on the monotonic clock.
    arrived : dict
        Number of the newest own message that arrived, by address.
    received : dict
        Number of the newest message received, by address.
    """

    reconnect: Callable[[str], None]
    confirmed_s: dict[str, float] = attrs.field(factory=dict)
    arrived: dict[str, int] = attrs.field(factory=dict)
    received: dict[str, int] = attrs.field(factory=dict)

    def confirm(self, address: str, now_s: float) -> None:
        """Record that messages to an address arrive."""
        self.confirmed_s[address] = now_s

    def record(
        self,
        address: str,
        number: int,
        arrived: int | None,
        now_s: float,
    ) -> None:
        """Record a message with its number, and what it says of the own messages.

        Parameters
        ----------
        arrived : int or None
            Number of the newest own message that the sender received; None if it
            doesn't tell.
        """
        self.received[address] = number
        # The sender may still have a number of an earlier process of this instance.
        if arrived is None or arrived != self.arrived.get(address, -1):
            self.confirm(address, now_s)
        if arrived is not None:
            self.arrived[address] = arrived

    def received_from(self, addresses: Iterable[str]) -> dict[str, int]:
        """Return the numbers of the newest messages received from some addresses."""
        return {one: self.received[one] for one in addresses if one in self.received}

    def check(self, addresses: Iterable[str], now_s: float) -> None:
        """Replace the silent connections among those that messages are sent on.

        What is known of an address is kept while no messages are sent to it: instances
        that suspect each other for a silent connection may do so by turns.
        """
        for address in addresses:
            silent_s = now_s - self.confirmed_s.setdefault(address, now_s)
            if silent_s >= SILENT_S:
                self.confirmed_s[address] = now_s
                logger.info(
                    "Replacing a silent connection.",
                    extra={"address": address, "silent_s": round(silent_s, 2)},
                )
                self.reconnect(address)

    def forget(self, address: str) -> None:
        """Drop what is known of an address."""
        for known in (self.confirmed_s, self.arrived, self.received):
            known.pop(address, None)
