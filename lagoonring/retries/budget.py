"""Budgets that keep retries and hedges from multiplying load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.retries.options import RetriesOptions


@attrs.define
class Budget:
    """Retries that an entry has left, as of ``time_s`` (monotonic)."""

    n_left: float
    time_s: float


class RetryBudgets:
    """A bucket of retries per entry.

    Every attempt pays in a share of a retry, time pays in a small floor.
    """

    def __init__(self, clock: Clock, options: RetriesOptions) -> None:
        self.clock = clock
        self.options = options
        self.budgets: dict[str, Budget] = {}

    def note_attempt(self, entry: str) -> None:
        """Pay in for an attempt."""
        budget = self._budget(entry)
        n_left = budget.n_left + self.options.budget_share
        budget.n_left = min(self.options.budget_burst, n_left)

    def take(self, entry: str) -> bool:
        """Take a retry; return False if none is left."""
        budget = self._budget(entry)
        now_s = self.clock.monotonic()
        paid_in = (now_s - budget.time_s) * self.options.budget_floor_per_s
        budget.n_left = min(self.options.budget_burst, budget.n_left + paid_in)
        budget.time_s = now_s
        if budget.n_left < 1.0:
            return False
        budget.n_left -= 1.0
        return True

    def _budget(self, entry: str) -> Budget:
        budget = self.budgets.get(entry)
        if budget is None:
            budget = Budget(self.options.budget_burst / 2, self.clock.monotonic())
            self.budgets[entry] = budget
        return budget
