"""Keeps what is blocked beyond the life of the instances' processes.

Requests, and parts of prompts, are blocked if they crash endpoints.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from lagoonring.serving.duties import write_ahead

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lagoonring.kernel import Clock
    from lagoonring.leases.lease import Lease
    from lagoonring.serving.duties import DutyLedger

PROMPT_PARTS = "prompt_parts"
REQUESTS = "requests"
KEY = "blocked"
REWRITE_S = 5.0  # the log retains records for some tens of seconds


class Blockable(Protocol):
    """Knows what is blocked, by name."""

    def ages_of_blocked(self, now_s: float) -> dict[str, float]:
        """Return the seconds since the last crash of each name that is blocked."""

    def restore(self, blocked: Mapping[str, float], now_s: float) -> None:
        """Block what was blocked before; values are ages in seconds."""


class BlocksDuty:
    """The duty of the lease holder that records what is blocked.

    The record holds the time of the last crash, in seconds since 1970, by name.

    Parameters
    ----------
    name : str
        Part of the ledger, ``PROMPT_PARTS`` or ``REQUESTS``.
    true_time : callable
        Returns the seconds since 1970 that instances agree on.
    """

    def __init__(
        self,
        name: str,
        ledger: DutyLedger,
        suspects: Blockable,
        clock: Clock,
        *,
        true_time: Callable[[], float],
    ) -> None:
        self.name = name
        self.ledger = ledger
        self.suspects = suspects
        self.clock = clock
        self.true_time = true_time
        self.fencing_number = -1
        self.written: set[str] = set()
        self.written_s = float("-inf")

    async def step(self, lease: Lease) -> None:
        """Restore what an earlier holder recorded, and record what is blocked now."""
        now_s = self.clock.monotonic()
        if lease.fencing_number != self.fencing_number:
            self.fencing_number = lease.fencing_number
            self._restore(now_s)
        ages_s = self.suspects.ages_of_blocked(now_s)
        is_due = bool(ages_s) and now_s - self.written_s >= REWRITE_S
        if ages_s.keys() == self.written and not is_due:
            return
        true_s = self.true_time()
        crashed_s = {name: round(true_s - age_s, 1) for name, age_s in ages_s.items()}
        await write_ahead(lease, self.name, KEY, crashed_s)
        self.written, self.written_s = set(ages_s), now_s

    def _restore(self, now_s: float) -> None:
        recorded = self.ledger.find(self.name, KEY)
        if recorded is None:
            return
        crashed_s = msgspec.json.decode(recorded, type=dict[str, float])
        true_s = self.true_time()
        self.suspects.restore(
            {name: max(true_s - at_s, 0.0) for name, at_s in crashed_s.items()}, now_s
        )
        self.written = set(crashed_s)
