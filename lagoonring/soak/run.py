"""Runs one soak: injects its faults, then checks the guarantees."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from lagoonring.soak.callers import Callers
from lagoonring.soak.deployment import SoakDeployment
from lagoonring.soak.faults import KINDS, SETTLE_S, Fault, FaultInjector, schedule
from lagoonring.soak.guarantees import RECOVERY_S, SoakRecord, Violation, check
from lagoonring.soak.relays import read_relayed

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

START_TIMEOUT_S = 30.0
RECOVERED_LOAD_S = 4.0  # duration of load after the time allowed for recovery
SAMPLE_INTERVAL_S = 0.1


@attrs.frozen(kw_only=True)
class SoakResult:
    """Faults, request counts and violations of one soak.

    ``stops`` counts the calls that stopped a run to move it, by what became of them,
    ``n_moved`` the runs that went on after one, ``n_cut`` the streams that were cut,
    ``n_relayed`` the requests that an instance asked another one to relay, and
    ``n_relayed_moved`` the streams that a move stopped while they were relayed, and
    that went on.
    """

    seed: int
    faults: list[Fault]
    n_sent: int
    n_good: int
    n_moved: int
    n_cut: int
    n_relayed: int
    n_relayed_moved: int
    stops: dict[str, int]
    violations: list[Violation]


class DisruptionMonitor:
    """Records the time spans in which faults disrupted instances or the store."""

    def __init__(self, deployment: SoakDeployment) -> None:
        self.deployment = deployment
        self.disrupted_spans: dict[str, list[tuple[float, float]]] = {}
        self.store_disrupted_spans: list[tuple[float, float]] = []
        self.drain_started_s: dict[str, float] = {}

    async def run(self) -> None:
        """Sample the state every ``SAMPLE_INTERVAL_S``."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Add the current state of the deployment to the spans."""
        now_s = time.monotonic()
        deployment = self.deployment
        for instance in deployment.instances:
            if now_s < instance.disrupted_until_s + SETTLE_S:
                spans = self.disrupted_spans.setdefault(instance.name, [])
                _extend_spans(spans, instance.disrupted_until_s, now_s)
        if now_s < deployment.store_disrupted_until_s + SETTLE_S:
            _extend_spans(
                self.store_disrupted_spans, deployment.store_disrupted_until_s, now_s
            )
        for endpoint in deployment.endpoints:
            if endpoint.drain_started_s is not None:
                self.drain_started_s.setdefault(
                    endpoint.endpoint_id, endpoint.drain_started_s
                )


def _extend_spans(
    spans: list[tuple[float, float]], since_s: float, now_s: float
) -> None:
    """Extend the last span until now, or start a new one after a gap."""
    if spans and min(since_s, now_s) - spans[-1][1] <= 2 * SAMPLE_INTERVAL_S:
        spans[-1] = (spans[-1][0], now_s)
    else:
        spans.append((min(since_s, now_s), now_s))


async def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    *,
    n_per_data_centre: int = 2,
    kinds: Sequence[str] = tuple(KINDS),
    other_python: Path | None = None,
) -> SoakResult:
    """Inject the faults of a seed for some seconds, then check the guarantees.

    Parameters
    ----------
    seed : int
        Seed of the faults, the load and the endpoints.
    seconds : float
        Duration in which faults start.
    folder : Path
        Where the instances' settings and logs and ``faults.log`` are written.
    n_per_data_centre : int
        Number of instances in each data centre.
    kinds : sequence of str
        The kinds of faults to inject; see `lagoonring.soak.faults.KINDS`.
    other_python : Path or None
        Python of another installed build, which runs every second instance. Names of
        these instances end with ``OTHER_SUFFIX``.

    Raises
    ------
    TimeoutError
        If no request is answered with status 200 within ``START_TIMEOUT_S``.
    """
    rng = random.Random(seed)
    faults = schedule(rng, seconds, kinds)
    deployment = SoakDeployment(
        folder, seed, n_per_data_centre=n_per_data_centre, other_python=other_python
    )
    callers = Callers(deployment, rng)
    monitor = DisruptionMonitor(deployment)
    started_s = time.monotonic()
    with (folder / "faults.log").open("w") as fault_log:

        def log_line(line: str) -> None:
            at_s = time.monotonic()
            fault_log.write(f"{at_s:.3f} {at_s - started_s:8.3f} {line}\n")
            fault_log.flush()

        await deployment.start()
        monitor_task = asyncio.create_task(monitor.run())
        try:
            await callers.start()
            await _wait_until_served(callers)
            await FaultInjector(deployment, log_line).inject(faults)
            faults_ended_s = time.monotonic()
            log_line("calm")
            await asyncio.sleep(RECOVERY_S + RECOVERED_LOAD_S)
            ended_s = time.monotonic()
            await callers.stop()
        finally:
            monitor_task.cancel()
            monitor.sample()
            await deployment.stop()
        relayed = read_relayed(deployment.instances)
        violations = check(
            SoakRecord(
                requests=callers.requests,
                runs=deployment.runs,
                duty_calls=deployment.platform.calls,
                route_acked_s=deployment.route_acked_s,
                route_removed_s=deployment.route_removed_s,
                drain_started_s=monitor.drain_started_s,
                disrupted_spans=monitor.disrupted_spans,
                store_disrupted_spans=monitor.store_disrupted_spans,
                unplanned_spans={
                    instance.name: instance.unplanned_spans
                    for instance in deployment.instances
                }
                | {
                    endpoint.name: endpoint.unplanned_spans
                    for endpoint in deployment.endpoints
                },
                unreached_spans={
                    endpoint.name: endpoint.unreached_spans
                    for endpoint in deployment.endpoints
                },
                misbehaving_ids=deployment.misbehaving_ids,
                planned_work=deployment.planned_work,
                unexpected_exits={
                    instance.name: instance.n_unexpected_exits
                    for instance in deployment.instances
                },
                faults_ended_s=faults_ended_s,
                orders=deployment.operator.orders,
                statuses=deployment.operator.statuses,
                ended_s=ended_s,
                lost_path_spans={
                    instance.name: instance.lost_path_spans
                    for instance in deployment.instances
                },
                relays=relayed.relays,
            )
        )
        for violation in violations:
            log_line(f"broken {violation.guarantee}: {violation.detail}")
    n_good = sum(
        request.status == 200 and request.is_complete for request in callers.requests
    )
    return SoakResult(
        seed=seed,
        faults=faults,
        n_sent=len(callers.requests),
        n_good=n_good,
        n_moved=sum(run.is_moved for run in deployment.runs),
        n_cut=sum(
            request.status == 200 and not request.is_complete
            for request in callers.requests
        ),
        n_relayed=len(relayed.relays),
        n_relayed_moved=relayed.count_moved(deployment.runs),
        stops=Counter(
            call.outcome.value for call in deployment.move_calls() if call.is_last
        ),
        violations=violations,
    )


async def _wait_until_served(callers: Callers) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while not any(request.status == 200 for request in callers.requests):
            await asyncio.sleep(SAMPLE_INTERVAL_S)
