"""What the holder of the duties knows of a move that runs."""

from __future__ import annotations

import attrs

from lagoonring.serving.comparison import (
    LOADED_SLACK_BUCKETS,
    Finding,
    find_difference,
    is_uneven,
)
from lagoonring.serving.exposure import Exposure
from lagoonring.serving.moves import MoveOrder, MoveView
from lagoonring.serving.rollout import LoadTest
from lagoonring.serving.version_results import (
    ResultsRow,
    RouteResults,
    sum_deviations,
    sum_rows,
)


@attrs.define
class RunningMove:
    """The holder's state of a move.

    ``rows`` holds the newest results by process, and ``routes`` their sums.
    """

    order: MoveOrder
    exposure: Exposure
    n_views: int = 0
    view: MoveView | None = None
    rows: dict[tuple[str, int], ResultsRow] = attrs.field(factory=dict)
    routes: dict[str, RouteResults] = attrs.field(factory=dict)
    finding: Finding | None = None
    is_uneven: bool = False
    load_test: LoadTest | None = None

    def update(self, rows: dict[tuple[str, int], ResultsRow]) -> None:
        """Apply newer results; those of processes that ended remain."""
        self.rows |= rows
        self.routes = sum_rows(list(self.rows.values()))
        is_loaded = self.load_test is not None
        self.finding = find_difference(
            self.routes, slack_buckets=LOADED_SLACK_BUCKETS if is_loaded else 0
        )
        self.is_uneven = is_uneven(sum_deviations(list(self.rows.values())))

    def describe(self) -> dict[str, list[int]]:
        """Return what was counted by route, for the log.

        Each list holds the requests started, answered and failed, first of the old,
        then of the new version.
        """
        return {
            name: [
                value
                for results in (route.old, route.new)
                for value in (results.n_started, results.n_ok, results.n_failed)
            ]
            for name, route in self.routes.items()
        }

    def count(self) -> tuple[int, int]:
        """Return the requests sent to all versions and to the new one."""
        n_new = sum(route.new.n_started for route in self.routes.values())
        n_old = sum(route.old.n_started for route in self.routes.values())
        return n_old + n_new, n_new
