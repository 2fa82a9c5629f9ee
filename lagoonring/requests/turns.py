"""Shares processor time among connections whose bytes take long to read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

PROCESSOR_SHARE = 0.25  # of all such connections together
MAX_CREDIT_S = 0.002
MIN_TURN_S = 0.0001  # charged for a turn in which nothing arrives


class TurnTaker(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self) -> None:
        """Read a little."""


class Turns:
    """Lets connections read in turn, for a share of the processor's time.

    Parameters
    ----------
    clock : callable or None
        Returns a time in seconds, by default that of the event loop.
    share : float
        Of the processor's time.
    """

    def __init__(
        self, clock: Callable[[], float] | None = None, share: float = PROCESSOR_SHARE
    ) -> None:
        self.clock = clock
        self.share = share
        self.free_s = 0.0
        self.waiting: dict[TurnTaker, None] = {}
        self.timer: asyncio.TimerHandle | None = None

    def now_s(self) -> float:
        """Return the time in seconds."""
        return self.clock() if self.clock else asyncio.get_running_loop().time()

    def is_free(self) -> bool:
        """Return whether a connection may read at once."""
        return not self.waiting and self.free_s <= self.now_s()

    def charge(self, work_s: float) -> None:
        """Count the time that a connection took."""
        self.free_s = max(self.free_s, self.now_s() - MAX_CREDIT_S)
        self.free_s += max(work_s, MIN_TURN_S) / self.share

    def wait(self, connection: TurnTaker) -> None:
        """Queue a connection; its ``take_turn`` is called when it may read."""
        self.waiting[connection] = None
        self._arm()

    def forget(self, connection: TurnTaker) -> None:
        """Remove a connection from the queue."""
        self.waiting.pop(connection, None)

    def run(self) -> None:
        """Let connections read while there is time for them."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.waiting and self.free_s <= self.now_s():
            connection = next(iter(self.waiting))
            del self.waiting[connection]
            self.charge(0.0)
            connection.take_turn()
        self._arm()

    def _arm(self) -> None:
        if self.timer is None and self.waiting:
            delay_s = max(self.free_s - self.now_s(), 0.0)
            self.timer = asyncio.get_running_loop().call_later(delay_s, self.run)
