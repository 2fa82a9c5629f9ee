"""Counts bookings that run twice under faults, over many seeds.

Each seed makes bookings, in virtual time, through instances that are killed, paused
and disconnected, over a log that has outages and loses answers. Usage::

    python benchmarks/claims_faults.py --n-bookings 500 --n-seeds 20
"""

from __future__ import annotations

import collections
import random
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import attrs
import typer

from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.bookings import Recorder, run_bookings
from lagoonring.tests.builders.claims import FAST_OPTIONS, ClaimsFleet
from lagoonring.tests.builders.logs import VirtualClock, run_virtual

LOG_DELAY_S = 0.005
N_RETAINED_RECORDS = 200
MAX_DATA_CENTRES = 3
N_INSTANCES = 6
SNAPSHOT_EVERY = 50


@attrs.frozen
class Result:
    """Results of one seed.

    ``told`` counts the outcomes reported to callers, ``lasts`` only the last outcome
    of each key, after the faults.
    """

    seed: int
    n_run: int
    run_twice: list[str]
    falsely_not_run: list[str]
    wrong_answers: list[str]
    stuck: list[str]
    told: collections.Counter[str]
    lasts: collections.Counter[str]
    n_faults: int


async def book_under_faults(seed: int, n_bookings: int) -> Recorder:
    """Make the bookings of one seed and return the recorder."""
    log = LogStandin(VirtualClock(), n_kept=N_RETAINED_RECORDS)
    log.faults.delay_s = LOG_DELAY_S
    options = attrs.evolve(FAST_OPTIONS, snapshot_every=SNAPSHOT_EVERY)
    n_data_centres = 1 + seed % MAX_DATA_CENTRES
    fleet = ClaimsFleet(
        log, random.Random(seed), options, n_data_centres=n_data_centres
    )
    recorder = await run_bookings(
        fleet, fleet.rng, n_bookings=n_bookings, n_instances=N_INSTANCES
    )
    recorder.stuck = recorder.find_stuck(fleet)
    await fleet.stop()
    return recorder


def run_seed(seed: int, *, n_bookings: int) -> Result:
    """Run one seed in virtual time and return its counts."""
    recorder = run_virtual(book_under_faults(seed, n_bookings))
    return Result(
        seed=seed,
        n_run=len(recorder.runs),
        run_twice=recorder.find_run_twice(),
        falsely_not_run=recorder.find_falsely_not_run(),
        wrong_answers=recorder.wrong_answers,
        stuck=recorder.stuck,
        told=recorder.count_outcomes(),
        lasts=collections.Counter(
            outcomes[-1] for outcomes in recorder.outcomes_by_key.values()
        ),
        n_faults=sum(recorder.n_faults.values()),
    )


def main(
    n_bookings: int = 500, n_seeds: int = 20, first_seed: int = 0, n_processes: int = 3
) -> None:
    """Run all seeds and print the results."""
    started_s = time.monotonic()
    seeds = range(first_seed, first_seed + n_seeds)
    with ProcessPoolExecutor(n_processes) as pool:
        results = list(pool.map(partial(run_seed, n_bookings=n_bookings), seeds))
    outcomes: collections.Counter[str] = collections.Counter()
    last_outcomes: collections.Counter[str] = collections.Counter()
    for result in results:
        outcomes += result.told
        last_outcomes += result.lasts
        wrong = result.run_twice + result.falsely_not_run + result.wrong_answers
        wrong += result.stuck
        if wrong:
            typer.echo(f"seed {result.seed}: {result}")
    typer.echo(
        f"bookings {n_seeds * n_bookings}, faults {sum(r.n_faults for r in results)}, "
        f"keys run {sum(r.n_run for r in results)}, "
        f"run twice {sum(len(r.run_twice) for r in results)}, "
        f"told not_run but ran {sum(len(r.falsely_not_run) for r in results)}, "
        f"wrong answers {sum(len(r.wrong_answers) for r in results)}, "
        f"stuck without a death {sum(len(r.stuck) for r in results)}"
    )
    typer.echo(f"told of all sendings: {dict(outcomes)}")
    typer.echo(f"told of the last sending, after the faults: {dict(last_outcomes)}")
    typer.echo(f"took {time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    typer.run(main)
