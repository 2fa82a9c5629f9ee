"""Results of requests by version, counted by each instance while a service moves.

An instance of a large deployment sees only a few requests of a move. It therefore does
not judge them itself, but counts them in a form that adds up: histograms of latencies
with fixed buckets. The first answer is counted relative to the time that the request
is expected to take at a typical endpoint, so that long prompts and caches that are
still cold don't look like a slow version.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import attrs

from lagoonring.serving.usual_results import UsualRecorder, UsualResults

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.serving.endpoints import EndpointRecord
    from lagoonring.serving.moves import MoveGate, MoveOrder
    from lagoonring.serving.requests import Job

BUCKET_GROWTH = 1.2
N_BUCKETS_PER_E_FOLD = 1 / math.log(BUCKET_GROWTH)
MIN_VALUE = 1e-4  # of a latency, in seconds or relative to the expected one
MAX_GAPS = 8  # between events; by then the speed of a stream shows
MAX_ROUTES = 8  # counted by themselves; all others together
OTHER_ROUTES = "other"

# Number of latencies, and the sums of their logarithms and squared logarithms, in
# thousandths.
LogarithmRow = tuple[int, int, int]
# Started requests, successes and failures, then counts by bucket: first answers, gaps
# between events, and the time that requests without an answer have waited.
VersionRow = tuple[int, int, int, dict[int, int], dict[int, int], dict[int, int]]


def bucket_of(value: float) -> int:
    """Return the number of a latency's bucket; buckets grow by ``BUCKET_GROWTH``."""
    return math.ceil(math.log(max(value, MIN_VALUE)) * N_BUCKETS_PER_E_FOLD)


@attrs.define
class VersionResults:
    """Results of one version on one route; histograms hold counts by bucket.

    ``first`` is the time to the first event or the complete plain answer, relative to
    the expected one, ``between`` the mean time between events in seconds, and
    ``unanswered`` how long requests without an answer have waited, relative like
    ``first``.
    """

    n_started: int = 0
    n_ok: int = 0
    n_failed: int = 0
    first: Counter[int] = attrs.field(factory=Counter)
    between: Counter[int] = attrs.field(factory=Counter)
    unanswered: Counter[int] = attrs.field(factory=Counter)

    def count_results(self) -> int:
        """Return the requests that were answered, if only in part, or failed."""
        return self.n_failed + self.first.total()

    def add(self, row: VersionRow) -> None:
        """Add the results in a row of an instance."""
        n_started, n_ok, n_failed, first, between, unanswered = row
        self.n_started += n_started
        self.n_ok += n_ok
        self.n_failed += n_failed
        self.first.update(first)
        self.between.update(between)
        self.unanswered.update(unanswered)


@attrs.define
class Logarithms:
    """Sums over the logarithms of latencies."""

    n: int = 0
    total: float = 0.0
    total_squares: float = 0.0

    def record(self, value: float) -> None:
        """Add a latency."""
        logarithm = math.log(max(value, MIN_VALUE))
        self.n += 1
        self.total += logarithm
        self.total_squares += logarithm**2

    def shifted(self, shift: float) -> Logarithms:
        """Return the sums with ``shift`` subtracted from each value."""
        squares = self.total_squares - 2 * shift * self.total + self.n * shift**2
        return Logarithms(self.n, self.total - self.n * shift, squares)

    def add(self, other: Logarithms) -> None:
        """Add the sums of other values."""
        self.n += other.n
        self.total += other.total
        self.total_squares += other.total_squares

    def to_row(self) -> LogarithmRow:
        """Return the sums as sent in messages."""
        return self.n, round(self.total * 1e3), round(self.total_squares * 1e3)


@attrs.define
class RouteResults:
    """Results of the old and of the new version on one route.

    ``n_ok_before`` and ``n_failed_before`` count results shortly before the move.
    """

    old: VersionResults = attrs.field(factory=VersionResults)
    new: VersionResults = attrs.field(factory=VersionResults)
    n_ok_before: int = 0
    n_failed_before: int = 0

    def add(self, rows: tuple[VersionRow, VersionRow]) -> None:
        """Add the results in the rows of both versions."""
        self.old.add(rows[0])
        self.new.add(rows[1])


@attrs.frozen(kw_only=True)
class ResultsRow:
    """Counts of one process since a move began, as sent in messages.

    ``life`` identifies the process. ``routes`` holds the old and the new version,
    ``old_endpoints`` the latencies of the old version by route and endpoint, and
    ``before`` the successes and failures by route shortly before the move.
    """

    move: str
    life: int
    routes: dict[str, tuple[VersionRow, VersionRow]]
    old_endpoints: dict[str, dict[str, LogarithmRow]] = attrs.field(factory=dict)
    before: dict[str, tuple[int, int]] = attrs.field(factory=dict)


@attrs.define(eq=False)
class AttemptRecorder:
    """Records the result of one attempt of a request at an endpoint.

    ``expected_s`` is None if the time to the first answer can't be compared, since the
    attempt continues a stream. ``record_answer`` is called with that time relative
    to the expected one.
    """

    results: VersionResults
    sent_s: float
    expected_s: float | None
    running: set[AttemptRecorder]
    record_answer: Callable[[float], None] | None = None
    first_s: float | None = None
    n_gaps: int = 0

    def record_event(self, now_s: float) -> None:
        """Record that an event of a stream was received."""
        if self.first_s is None:
            self._record_first(now_s)
            return
        self.n_gaps += 1
        if self.n_gaps == MAX_GAPS:
            self._record_gaps(now_s)

    def record_end(self, now_s: float, *, ok: bool) -> None:
        """Record the end of an attempt that the endpoint has run."""
        self.running.discard(self)
        if not ok:
            self.results.n_failed += 1
            return
        self.results.n_ok += 1
        if self.first_s is None:
            self._record_first(now_s)
        elif 0 < self.n_gaps < MAX_GAPS:
            self._record_gaps(now_s)

    def record_given_up(self, now_s: float) -> None:
        """Record that the caller left, or that the endpoint did not run the request."""
        if self in self.running and self.first_s is None:
            self._count_wait(self.results.unanswered, now_s)
        self.running.discard(self)

    def count_pending(self, waits: Counter[int], now_s: float) -> None:
        """Count the time waited so far, unless an answer has begun."""
        if self.first_s is None:
            self._count_wait(waits, now_s)

    def _record_first(self, now_s: float) -> None:
        self.first_s = now_s
        self._count_wait(self.results.first, now_s)
        if self.record_answer is not None and self.expected_s is not None:
            self.record_answer((now_s - self.sent_s) / self.expected_s)

    def _record_gaps(self, now_s: float) -> None:
        assert self.first_s is not None
        gap_s = (now_s - self.first_s) / self.n_gaps
        self.results.between[bucket_of(gap_s)] += 1

    def _count_wait(self, waits: Counter[int], now_s: float) -> None:
        if self.expected_s is not None:
            waits[bucket_of((now_s - self.sent_s) / self.expected_s)] += 1


@attrs.define
class MoveResults:
    """Results of this instance for one move, and the attempts in progress."""

    move: str
    before: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    routes: dict[str, RouteResults] = attrs.field(factory=dict)
    running: set[AttemptRecorder] = attrs.field(factory=set)
    old_logarithms: dict[tuple[str, str], Logarithms] = attrs.field(factory=dict)

    def record_old_answer(self, route: str, endpoint: str, value: float) -> None:
        """Record a first answer of an endpoint of the old version."""
        key = (self.name_of(route), endpoint)
        self.old_logarithms.setdefault(key, Logarithms()).record(value)

    def old_endpoint_rows(self) -> dict[str, dict[str, LogarithmRow]]:
        """Return the sums by route and endpoint of the old version."""
        rows: dict[str, dict[str, LogarithmRow]] = {}
        for (route, endpoint), logarithms in self.old_logarithms.items():
            rows.setdefault(route, {})[endpoint] = logarithms.to_row()
        return rows

    def of_route(self, name: str) -> RouteResults:
        """Return the results of a route, or the common ones beyond ``MAX_ROUTES``."""
        return self.routes.setdefault(self.name_of(name), RouteResults())

    def name_of(self, route: str) -> str:
        """Return the name under which a route is counted."""
        if route not in self.routes and len(self.routes) >= MAX_ROUTES:
            return OTHER_ROUTES
        return route

    def rows(self, now_s: float) -> dict[str, tuple[VersionRow, VersionRow]]:
        """Return the results by route, with the attempts that wait for an answer."""
        pending: dict[int, Counter[int]] = {}
        for recorder in self.running:
            waits = pending.setdefault(id(recorder.results), Counter())
            recorder.count_pending(waits, now_s)
        return {
            name: (_to_row(route.old, pending), _to_row(route.new, pending))
            for name, route in self.routes.items()
        }


class VersionCounters:
    """This instance's results of each running move.

    Parameters
    ----------
    gate : MoveGate
        Tells which moves are running.
    life : int
        Identifies this process.
    """

    def __init__(self, gate: MoveGate, clock: Clock, *, life: int) -> None:
        self.gate = gate
        self.clock = clock
        self.life = life
        self.moves: dict[str, MoveResults] = {}
        self.usual = UsualResults()

    def begin_usual(self, job: Job) -> UsualRecorder:
        """Return what records an attempt while the service does not move."""
        return UsualRecorder(self.usual, job.service, job.route.name)

    def begin(
        self, job: Job, record: EndpointRecord, expected_s: float | None
    ) -> AttemptRecorder | None:
        """Count an attempt at an endpoint; None if the service is not moving."""
        order = self.gate.running_order(job.service)
        if order is None:
            self.moves.pop(job.service, None)
            return None
        results = self._results_of(order)
        route = results.of_route(job.route.name)
        is_new = record.version == order.target
        counted = route.new if is_new else route.old
        counted.n_started += 1
        recorder = AttemptRecorder(
            counted, self.clock.monotonic(), expected_s, results.running
        )
        if not is_new:
            recorder.record_answer = partial(
                results.record_old_answer, job.route.name, record.endpoint
            )
        results.running.add(recorder)
        return recorder

    def rows(self) -> dict[str, ResultsRow]:
        """Return the results of the running moves by service, as sent to peers."""
        now_s = self.clock.monotonic()
        return {
            service: ResultsRow(
                move=results.move,
                life=self.life,
                routes=results.rows(now_s),
                old_endpoints=results.old_endpoint_rows(),
                before=results.before,
            )
            for service, results in self.moves.items()
            if self.gate.running_order(service) is not None
        }

    def _results_of(self, order: MoveOrder) -> MoveResults:
        results = self.moves.get(order.service)
        if results is None or results.move != order.name:
            before = self.usual.read(order.service, self.clock.monotonic())
            results = self.moves[order.service] = MoveResults(order.name, before)
        return results


def sum_rows(rows: list[ResultsRow]) -> dict[str, RouteResults]:
    """Return the sums by route over the rows of several processes."""
    sums: dict[str, RouteResults] = {}
    for row in rows:
        for name, versions in row.routes.items():
            sums.setdefault(name, RouteResults()).add(versions)
        for name, (n_ok, n_failed) in row.before.items():
            route = sums.setdefault(name, RouteResults())
            route.n_ok_before += n_ok
            route.n_failed_before += n_failed
    return sums


def sum_deviations(rows: list[ResultsRow]) -> dict[str, Logarithms]:
    """Return how latencies of the old version's endpoints differ from the average.

    The sums by endpoint, over several processes, of the logarithms less the average
    logarithm of their route: endpoints that get other routes can be compared.
    """
    sums: dict[str, dict[str, Logarithms]] = {}
    for row in rows:
        for route, endpoints in row.old_endpoints.items():
            for endpoint, (n, total_milli, squares_milli) in endpoints.items():
                known = sums.setdefault(route, {}).setdefault(endpoint, Logarithms())
                known.add(Logarithms(n, total_milli / 1e3, squares_milli / 1e3))
    deviations: dict[str, Logarithms] = {}
    for by_endpoint in sums.values():
        n = sum(one.n for one in by_endpoint.values())
        average = sum(one.total for one in by_endpoint.values()) / n
        for endpoint, one in by_endpoint.items():
            shifted = one.shifted(average)
            deviations.setdefault(endpoint, Logarithms()).add(shifted)
    return deviations


def _to_row(results: VersionResults, pending: dict[int, Counter[int]]) -> VersionRow:
    unanswered = results.unanswered + pending.get(id(results), Counter())
    return (
        results.n_started,
        results.n_ok,
        results.n_failed,
        dict(results.first),
        dict(results.between),
        dict(unanswered),
    )
