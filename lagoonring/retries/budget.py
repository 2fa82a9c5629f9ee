"""Retry budgets, which keep retries and hedges from multiplying the load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.retries.options import RetriesOptions


@attrs.define
class Budget:
    """Retries left for an entry; ``time_s`` is the monotonic time of the refill."""

    n_left: float
    time_s: float


class RetryBudgets:
    """A token bucket of retries and hedges per entry.

    Each attempt adds a fraction of a retry. A low fixed rate per second is
    added in any case, so that entries with little traffic can retry too.
    """

    def __init__(self, clock: Clock, options: RetriesOptions) -> None:
        self.clock = clock
        self.options = options
        self.budgets: dict[str, Budget] = {}

    def record_attempt(self, entry: str) -> None:
        """Add the share of a retry that an attempt earns."""
        budget = self._budget(entry)
        n_left = budget.n_left + self.options.budget_share
        budget.n_left = min(self.options.budget_burst, n_left)

    def take(self, entry: str) -> bool:
        """Take one retry from the budget; return False if none is left."""
        budget = self._budget(entry)
        now_s = self.clock.monotonic()
        refill = (now_s - budget.time_s) * self.options.budget_floor_per_s
        budget.n_left = min(self.options.budget_burst, budget.n_left + refill)
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
