"""Makes concurrent edits through several instances while answers of the log get lost.

All readers must end in the same state, each applied edit must be in force unless a
later one replaced it, and refused edits must have no effect. Usage::

    python benchmarks/catalogue_races.py --n-edits 1000
"""

from __future__ import annotations

import asyncio
import random
import time

import attrs
import typer

from lagoonring.catalogue import CatalogueOptions, CatalogueService, ConflictError
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.catalogues import make_edit, make_first_edit, set_class
from lagoonring.tests.builders.logs import InstanceLog, make_application

LOG_DELAY_S = 0.002
LOST_ANSWER_SHARE = 0.1
N_CLASSES = 40
N_OPERATORS = 16
POLL_INTERVAL_S = 1.0


@attrs.frozen
class AppliedEdit:
    """An applied edit, which set the priority of a class."""

    revision: int
    name: str
    priority: int


async def race(n_edits: int, n_instances: int, seed: int) -> str:
    """Make the edits and return a line with the results."""
    rng = random.Random(seed)
    log = LogStandin()
    options = CatalogueOptions(poll_s=POLL_INTERVAL_S, retry_s=0.02)
    apps = [make_application(seed=index) for index in range(n_instances)]
    services = [CatalogueService(app, options, log=InstanceLog(log)) for app in apps]
    for app, service in zip(apps, services, strict=True):
        app.add(service)
        await app.start()
        await service.ready.wait()
    await services[0].apply(make_first_edit())
    log.faults.delay_s = LOG_DELAY_S
    applied: list[AppliedEdit] = []
    refused: list[int] = []
    latencies: list[float] = []

    async def edit_one(index: int) -> None:
        service = rng.choice(services)
        name, priority = f"c{rng.randrange(N_CLASSES)}", rng.randrange(10)
        change = set_class(name, priority)
        edit = make_edit(f"e{index}", change, base=service.revision)
        if rng.random() < LOST_ANSWER_SHARE:
            log.faults.n_lost_answers += 1
        started_s = time.perf_counter()
        try:
            revision = await service.apply(edit)
            applied.append(AppliedEdit(revision, name, priority))
        except ConflictError as error:
            refused.append(error.revision)
        latencies.append(time.perf_counter() - started_s)

    async def run_operator(first: int) -> None:
        for index in range(first, n_edits, N_OPERATORS):
            await edit_one(index)

    started_s = time.monotonic()
    await asyncio.gather(*(run_operator(first) for first in range(N_OPERATORS)))
    elapsed_s = time.monotonic() - started_s
    end_offset = log.streams["config"].next_offset
    for service in services:
        while service.follower.state.next_offset < end_offset:
            await service.state_advanced.wait()
    expected = {
        item.name: item.priority
        for item in sorted(applied, key=lambda item: item.revision)
    }
    n_wrong = 0
    for service in services:
        classes = service.content.classes
        actual = {name: item.priority for name, item in classes.items()}
        n_wrong += {**actual, **expected} != actual
        n_wrong += service.follower.state != services[0].follower.state
    revisions = {item.revision for item in applied}
    n_unexpected_refusals = sum(revision not in revisions for revision in refused)
    for app in apps:
        await app.stop()
    latencies.sort()
    return (
        f"{n_edits} edits, {n_instances} instances: {len(applied)} applied, "
        f"{len(refused)} refused, {n_wrong} readers wrong, "
        f"{n_unexpected_refusals} odd refusals, "
        f"{elapsed_s:.1f} s, p50 {1000 * latencies[len(latencies) // 2]:.0f} ms, "
        f"p95 {1000 * latencies[int(len(latencies) * 0.95)]:.0f} ms"
    )


def main(n_edits: int = 1000, n_instances: int = 6, seed: int = 0) -> None:
    """Run the edits once and print the results."""
    typer.echo(asyncio.run(race(n_edits, n_instances, seed)))


if __name__ == "__main__":
    typer.run(main)
