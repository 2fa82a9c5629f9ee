"""Sequential test that compares a new version with the old one running beside it.

Each request runs on the new version with a known probability, the share. If the
new version is no worse, a bad result belongs to the new version with about that
probability, since load and time of day affect both versions alike. Each bad result
updates a likelihood ratio of "the odds of a bad result are ``odds`` times as high"
against "at most ``margin`` times as high". The ratio is mixed over several values
of ``odds`` and over the step at which the fault began. Such a mixture has an
expectation of at most one at any stopping time, so the probability that it ever
exceeds ``1 / false_alarm`` is at most ``false_alarm`` (Ville's inequality),
however often the test is evaluated.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from lagoonring.moves.counts import (
    CELL_SEPARATOR,
    CRITERIA,
    CellCounts,
    VersionCounts,
)

if TYPE_CHECKING:
    from lagoonring.moves.options import JudgeOptions

ODDS = (3.0, 8.0, 30.0, 200.0)
MAX_VALUE = 1e100
FIRST_STEP_WEIGHT = 0.5
LATER_STEPS_WEIGHT = 0.34
POOLED_WEIGHT = 1 / 8
ROUTES_WEIGHT = 3 / 8
CELLS_WEIGHT = 1 / 8
CRASH = "crash"
N_BANDS = 3
FRACTION_PRIOR_SAMPLES = 20.0
MAX_FRACTION_SAMPLES = 400.0
MIN_SHARE = 1e-3
MAX_SHARE = 0.999


@attrs.frozen(kw_only=True)
class Finding:
    """Reason for rejecting a version: the criterion, where it failed, the evidence."""

    respect: str
    where: str
    evidence: float

    def __str__(self) -> str:
        where = self.where or "all routes"
        return f"{self.respect} on {where}, evidence {self.evidence:.0f}"


@attrs.define
class Evidence:
    """A mixture of likelihood ratios; ``margin`` is the tolerated odds ratio."""

    margin: float
    n_steps: int = 0
    values: list[float] = attrs.field(factory=lambda: [0.0] * len(ODDS))

    def add(self, n_bad_new: int, n_bad_old: int, share: float) -> float:
        """Add bad results of one period; return the accumulated evidence."""
        share = min(max(share, MIN_SHARE), MAX_SHARE)
        weight = _prior_weight(self.n_steps) / len(ODDS)
        self.n_steps += 1
        tolerated = self.margin * share + 1 - share
        for index, odds in enumerate(ODDS):
            per_bad = math.log(tolerated / (odds * share + 1 - share))
            per_new = math.log(odds / self.margin)
            change = n_bad_new * per_new + (n_bad_new + n_bad_old) * per_bad
            factor = math.exp(min(change, 200.0))
            value = (self.values[index] + weight) * factor
            self.values[index] = min(value, MAX_VALUE)
        return sum(self.values)


@attrs.define
class Fraction:
    """Estimates the recent fraction of a cell's results on the new version."""

    n_new: float = 0.0
    n_all: float = 0.0

    def estimate(self, share: float) -> float:
        """Return the fraction, at least ``share``."""
        n_new = self.n_new + share * FRACTION_PRIOR_SAMPLES
        return max(share, n_new / (self.n_all + FRACTION_PRIOR_SAMPLES))

    def add(self, n_new: int, n_old: int) -> None:
        """Add results; the weight of earlier ones decays."""
        self.n_new += n_new
        self.n_all += n_new + n_old
        if self.n_all > MAX_FRACTION_SAMPLES:
            self.n_new /= 2
            self.n_all /= 2


class Judge:
    """Compares two versions by the totals that instances publish.

    Memory is bounded by the cells per instance times the reporting instances.

    Parameters
    ----------
    move : str
        Key of the move; totals of other moves are ignored.
    options : JudgeOptions
        Margins and error rate.
    """

    def __init__(self, move: str, options: JudgeOptions) -> None:
        self.move = move
        self.options = options
        self.totals: dict[str, tuple[float, dict[str, CellCounts]]] = {}
        self.evidence: dict[tuple[int, str], Evidence] = {}
        self.fractions: dict[str, Fraction] = {}
        self.crashes: dict[str, int] = {}
        self.crash_evidence = Evidence(options.failure_odds)
        self.finding: Finding | None = None
        n_tests = (options.n_routes + 1) * len(CRITERIA)
        self.route_weight = ROUTES_WEIGHT / n_tests
        self.cell_weight = CELLS_WEIGHT / (n_tests * N_BANDS)

    def merge(self, origin: str, counts: VersionCounts) -> Finding | None:
        """Merge an instance's totals; return the finding if there is one."""
        if counts.move != self.move or self.finding is not None:
            return self.finding
        started_s, cells = self.totals.get(origin, (counts.started_s, {}))
        if counts.started_s < started_s:
            return None
        if counts.started_s > started_s:
            cells = {}
        self.totals[origin] = (counts.started_s, cells)
        for name, cell in counts.cells.items():
            previous = cells.get(name)
            if previous is None or previous != cell:
                cells[name] = _copy(cell)
                self._merge_cell(name, cell, previous or CellCounts(), counts.share)
        return self.finding

    def merge_crashes(
        self, counts: VersionCounts, hosts: frozenset[str], n_endpoints: int
    ) -> Finding | None:
        """Merge crashes of endpoints, compared by whether they host the new version.

        Several instances observe the same crash, so the largest count per endpoint
        is used. A crash fails requests of both versions on its endpoint, so the
        comparison is by endpoint and not by the version of the failed requests.
        """
        share = len(hosts) / max(n_endpoints, 1)
        for endpoint, n_reported in counts.crashes.items():
            n_additional = n_reported - self.crashes.get(endpoint, 0)
            if counts.move != self.move or n_additional <= 0:
                continue
            self.crashes[endpoint] = n_reported
            n_new = n_additional if endpoint in hosts else 0
            value = self.crash_evidence.add(n_new, n_additional - n_new, share)
            self._check_evidence(value, POOLED_WEIGHT, CRASH, "")
        return self.finding

    def forget(self, origin: str) -> None:
        """Drop the totals of an instance that has left."""
        self.totals.pop(origin, None)

    def _merge_cell(
        self, name: str, cell: CellCounts, previous: CellCounts, reported_share: float
    ) -> None:
        fraction = self.fractions.setdefault(name, Fraction())
        share = fraction.estimate(reported_share)
        fraction.add(cell.n_new - previous.n_new, cell.n_old - previous.n_old)
        if reported_share <= 0:
            return
        route = name.rpartition(CELL_SEPARATOR)[0]
        for criterion in range(len(CRITERIA)):
            n_new = cell.bad_new[criterion] - previous.bad_new[criterion]
            n_old = cell.bad_old[criterion] - previous.bad_old[criterion]
            if n_new <= 0 and n_old <= 0:
                continue
            for where in ("", route, name):
                self._add_evidence(criterion, where, n_new, n_old, share)

    def _add_evidence(
        self, criterion: int, where: str, n_new: int, n_old: int, share: float
    ) -> None:
        is_failure = criterion == 0
        margin = self.options.failure_odds if is_failure else self.options.latency_odds
        evidence = self.evidence.setdefault((criterion, where), Evidence(margin))
        value = evidence.add(max(n_new, 0), max(n_old, 0), share)
        self._check_evidence(
            value, self._error_share(where), CRITERIA[criterion], where
        )

    def _error_share(self, where: str) -> float:
        """Return the part of the error rate allotted to a test."""
        if not where:
            return POOLED_WEIGHT
        return self.cell_weight if CELL_SEPARATOR in where else self.route_weight

    def _check_evidence(
        self, value: float, weight: float, criterion: str, where: str
    ) -> None:
        if self.finding is None and value * weight >= 1 / self.options.false_alarm:
            self.finding = Finding(respect=criterion, where=where, evidence=value)


def _prior_weight(n_steps: int) -> float:
    """Return the prior weight of a fault that begins after ``n_steps`` steps.

    The weights of all steps sum to less than one.
    """
    if n_steps == 0:
        return FIRST_STEP_WEIGHT
    index = n_steps + 2
    return LATER_STEPS_WEIGHT / (index * math.log(index) ** 2)


def _copy(cell: CellCounts) -> CellCounts:
    return CellCounts(
        n_old=cell.n_old,
        n_new=cell.n_new,
        bad_old=list(cell.bad_old),
        bad_new=list(cell.bad_new),
    )
