"""Counts of good and bad results by version, route and load band.

A result is bad by up to three criteria: it failed, its first token was slow, or the
time between its tokens was slow. Slow means above the 95th percentile of the old
version's recent results on the same route and band at this instance, or above the
class target while there are too few such results.
"""

from __future__ import annotations

import bisect
import itertools

import attrs

CRITERIA = ("failure", "first_token", "between_tokens")
BAND_EDGES = (0.5, 0.85)
BUCKET_GROWTH = 1.1
FIRST_BUCKET_S = 0.001
N_BUCKETS = 130
BUCKETS_S = tuple(
    itertools.accumulate(
        range(N_BUCKETS - 1),
        lambda edge_s, _: edge_s * BUCKET_GROWTH,
        initial=FIRST_BUCKET_S,
    )
)
SLOW_QUANTILE = 0.95
MAX_HISTOGRAM_SAMPLES = 1000
OTHER_ROUTE = "other"
CELL_SEPARATOR = "|"


def load_band(load_share: float) -> int:
    """Return the load band, from 0 (light) to 2 (heavy), of a share of busy slots."""
    return bisect.bisect_right(BAND_EDGES, load_share)


@attrs.define
class Histogram:
    """Latencies in fixed logarithmic buckets; the weight of old samples decays."""

    counts: list[float] = attrs.field(factory=lambda: [0.0] * N_BUCKETS)
    n_samples: float = 0.0

    def add(self, value_s: float) -> None:
        """Count a latency; halve all counts at :data:`MAX_HISTOGRAM_SAMPLES`."""
        index = min(bisect.bisect_left(BUCKETS_S, value_s), N_BUCKETS - 1)
        self.counts[index] += 1
        self.n_samples += 1
        if self.n_samples >= MAX_HISTOGRAM_SAMPLES:
            self.counts = [count / 2 for count in self.counts]
            self.n_samples /= 2

    def quantile(self, quantile: float) -> float:
        """Return the upper edge, in seconds, of the bucket of a quantile."""
        remaining = quantile * self.n_samples
        for index, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 0:
                return BUCKETS_S[index]
        return BUCKETS_S[-1]


@attrs.define(kw_only=True)
class CellCounts:
    """Counts of one route and load band; lists follow :data:`CRITERIA`."""

    n_old: int = 0
    n_new: int = 0
    bad_old: list[int] = attrs.field(factory=lambda: [0, 0, 0])
    bad_new: list[int] = attrs.field(factory=lambda: [0, 0, 0])


@attrs.define(kw_only=True)
class VersionCounts:
    """The totals of one instance for one move.

    ``started_s`` distinguishes these totals from those before a restart. ``share``
    is the current share at the instance. ``crashes`` counts the crashes of each
    endpoint that the instance observed.
    """

    move: str
    started_s: float
    share: float = 0.0
    cells: dict[str, CellCounts] = attrs.field(factory=dict)
    crashes: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class CountsRow:
    """A row of kind ``version_counts``: :class:`VersionCounts` in compact form.

    A cell is a list: the numbers of old and of new results, then of bad old and of
    bad new results, each in the order of :data:`CRITERIA`.
    """

    move: str
    started_s: float
    share: float
    cells: dict[str, list[int]]
    crashes: dict[str, int]


def pack(counts: VersionCounts) -> CountsRow:
    """Return totals in the form that is published."""
    cells = {
        name: [cell.n_old, cell.n_new, *cell.bad_old, *cell.bad_new]
        for name, cell in counts.cells.items()
    }
    return CountsRow(
        move=counts.move,
        started_s=counts.started_s,
        share=counts.share,
        cells=cells,
        crashes=dict(counts.crashes),
    )


def unpack(row: CountsRow) -> VersionCounts:
    """Return the totals of a row; cells of unexpected length are skipped."""
    n_criteria = len(CRITERIA)
    cells = {
        name: CellCounts(
            n_old=values[0],
            n_new=values[1],
            bad_old=values[2 : 2 + n_criteria],
            bad_new=values[2 + n_criteria :],
        )
        for name, values in row.cells.items()
        if len(values) == 2 + 2 * n_criteria
    }
    return VersionCounts(
        move=row.move,
        started_s=row.started_s,
        share=row.share,
        cells=cells,
        crashes=row.crashes,
    )


@attrs.frozen(kw_only=True)
class Sample:
    """Result of one attempt as compared; times are in seconds or None."""

    is_new: bool
    route: str
    load_share: float
    ok: bool
    first_token_s: float | None = None
    between_tokens_s: float | None = None


class ResultCounter:
    """Counts the results of this instance for one move.

    Parameters
    ----------
    counts : VersionCounts
        The totals to update.
    targets_s : tuple of float
        Class targets of first token and between tokens, in seconds.
    n_routes : int
        Maximum number of routes counted on their own; all others are combined.
    n_reference : int
        Samples of the old version after which its percentile replaces the target.
    """

    def __init__(
        self,
        counts: VersionCounts,
        *,
        targets_s: tuple[float, float],
        n_routes: int,
        n_reference: int,
    ) -> None:
        self.counts = counts
        self.targets_s = targets_s
        self.n_routes = n_routes
        self.n_reference = n_reference
        self.routes: set[str] = set()
        self.references: dict[tuple[str, int], Histogram] = {}
        self.limits_s: dict[tuple[str, int], float] = {}

    def add(self, sample: Sample) -> None:
        """Count one attempt."""
        name = self._cell_name(sample)
        cell = self.counts.cells.setdefault(name, CellCounts())
        bad = cell.bad_new if sample.is_new else cell.bad_old
        if sample.is_new:
            cell.n_new += 1
        else:
            cell.n_old += 1
        if not sample.ok:
            bad[0] += 1
            return
        latencies = (sample.first_token_s, sample.between_tokens_s)
        for index, latency_s in enumerate(latencies):
            if latency_s is None:
                continue
            if latency_s > self._slow_limit_s(name, index):
                bad[index + 1] += 1
            if not sample.is_new:
                self._update_reference(name, index, latency_s)

    def _cell_name(self, sample: Sample) -> str:
        route = sample.route.replace(CELL_SEPARATOR, "/")
        if route not in self.routes:
            if len(self.routes) >= self.n_routes:
                route = OTHER_ROUTE
            self.routes.add(route)
        return f"{route}{CELL_SEPARATOR}{load_band(sample.load_share)}"

    def _slow_limit_s(self, name: str, index: int) -> float:
        return self.limits_s.get((name, index), self.targets_s[index])

    def _update_reference(self, name: str, index: int, latency_s: float) -> None:
        key = (name, index)
        histogram = self.references.setdefault(key, Histogram())
        histogram.add(latency_s)
        if histogram.n_samples < self.n_reference:
            return
        is_first = key not in self.limits_s
        if is_first or int(histogram.n_samples) % self.n_reference == 0:
            self.limits_s[key] = histogram.quantile(SLOW_QUANTILE)
