"""Compares the results of a new version with those of the old one.

Answers the load of a move: some hundred requests of the old version and some tens of
the new one, at many instances, of which a part may fail or be slow on one route only.
Pure functions of the sums over all instances.

"Slow" has no fixed limit: a result is slow if it lies above a quantile of the old
version's results on the same route. How many of the new version's results may be slow
or failed by chance follows from the old version's counts (the posterior predictive
distribution, which is beta-binomial), so that few results of either version make the
comparison cautious instead of wrong.

Failures are also compared with those before the move: while the old version fails for
other reasons, a bad version looks no worse.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from lagoonring.serving.version_results import (
        Logarithms,
        RouteResults,
        VersionResults,
    )

    ReadHistograms = Callable[[VersionResults], tuple[Counter[int], Counter[int]]]

QUANTILES = (0.5, 0.8, 0.95)  # of the old version; a fault may hit many or few results
MIN_OLD_RESULTS = 10  # on a route; fewer do not determine a quantile
MIN_NEW_RESULTS = 12  # a fault of three in ten then shows with 99 in 100
MAX_FAILURE_ODDS = 1.5  # tolerated ratio of the odds of a failure
MAX_LATENCY_ODDS = 1.5  # likewise of a slow result
# Under full load any version is slower at first: connections are new, queues longer.
LOADED_SLACK_BUCKETS = 3  # a factor of 1.7
PRIOR = 0.5  # of Jeffreys, for the share of bad results
EARLY_ERROR_RATE = 0.001  # per look; a move is looked at twice a second
FINAL_ERROR_RATE = 0.05  # one good version in twenty may be undone
CRITERION_WEIGHT = 1 / 4  # failures twice, first answers and gaps between events
UNEVEN_RATIO = 1.6  # of times at two endpoints; healthy ones differ by less
N_ERRORS = 4.0  # standard errors; some tens of endpoints are compared
ALL_ROUTES = "all routes"
ALL_ROUTES_WEIGHT = 0.5  # of the error rate; the rest is split among the routes


class Verdict(enum.Enum):
    """What the results of a move show so far."""

    WORSE = "worse"
    AS_GOOD = "as_good"
    UNDECIDED = "undecided"


@attrs.frozen(kw_only=True)
class Sample:
    """Results of both versions by one criterion, and how many of them were bad.

    ``weight`` is the criterion's part of the error rate. ``reference`` is what the new
    version is compared with.
    """

    criterion: str
    n_old: int
    bad_old: int
    n_new: int
    bad_new: int
    max_odds: float
    weight: float
    reference: str = "old"

    def __add__(self, other: Sample) -> Sample:
        return attrs.evolve(
            self,
            n_old=self.n_old + other.n_old,
            bad_old=self.bad_old + other.bad_old,
            n_new=self.n_new + other.n_new,
            bad_new=self.bad_new + other.bad_new,
        )


@attrs.frozen(kw_only=True)
class Finding:
    """The difference between the versions that chance explains least.

    ``probability`` is that of so many bad results if the new version is no worse,
    divided by the part of the error rate that this comparison has.
    """

    sample: Sample
    where: str
    probability: float

    def __str__(self) -> str:
        sample = self.sample
        return (
            f"{sample.criterion} on {self.where}: {sample.bad_new} of {sample.n_new}, "
            f"{sample.reference} {sample.bad_old} of {sample.n_old}, "
            f"p {self.probability:.1e}"
        )


def find_difference(
    routes: Mapping[str, RouteResults], *, slack_buckets: int = 0
) -> Finding | None:
    """Return the least probable difference, or None if nothing can be compared.

    ``slack_buckets`` is by how many buckets of the histograms the new version's answers
    may be slower than the old version's without being slow.
    """
    by_route = {
        name: list(_samples(route, slack_buckets)) for name, route in routes.items()
    }
    sums: dict[tuple[str, str], Sample] = {}
    for samples in by_route.values():
        for sample in samples:
            key = (sample.criterion, sample.reference)
            sums[key] = sums[key] + sample if key in sums else sample
    n_routes = max(sum(map(bool, by_route.values())), 1)
    findings = [
        *_find(sums.values(), ALL_ROUTES, ALL_ROUTES_WEIGHT),
        *(
            finding
            for name, samples in by_route.items()
            for finding in _find(samples, name, (1 - ALL_ROUTES_WEIGHT) / n_routes)
        ),
    ]
    return min(findings, key=lambda finding: finding.probability, default=None)


def is_uneven(endpoints: Mapping[str, Logarithms]) -> bool:
    """Return whether some endpoints of the old version are much slower than others.

    Its results then say little about what a version should achieve: a slow version
    looks like the slow endpoints.
    """
    known = [
        (one.total / one.n, _squared_error(one))
        for one in endpoints.values()
        if one.n >= MIN_OLD_RESULTS
    ]
    if len(known) < 2:
        return False
    slow, fast = max(known), min(known)
    difference = slow[0] - fast[0]
    error = math.sqrt(slow[1] + fast[1])
    return difference > math.log(UNEVEN_RATIO) and difference > N_ERRORS * error


def judge(
    routes: Mapping[str, RouteResults], finding: Finding | None, *, uneven: bool = False
) -> Verdict:
    """Return what the results show, given their least probable difference.

    A version is as good only if enough of its results say so, compared with an old
    version that is not ``uneven``: a bad version that is kept costs every caller, a
    good one that is undone costs one move.
    """
    if finding is not None and finding.probability < EARLY_ERROR_RATE:
        return Verdict.WORSE
    n_new = sum(route.new.count_results() for route in routes.values())
    n_old = sum(route.old.count_results() for route in routes.values())
    if finding is None or min(n_new, n_old) < MIN_NEW_RESULTS:
        return Verdict.UNDECIDED
    if finding.probability < FINAL_ERROR_RATE or uneven:
        return Verdict.UNDECIDED
    return Verdict.AS_GOOD


def _squared_error(deviations: Logarithms) -> float:
    """Return the squared standard error of an endpoint's average deviation."""
    average = deviations.total / deviations.n
    variance = max(deviations.total_squares / deviations.n - average**2, 0.0)
    return variance / deviations.n


def tail_probability(sample: Sample) -> float:
    """Return the probability of as many bad results of a version that is no worse."""
    a = (sample.bad_old + PRIOR) * sample.max_odds
    b = sample.n_old - sample.bad_old + PRIOR
    n = sample.n_new
    if sample.bad_new <= n * a / (a + b):
        return 1.0
    base = math.lgamma(a + b) - math.lgamma(a) - math.lgamma(b)
    base += math.lgamma(n + 1) - math.lgamma(a + b + n)
    return sum(
        math.exp(
            base
            - math.lgamma(k + 1)
            - math.lgamma(n - k + 1)
            + math.lgamma(a + k)
            + math.lgamma(b + n - k)
        )
        for k in range(sample.bad_new, n + 1)
    )


def _find(samples: Iterable[Sample], where: str, weight: float) -> Iterator[Finding]:
    """Yield the differences; ``weight`` is the part of the error rate for them all."""
    for sample in samples:
        probability = min(tail_probability(sample) / (weight * sample.weight), 1.0)
        yield Finding(sample=sample, where=where, probability=probability)


def _samples(route: RouteResults, slack_buckets: int) -> Iterator[Sample]:
    """Yield the comparisons of a route with results of the new version.

    Those with the old version need enough results of it, as do those before the move.
    """
    if not route.new.count_results() + route.new.unanswered.total():
        return
    if route.n_ok_before + route.n_failed_before >= MIN_OLD_RESULTS:
        yield Sample(
            criterion="failures",
            n_old=route.n_ok_before + route.n_failed_before,
            bad_old=route.n_failed_before,
            n_new=route.new.n_ok + route.new.n_failed,
            bad_new=route.new.n_failed,
            max_odds=MAX_FAILURE_ODDS,
            weight=CRITERION_WEIGHT,
            reference="before",
        )
    if route.old.count_results() < MIN_OLD_RESULTS:
        return
    yield Sample(
        criterion="failures",
        n_old=route.old.n_ok + route.old.n_failed,
        bad_old=route.old.n_failed,
        n_new=route.new.n_ok + route.new.n_failed,
        bad_new=route.new.n_failed,
        max_odds=MAX_FAILURE_ODDS,
        weight=CRITERION_WEIGHT,
    )
    for quantile in QUANTILES:
        yield _latency_sample(
            "first answer", quantile, route, _first_and_waiting, slack_buckets
        )
    if route.old.between.total() >= MIN_OLD_RESULTS:
        for quantile in QUANTILES:
            yield _latency_sample(
                "between events", quantile, route, _between, slack_buckets
            )


def _latency_sample(
    criterion: str,
    quantile: float,
    route: RouteResults,
    read: ReadHistograms,
    slack_buckets: int,
) -> Sample:
    old, old_waiting = read(route.old)
    new, new_waiting = read(route.new)
    limit = _quantile(old, quantile)
    new_limit = limit + slack_buckets
    bad_old, bad_new = _above(old, limit), _above(new, new_limit)
    waiting_old = _above(old_waiting, limit)
    waiting_new = _above(new_waiting, new_limit)
    return Sample(
        criterion=f"{criterion} above {quantile:.0%} of the old version's",
        n_old=old.total() + waiting_old,
        bad_old=bad_old + waiting_old,
        n_new=new.total() + waiting_new,
        bad_new=bad_new + waiting_new,
        max_odds=MAX_LATENCY_ODDS,
        weight=CRITERION_WEIGHT / len(QUANTILES),
    )


def _first_and_waiting(results: VersionResults) -> tuple[Counter[int], Counter[int]]:
    """Return the first answers, and the requests that still wait for one."""
    return results.first, results.unanswered


def _between(results: VersionResults) -> tuple[Counter[int], Counter[int]]:
    return results.between, type(results.between)()


def _quantile(histogram: Counter[int], quantile: float) -> int:
    """Return the bucket of a quantile."""
    left = quantile * histogram.total()
    for bucket in sorted(histogram):
        left -= histogram[bucket]
        if left <= 0:
            return bucket
    return max(histogram, default=0)


def _above(histogram: Counter[int], bucket: int) -> int:
    return sum(count for key, count in histogram.items() if key > bucket)
