"""Sequential comparison of a new version with the old one over the same time.

A request is on the new version with a known probability, its share. If the new
version is no worse, a bad result is then on the new version with about that
probability, whatever the load or the time of day does to both. Each bad result
is one step of a likelihood ratio of "the odds of a bad result are ``odds`` times
as high" to "at most ``margin`` times as high", mixed over several ``odds`` and
over the step at which the fault began. Such a mixture has expectation at most
one at any stopping time, so exceeding ``1 / false_alarm`` has at most that
probability (Ville's inequality), however often one looks.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from lagoonring.moves.counts import (
    CELL_MARK,
    RESPECTS,
    CellCounts,
    VersionCounts,
)

if TYPE_CHECKING:
    from lagoonring.moves.options import JudgeOptions

ODDS = (3.0, 8.0, 30.0, 200.0)
VALUE_LIMIT = 1e100
START_WEIGHT = 0.5
LATER_WEIGHT = 0.34
POOLED_WEIGHT = 1 / 8
ROUTES_WEIGHT = 3 / 8
CELLS_WEIGHT = 1 / 8
CRASH = "crash"
N_BANDS = 3
FRACTION_PRIOR = 20.0
FRACTION_LIMIT = 400.0
SHARE_LEAST = 1e-3
SHARE_MOST = 0.999


@attrs.frozen(kw_only=True)
class Finding:
    """Why a version is condemned."""

    respect: str
    where: str
    evidence: float

    def __str__(self) -> str:
        where = self.where or "all routes"
        return f"{self.respect} on {where}, evidence {self.evidence:.0f}"


@attrs.define
class Evidence:
    """A mixture of likelihood ratios; ``margin`` is the odds tolerated."""

    margin: float
    n_steps: int = 0
    values: list[float] = attrs.field(factory=lambda: [0.0] * len(ODDS))

    def add(self, n_bad_new: int, n_bad_old: int, share: float) -> float:
        """Take in bad results of the same time; return the evidence so far."""
        share = min(max(share, SHARE_LEAST), SHARE_MOST)
        weight = _start_weight(self.n_steps) / len(ODDS)
        self.n_steps += 1
        tolerated = self.margin * share + 1 - share
        for index, odds in enumerate(ODDS):
            per_bad = math.log(tolerated / (odds * share + 1 - share))
            per_new = math.log(odds / self.margin)
            change = n_bad_new * per_new + (n_bad_new + n_bad_old) * per_bad
            factor = math.exp(min(change, 200.0))
            value = (self.values[index] + weight) * factor
            self.values[index] = min(value, VALUE_LIMIT)
        return sum(self.values)


@attrs.define
class Fraction:
    """The recent fraction of results on the new version in one cell."""

    n_new: float = 0.0
    n_all: float = 0.0

    def read(self, share: float) -> float:
        """Return the fraction, at least ``share``."""
        n_new = self.n_new + share * FRACTION_PRIOR
        return max(share, n_new / (self.n_all + FRACTION_PRIOR))

    def add(self, n_new: int, n_old: int) -> None:
        """Count results; old ones fade out."""
        self.n_new += n_new
        self.n_all += n_new + n_old
        if self.n_all > FRACTION_LIMIT:
            self.n_new /= 2
            self.n_all /= 2


class Judge:
    """Compares two versions from the totals that instances publish.

    Memory is bounded by the cells of an instance times the instances heard.

    Parameters
    ----------
    move : str
        Rows of other moves are ignored.
    options : JudgeOptions
        Margins and error rate.
    """

    def __init__(self, move: str, options: JudgeOptions) -> None:
        self.move = move
        self.options = options
        self.seen: dict[str, tuple[float, dict[str, CellCounts]]] = {}
        self.evidence: dict[tuple[int, str], Evidence] = {}
        self.fractions: dict[str, Fraction] = {}
        self.crashes: dict[str, int] = {}
        self.crash_evidence = Evidence(options.failure_odds)
        self.finding: Finding | None = None
        n_tests = (options.n_routes + 1) * len(RESPECTS)
        self.route_weight = ROUTES_WEIGHT / n_tests
        self.cell_weight = CELLS_WEIGHT / (n_tests * N_BANDS)

    def merge(self, origin: str, counts: VersionCounts) -> Finding | None:
        """Take in an instance's totals; return the finding, once there is one."""
        if counts.move != self.move or self.finding is not None:
            return self.finding
        started_s, cells = self.seen.get(origin, (counts.started_s, {}))
        if counts.started_s < started_s:
            return None
        if counts.started_s > started_s:
            cells = {}
        self.seen[origin] = (counts.started_s, cells)
        for name, cell in counts.cells.items():
            before = cells.get(name)
            if before is None or before != cell:
                cells[name] = _copy(cell)
                self._merge_cell(name, cell, before or CellCounts(), counts.share)
        return self.finding

    def merge_crashes(
        self, counts: VersionCounts, hosts: frozenset[str], n_endpoints: int
    ) -> Finding | None:
        """Take in crashes of endpoints, compared by what they host.

        Several instances see one crash, so the largest count of any counts. A
        crash takes requests of both versions on its endpoint with it; what
        differs is whether the endpoint hosts the new version.
        """
        share = len(hosts) / max(n_endpoints, 1)
        for endpoint, n_seen in counts.crashes.items():
            n_more = n_seen - self.crashes.get(endpoint, 0)
            if counts.move != self.move or n_more <= 0:
                continue
            self.crashes[endpoint] = n_seen
            n_new = n_more if endpoint in hosts else 0
            value = self.crash_evidence.add(n_new, n_more - n_new, share)
            self._decide(value, POOLED_WEIGHT, CRASH, "")
        return self.finding

    def forget(self, origin: str) -> None:
        """Drop the totals of an instance that has gone."""
        self.seen.pop(origin, None)

    def _merge_cell(
        self, name: str, cell: CellCounts, before: CellCounts, told_share: float
    ) -> None:
        fraction = self.fractions.setdefault(name, Fraction())
        share = fraction.read(told_share)
        fraction.add(cell.n_new - before.n_new, cell.n_old - before.n_old)
        if told_share <= 0:
            return
        route = name.rpartition(CELL_MARK)[0]
        for respect in range(len(RESPECTS)):
            n_new = cell.bad_new[respect] - before.bad_new[respect]
            n_old = cell.bad_old[respect] - before.bad_old[respect]
            if n_new <= 0 and n_old <= 0:
                continue
            for where in ("", route, name):
                self._add(respect, where, n_new, n_old, share)

    def _add(
        self, respect: int, where: str, n_new: int, n_old: int, share: float
    ) -> None:
        is_failure = respect == 0
        margin = self.options.failure_odds if is_failure else self.options.latency_odds
        evidence = self.evidence.setdefault((respect, where), Evidence(margin))
        value = evidence.add(max(n_new, 0), max(n_old, 0), share)
        self._decide(value, self._weight(where), RESPECTS[respect], where)

    def _weight(self, where: str) -> float:
        """Return the part of the error rate that a test may use up."""
        if not where:
            return POOLED_WEIGHT
        return self.cell_weight if CELL_MARK in where else self.route_weight

    def _decide(self, value: float, weight: float, respect: str, where: str) -> None:
        if self.finding is None and value * weight >= 1 / self.options.false_alarm:
            self.finding = Finding(respect=respect, where=where, evidence=value)


def _start_weight(n_steps: int) -> float:
    """Return the prior weight of a fault that begins after ``n_steps``.

    All weights sum to less than one.
    """
    if n_steps == 0:
        return START_WEIGHT
    index = n_steps + 2
    return LATER_WEIGHT / (index * math.log(index) ** 2)


def _copy(cell: CellCounts) -> CellCounts:
    return CellCounts(
        n_old=cell.n_old,
        n_new=cell.n_new,
        bad_old=list(cell.bad_old),
        bad_new=list(cell.bad_new),
    )
