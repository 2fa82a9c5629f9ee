"""Plays one soak and tells what it found."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import attrs

from lagoonring.soak.callers import Callers
from lagoonring.soak.deployment import SoakDeployment
from lagoonring.soak.faults import SETTLE_S, Fault, FaultPlayer, schedule
from lagoonring.soak.guarantees import RECOVER_S, Record, Violation, check

if TYPE_CHECKING:
    from pathlib import Path

START_LIMIT_S = 30.0
CALM_S = 4.0  # of load after the time to recover
WATCH_S = 0.1


@attrs.frozen(kw_only=True)
class SoakResult:
    """What one soak played and found."""

    seed: int
    faults: list[Fault]
    n_sent: int
    n_good: int
    violations: list[Violation]


class Watcher:
    """Notes in which times instances and the store were out of touch."""

    def __init__(self, deployment: SoakDeployment) -> None:
        self.deployment = deployment
        self.touch_lost: dict[str, list[tuple[float, float]]] = {}
        self.store_lost: list[tuple[float, float]] = []
        self.drained_s: dict[str, float] = {}

    async def run(self) -> None:
        """Look several times a second."""
        while True:
            self.look()
            await asyncio.sleep(WATCH_S)

    def look(self) -> None:
        """Add the present state."""
        now_s = time.monotonic()
        deployment = self.deployment
        for instance in deployment.instances:
            if now_s < instance.disturbed_s + SETTLE_S:
                spans = self.touch_lost.setdefault(instance.name, [])
                _extend(spans, instance.disturbed_s, now_s)
        if now_s < deployment.store_disturbed_s + SETTLE_S:
            _extend(self.store_lost, deployment.store_disturbed_s, now_s)
        for endpoint in deployment.endpoints:
            if endpoint.draining_s is not None:
                self.drained_s.setdefault(endpoint.life, endpoint.draining_s)


def _extend(spans: list[tuple[float, float]], since_s: float, now_s: float) -> None:
    """Let the last span reach until now, or begin another."""
    if spans and min(since_s, now_s) - spans[-1][1] <= 2 * WATCH_S:
        spans[-1] = (spans[-1][0], now_s)
    else:
        spans.append((min(since_s, now_s), now_s))


async def run_soak(
    seed: int, seconds: float, folder: Path, *, n_per_data_centre: int = 2
) -> SoakResult:
    """Play the faults of a seed for a time, then check the promises.

    Parameters
    ----------
    folder : Path
        Gets the settings and the logs of the instances, and a line for each fault.
    n_each : int
        Instances of each data centre.

    Raises
    ------
    TimeoutError
        If the instances don't serve after their start.
    """
    rng = random.Random(seed)
    faults = schedule(rng, seconds)
    deployment = SoakDeployment(folder, seed, n_per_data_centre=n_per_data_centre)
    callers = Callers(deployment, rng)
    watcher = Watcher(deployment)
    started_s = time.monotonic()
    with (folder / "faults.log").open("w") as lines:

        def note(line: str) -> None:
            at_s = time.monotonic()
            lines.write(f"{at_s:.3f} {at_s - started_s:8.3f} {line}\n")
            lines.flush()

        await deployment.start()
        watching = asyncio.create_task(watcher.run())
        try:
            await callers.start()
            await _wait_until_served(callers)
            await FaultPlayer(deployment, note).play(faults)
            calm_from_s = time.monotonic()
            note("calm")
            await asyncio.sleep(RECOVER_S + CALM_S)
            await callers.stop()
        finally:
            watching.cancel()
            watcher.look()
            await deployment.stop()
        violations = check(
            Record(
                sent=callers.sent,
                runs=deployment.runs,
                duty_calls=deployment.platform.calls,
                route_acked_s=deployment.config_acked_s,
                route_removed_s=deployment.config_removed_s,
                drained_s=watcher.drained_s,
                touch_lost=watcher.touch_lost,
                store_lost=watcher.store_lost,
                own_ends={it.name: it.n_own_ends for it in deployment.instances},
                calm_from_s=calm_from_s,
            )
        )
        for violation in violations:
            note(f"broken {violation.guarantee}: {violation.detail}")
    n_good = sum(sent.status == 200 and sent.is_whole for sent in callers.sent)
    return SoakResult(
        seed=seed,
        faults=faults,
        n_sent=len(callers.sent),
        n_good=n_good,
        violations=violations,
    )


async def _wait_until_served(callers: Callers) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        while not any(sent.status == 200 for sent in callers.sent):
            await asyncio.sleep(WATCH_S)
