"""Measures how the judges of version moves detect bad versions, over many seeds.

Results of attempts are drawn from distributions and passed to the real counters and
judges of 3 to 9 instances. The instances exchange their totals every
``--exchange-s``; each merges its own every second. Prints per kind of bad version:
moves judged, bad versions not detected, the share of all requests since the start
of the trial that went to the bad version, seconds from the first fault to the
verdict, requests started on it more than 2 s after the verdict, and its largest
share of the requests of a whole move; for good versions, how many were condemned.

    python benchmarks/moves_seeds.py --n-seeds 200 --n-processes 4
"""

from __future__ import annotations

import argparse
import concurrent.futures
import heapq
import math
import random

import attrs

from lagoonring.moves.counts import ResultCounter, Sample, VersionCounts
from lagoonring.moves.judge import Judge
from lagoonring.moves.options import MovesOptions
from lagoonring.moves.schedule import plan_steps, share_at

KINDS = ("at_once", "later", "under_load", "one_route", "slow", "crash", "good")
ROUTES = ("chat/short", "chat/long", "plan", "seats")
ROUTE_WEIGHTS = (0.5, 0.25, 0.15, 0.1)
LATENCY_TARGETS_S = (0.35, 0.058)
BASE_FAILURE_SHARE = 0.003
COLD_START_S = 60.0
CRASH_DOWNTIME_S = 20.0
MAX_STOP_DELAY_S = 2.0
LOAD_PERIOD_S = 700.0
MAX_NEW_SHARE = 0.05


@attrs.frozen(kw_only=True)
class Fault:
    """Fault of a new version; a good version has latency factors close to 1."""

    kind: str
    probability: float
    start_s: float
    route: str
    first_token_factor: float
    between_tokens_factor: float


@attrs.define(kw_only=True)
class Outcome:
    """Results of one move; ``shown_s`` is the time of the first fault.

    ``n_all`` counts the requests from the start of the trial to the verdict, ``n_new``
    all requests on the new version, ``n_late`` those on it more than
    ``MAX_STOP_DELAY_S`` after the verdict. ``n_move`` is the expected number of
    requests of the whole move.
    """

    kind: str
    seed: int
    condemned: bool = False
    finding: str = ""
    n_all: int = 0
    n_new: int = 0
    n_late: int = 0
    n_move: float = 1.0
    verdict_s: float = math.inf
    shown_s: float = math.inf


@attrs.define(kw_only=True)
class Attempt:
    """An attempt in progress."""

    started_s: float
    instance: int
    endpoint: int
    sample: Sample
    cut: bool = False


class SimulatedMove:
    """Simulation of one move of one seed."""

    def __init__(
        self,
        kind: str,
        seed: int,
        rate_per_s: float,
        exchange_s: float,
        move_s: float,
    ) -> None:
        self.rng = random.Random(f"{kind}-{seed}")
        self.options = make_options(rate_per_s)
        self.rate_per_s = rate_per_s
        self.exchange_s = exchange_s
        self.next_exchange_s = 0.0
        self.steps = plan_steps(move_s, self.options)
        self.total_s = sum(step.hold_s for step in self.steps)
        self.fault = make_fault(kind, self.rng, self.total_s)
        n_move = rate_per_s * self.total_s
        self.outcome = Outcome(kind=kind, seed=seed, n_move=n_move)
        self.n_endpoints = self.rng.choice((3, 5))
        self.n_instances = self.rng.randint(3, 9)
        self.phase = self.rng.uniform(0, LOAD_PERIOD_S)
        options = self.options.judge
        rows = [VersionCounts(move="m", started_s=0.0) for _ in self._instances()]
        self.counters = [
            ResultCounter(
                row,
                targets_s=LATENCY_TARGETS_S,
                n_routes=options.n_routes,
                n_reference=options.n_reference,
            )
            for row in rows
        ]
        self.judges = [Judge("m", options) for _ in rows]
        self.stopped_s = [math.inf] * self.n_instances
        self.down_until_s = [0.0] * self.n_endpoints
        self.in_progress: list[tuple[float, int, Attempt]] = []
        self.n_started = 0
        self.crash_recorded_s: dict[tuple[int, int], float] = {}
        self.reclaims_s = sorted(self.rng.uniform(0, self.total_s) for _ in range(2))
        self.cut_recorded_s: dict[tuple[int, int, bool], float] = {}

    def run(self) -> Outcome:
        """Simulate until shortly after the verdict or to the end of the ramp."""
        now_s = -60.0
        next_tick_s = now_s
        while now_s < self.total_s:
            now_s += self.rng.expovariate(self.rate_per_s)
            while next_tick_s <= now_s:
                self._tick(next_tick_s)
                next_tick_s += 1.0
            self._finish_until(now_s)
            if self.reclaims_s and now_s > self.reclaims_s[0]:
                self.reclaims_s.pop(0)
                self._crash(self.rng.randrange(self.n_endpoints), now_s)
            self._start_attempt(now_s)
            if now_s > min(self.stopped_s) + 2 * MAX_STOP_DELAY_S:
                break
        return self.outcome

    def _instances(self) -> range:
        return range(self.n_instances)

    def _new_version_share(self, now_s: float) -> float:
        if now_s < 0:
            return 0.0
        return share_at(self.steps, now_s) or self.steps[-1].share

    def _n_hosting(self, share: float) -> int:
        if share <= 0:
            return 0
        return n_hosts(share, self.n_endpoints)

    def _draw_load(self, endpoint: int, now_s: float) -> float:
        base_load = 0.6 + 0.35 * math.sin(
            2 * math.pi * (now_s + self.phase) / LOAD_PERIOD_S
        )
        return min(1.0, max(0.0, base_load + self.rng.gauss(0, 0.08)))

    def _start_attempt(self, now_s: float) -> None:
        instance = self.rng.randrange(self.n_instances)
        share = self._new_version_share(now_s)
        is_new = self.rng.random() < share and now_s < self.stopped_s[instance]
        n_choices = self._n_hosting(share) if is_new else self.n_endpoints
        available = [i for i in range(n_choices) if self.down_until_s[i] < now_s]
        endpoint = self.rng.choice(available or range(n_choices))
        if now_s >= 0 and now_s < min(self.stopped_s):
            self.outcome.n_all += 1
        if is_new:
            self.outcome.n_new += 1
            if now_s > min(self.stopped_s) + MAX_STOP_DELAY_S:
                self.outcome.n_late += 1
        sample, duration_s = self._draw_sample(is_new, endpoint, now_s)
        attempt = Attempt(
            started_s=now_s, instance=instance, endpoint=endpoint, sample=sample
        )
        self.n_started += 1
        heapq.heappush(self.in_progress, (now_s + duration_s, self.n_started, attempt))
        crashes = is_new and self.fault.kind == "crash"
        if crashes and self.rng.random() < self.fault.probability:
            self._crash(endpoint, now_s)

    def _draw_sample(
        self, is_new: bool, endpoint: int, now_s: float
    ) -> tuple[Sample, float]:
        rng = self.rng
        load = self._draw_load(endpoint, now_s)
        route = rng.choices(ROUTES, ROUTE_WEIGHTS)[0]
        first_s = 0.12 * (1 + 1.5 * load**2) * rng.lognormvariate(0, 0.35)
        between_s = 0.03 * (1 + 0.6 * load) * rng.lognormvariate(0, 0.15)
        ok = rng.random() >= BASE_FAILURE_SHARE
        if is_new:
            if now_s < COLD_START_S:
                first_s *= 1.15
            ok, first_s, between_s = self._apply_fault(
                ok, first_s, between_s, route, load, now_s
            )
        n_tokens = rng.randint(40, 300)
        duration_s = first_s + between_s * n_tokens if ok else 0.1
        sample = Sample(
            is_new=is_new,
            route=route,
            load_share=load,
            ok=ok,
            first_token_s=first_s,
            between_tokens_s=between_s,
        )
        return sample, duration_s

    def _apply_fault(
        self,
        ok: bool,
        first_s: float,
        between_s: float,
        route: str,
        load: float,
        now_s: float,
    ) -> tuple[bool, float, float]:
        fault = self.fault
        if fault.kind == "good":
            return (
                ok,
                first_s * fault.first_token_factor,
                between_s * fault.between_tokens_factor,
            )
        is_affected = now_s >= fault.start_s
        is_affected = is_affected and (fault.kind != "under_load" or load > 0.8)
        is_affected = is_affected and (
            fault.kind != "one_route" or route == fault.route
        )
        if not is_affected:
            return ok, first_s, between_s
        self.outcome.shown_s = min(self.outcome.shown_s, now_s)
        if fault.kind == "slow":
            return (
                ok,
                first_s * fault.first_token_factor,
                between_s * fault.between_tokens_factor,
            )
        if fault.kind == "crash":
            return ok, first_s, between_s
        return ok and self.rng.random() >= fault.probability, first_s, between_s

    def _crash(self, endpoint: int, now_s: float) -> None:
        self.down_until_s[endpoint] = now_s + CRASH_DOWNTIME_S
        remaining = []
        for end_s, number, attempt in self.in_progress:
            if attempt.endpoint == endpoint:
                attempt.cut = True
                end_s = now_s
            remaining.append((end_s, number, attempt))
        heapq.heapify(remaining)
        self.in_progress = remaining

    def _finish_until(self, now_s: float) -> None:
        while self.in_progress and self.in_progress[0][0] <= now_s:
            end_s, _, attempt = heapq.heappop(self.in_progress)
            sample = attempt.sample
            if attempt.cut:
                sample = attrs.evolve(sample, ok=False)
                if self._is_repeated_cut(attempt, end_s):
                    continue
            self.counters[attempt.instance].add(sample)

    def _is_repeated_cut(self, attempt: Attempt, now_s: float) -> bool:
        crash = (attempt.instance, attempt.endpoint)
        if (
            now_s - self.crash_recorded_s.get(crash, -math.inf)
            > self.options.cut_window_s
        ):
            self.crash_recorded_s[crash] = now_s
            crashes = self.counters[attempt.instance].counts.crashes
            name = str(attempt.endpoint)
            crashes[name] = crashes.get(name, 0) + 1
        cut = (attempt.instance, attempt.endpoint, attempt.sample.is_new)
        if now_s - self.cut_recorded_s.get(cut, -math.inf) <= self.options.cut_window_s:
            return True
        self.cut_recorded_s[cut] = now_s
        return False

    def _tick(self, now_s: float) -> None:
        share = self._new_version_share(now_s)
        hosts = frozenset(str(i) for i in range(self._n_hosting(share)))
        for counter in self.counters:
            counter.counts.share = share
        is_exchange = now_s >= self.next_exchange_s
        if is_exchange:
            self.next_exchange_s = now_s + self.exchange_s
        for reader in self._instances():
            judge = self.judges[reader]
            for origin in self._instances() if is_exchange else (reader,):
                row = self.counters[origin].counts
                judge.merge(str(origin), row)
                if row.crashes and hosts:
                    judge.merge_crashes(row, hosts, self.n_endpoints)
            if judge.finding is not None and self.stopped_s[reader] == math.inf:
                self._condemn(reader, now_s)

    def _condemn(self, reader: int, now_s: float) -> None:
        outcome = self.outcome
        if not outcome.condemned:
            outcome.condemned = True
            outcome.verdict_s = now_s
            outcome.finding = str(self.judges[reader].finding)
        self.stopped_s[reader] = now_s
        for other in self._instances():
            received_s = now_s + self.rng.uniform(0.005, 0.5)
            self.stopped_s[other] = min(self.stopped_s[other], received_s)


def n_hosts(share: float, n_endpoints: int) -> int:
    """Return the number of endpoints that host the new version at a share."""
    return min(n_endpoints, max(1, math.ceil(share * n_endpoints)))


def make_fault(kind: str, rng: random.Random, total_s: float) -> Fault:
    """Draw a random fault of a kind."""
    is_good = kind == "good"
    low, high = (0.95, 1.05) if is_good else (1.5, 3.0)
    factors = [rng.uniform(low, high), rng.uniform(low, high)]
    if kind == "slow" and rng.random() < 0.67:
        factors[rng.randrange(2)] = 1.0
    probability = rng.uniform(0.05, 0.5) if kind == "crash" else rng.uniform(0.1, 1.0)
    start_s = rng.uniform(0.05, 0.95) * total_s if kind == "later" else 0.0
    return Fault(
        kind=kind,
        probability=probability,
        start_s=start_s,
        route=rng.choice(ROUTES),
        first_token_factor=factors[0],
        between_tokens_factor=factors[1],
    )


def make_options(rate_per_s: float) -> MovesOptions:
    """Return options with a trial long enough for its sample at a request rate."""
    options = MovesOptions()
    min_trial_s = options.n_trial / (rate_per_s * options.trial_share)
    return attrs.evolve(options, trial_s=max(options.trial_s, min_trial_s))


def run_one(job: tuple[str, int, float, float, float]) -> Outcome:
    """Simulate one move."""
    return SimulatedMove(*job).run()


def describe(kind: str, outcomes: list[Outcome]) -> str:
    """Return one line of the table."""
    n_all = len(outcomes)
    condemned = [outcome for outcome in outcomes if outcome.condemned]
    n_late = sum(outcome.n_late for outcome in outcomes)
    if kind == "good":
        return f"{kind:<11} moves={n_all} condemned={len(condemned)}"
    shares = sorted(o.n_new / max(1, o.n_all) for o in outcomes)
    delays = sorted(max(0.0, o.verdict_s - o.shown_s) for o in condemned)
    n_over_limit = sum(share > MAX_NEW_SHARE for share in shares)
    return (
        f"{kind:<11} moves={n_all} missed={n_all - len(condemned)} "
        f"share mean={sum(shares) / n_all:.4f} "
        f"p95={shares[int(0.95 * n_all)]:.4f} max={shares[-1]:.4f} "
        f"over_5%={n_over_limit} "
        f"delay_s p50={_median(delays):.1f} max={delays[-1] if delays else 0:.1f} "
        f"late={n_late} "
        f"most_of_move={max(o.n_new / o.n_move for o in outcomes):.4f}"
    )


def _median(values: list[float]) -> float:
    return values[len(values) // 2] if values else math.nan


def main() -> None:
    """Simulate all seeds and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--n-seeds", type=int, default=200)
    parser.add_argument("--n-good", type=int, default=200)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--n-processes", type=int, default=4)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--move-s", type=float, default=1200.0)
    parser.add_argument("--exchange-s", type=float, default=4.0)
    parser.add_argument("--kinds", default=",".join(KINDS))
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    kinds = options.kinds.split(",")
    jobs = []
    shared = (options.rate, options.exchange_s, options.move_s)
    bad_kinds = [kind for kind in kinds if kind != "good"]
    first = options.first_seed
    for seed in range(first, first + options.n_seeds):
        if bad_kinds:
            jobs.append((bad_kinds[seed % len(bad_kinds)], seed, *shared))
    if "good" in kinds:
        seeds = range(first, first + options.n_good)
        jobs += [("good", seed, *shared) for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(options.n_processes) as pool:
        outcomes = list(pool.map(run_one, jobs))
    for kind in kinds:
        kind_outcomes = [outcome for outcome in outcomes if outcome.kind == kind]
        if kind_outcomes:
            print(describe(kind, kind_outcomes))
    if options.verbose:
        for outcome in outcomes:
            if outcome.condemned != (outcome.kind != "good"):
                print(outcome)


if __name__ == "__main__":
    main()
