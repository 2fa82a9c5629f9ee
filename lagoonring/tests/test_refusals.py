from __future__ import annotations

import pytest
from multidict import CIMultiDict

from lagoonring.platform.headers import read_statement
from lagoonring.tests.builders.brittle_service import (
    N_SLOTS,
    WORK_S,
    BrittleService,
    share_answered,
)

LEARNED_S = 3.0
PRESSURE = 2.0  # callers ask for so many times what the endpoints can do


@pytest.mark.parametrize(
    ("text", "number"), [("4", 4.0), ("2.5", 2.5), ("", None), ("some", None)]
)
def test_an_endpoint_says_how_many_requests_it_can_refuse(text, number):
    headers = CIMultiDict({"Server-Brittle": text})
    assert read_statement(200, headers).n_refusable == number


@pytest.mark.parametrize("n_refusable", [3, 8])
@pytest.mark.parametrize("n_each", [3, 20])
async def test_brittle_endpoints_do_not_fall_over_under_too_much_load(
    n_each, n_refusable
):
    n_falls, answered = {}, {}
    for says_so in (True, False):
        service = BrittleService(
            n_per_data_centre=n_each, n_refusable=n_refusable, says_so=says_so
        )
        service.rate_per_s = 10.0
        await service.run(LEARNED_S)
        service.rate_per_s = PRESSURE * len(service.endpoints) * N_SLOTS / WORK_S
        await service.run(8.0)
        sinks = await service.finish_requests()
        n_falls[says_so] = service.count_falls()
        answered[says_so] = share_answered(sinks)
    assert n_falls[True] <= 2 + len(service.endpoints) / 10
    assert answered[True] >= answered[False]
