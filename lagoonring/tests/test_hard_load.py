"""Who is delayed and who is refused when callers ask for more than there is room."""

from __future__ import annotations

import pytest

from lagoonring.tests.builders.engine_service import (
    PATIENT,
    URGENT,
    EngineService,
)

ENGINES = tuple(f"e{number}" for number in range(8))
BEFORE_S = 4.0
BURST_S = 8.0
END_S = BEFORE_S + BURST_S
SETTLED_S = 2.0  # after a change of the load
MUCH_S = 0.05  # of the share of callers that are answered in time


async def play(n_each, *, loads, heavy=None, returns="as told"):
    """Return a service after a burst, with a calm time before and after it."""
    service = EngineService(
        n_per_data_centre=n_each, endpoints=ENGINES, returns=returns
    )
    await service.run(BEFORE_S)
    service.loads, service.heavy = loads, heavy or {}
    await service.run(BURST_S)
    service.loads, service.heavy = {}, {}
    await service.run(SETTLED_S + 1.0)
    await service.finish()
    return service


def times(factor):
    return {"urgent": factor, "patient": factor}


@pytest.mark.parametrize("factor", [5.0, 10.0])
@pytest.mark.parametrize("n_each", [3, 21])
async def test_callers_are_answered_as_before_soon_after_an_overload(n_each, factor):
    service = await play(n_each, loads=times(factor))
    after_s = END_S + SETTLED_S
    for kind in (URGENT, PATIENT):
        before = service.share_in_aim(0.0, BEFORE_S, kind=kind)
        after = service.share_in_aim(after_s, after_s + 1.0, kind=kind)
        assert after >= before - MUCH_S


@pytest.mark.parametrize("factor", [5.0, 10.0])
async def test_urgent_requests_fare_no_worse_than_patient_ones(factor):
    service = await play(21, loads=times(factor))
    begin_s = BEFORE_S + SETTLED_S
    urgent = service.share_in_aim(begin_s, END_S, kind=URGENT)
    assert urgent >= service.share_in_aim(begin_s, END_S, kind=PATIENT) - MUCH_S


async def test_a_heavy_organisation_pays_for_itself():
    service = await play(21, loads={"patient": 2.4}, heavy={"org0": 6.0})
    others = set(service.names) - {"org0"}
    begin_s = BEFORE_S + SETTLED_S
    shares = [
        service.share_in_aim(begin_s, END_S, names=names)
        for names in (others, {"org0"})
    ]
    assert shares[0] > shares[1]


@pytest.mark.parametrize("returns", ["as told", "at once"])
@pytest.mark.parametrize("factor", [2.0, 5.0, 10.0])
async def test_overload_takes_nothing_of_what_full_room_gives(factor, returns):
    service = await play(21, loads=times(factor), returns=returns)
    used = service.work_in_aim(BEFORE_S + SETTLED_S, END_S) / len(ENGINES)
    assert used >= 0.9 * min(factor * (URGENT.share + PATIENT.share), 1.0)
