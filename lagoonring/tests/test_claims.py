from __future__ import annotations

import random

import pytest

from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.bookings import run_bookings
from lagoonring.tests.builders.claims import ClaimsFleet
from lagoonring.tests.builders.logs import VirtualClock, run_virtual


async def run_seed(seed, n_bookings, n_kept=None):
    rng = random.Random(seed)
    log = LogStandin(VirtualClock(), n_kept=n_kept)
    log.faults.delay_s = 0.005
    fleet = ClaimsFleet(log, rng)
    recorder = await run_bookings(fleet, rng, n_bookings=n_bookings)
    await fleet.stop()
    return recorder


@pytest.mark.parametrize("seed", range(4))
def test_no_booking_runs_twice_under_faults(seed):
    recorder = run_virtual(run_seed(seed, 300, n_kept=400))
    print(recorder.count_told(), recorder.n_faults, sum(recorder.runs.values()))
    assert recorder.find_run_twice() == []
    assert recorder.find_falsely_not_run() == []
    assert recorder.wrong_answers == []
    lasts = [told[-1] for told in recorder.told_by_key.values()]
    print({what: lasts.count(what) for what in set(lasts)})
    assert len(recorder.n_faults) == 8
    # After the faults every booking gets an answer, and most ran.
    assert lasts.count("not_run") < 0.2 * len(lasts)
    assert len(recorder.runs) > 0.9 * len(lasts)
