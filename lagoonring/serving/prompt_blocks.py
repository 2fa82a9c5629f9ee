"""Keeps the blocked parts of prompts beyond the life of the instances' processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lagoonring.serving.duties import write_ahead

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.leases.lease import Lease
    from lagoonring.serving.duties import DutyLedger
    from lagoonring.serving.prompt_suspects import PromptSuspects

PART = "prompt_parts"
KEY = "blocked"
REWRITE_S = 5.0  # the log retains records for some tens of seconds


class PromptBlocksDuty:
    """The duty of the lease holder that records which parts are blocked.

    The record holds the time of the last crash, in seconds since 1970, by part.

    Parameters
    ----------
    true_time : callable
        Returns the seconds since 1970 that instances agree on.
    """

    name = PART

    def __init__(
        self,
        ledger: DutyLedger,
        suspects: PromptSuspects,
        clock: Clock,
        *,
        true_time: Callable[[], float],
    ) -> None:
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
        crashed_s = {part: round(true_s - age_s, 1) for part, age_s in ages_s.items()}
        await write_ahead(lease, PART, KEY, crashed_s)
        self.written, self.written_s = set(ages_s), now_s

    def _restore(self, now_s: float) -> None:
        recorded = self.ledger.find(PART, KEY)
        if recorded is None:
            return
        crashed_s = msgspec.json.decode(recorded, type=dict[str, float])
        true_s = self.true_time()
        self.suspects.restore(
            {part: max(true_s - at_s, 0.0) for part, at_s in crashed_s.items()}, now_s
        )
        self.written = set(crashed_s)
