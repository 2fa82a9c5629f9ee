"""The soak: its schedule, its checks, a short run, and seeds that once failed."""

from __future__ import annotations

import random

import pytest

from lagoonring.platform.store import OPERATOR_TOPIC
from lagoonring.soak.callers import Sent
from lagoonring.soak.deployment import (
    BURST,
    LIMITED,
    RATE_PER_S,
    UNSAFE,
    claim_net,
)
from lagoonring.soak.endpoints import Run, body_of, events_of, stamp_of
from lagoonring.soak.faults import KINDS, schedule
from lagoonring.soak.guarantees import RECOVER_S, Record, check
from lagoonring.soak.run import run_soak
from lagoonring.standins.platform_standin import DutyCall, PlatformStandin

SHORT_S = 8.0
SEED = 4
# Seeds that broke a promise once, with the cause.
REGRESSIONS: dict[int, str] = {}


def make_sent(request_id="a", **changes):
    values = {
        "request_id": request_id,
        "instance": "east-0",
        "path": f"{UNSAFE}1",
        "organisation": "one",
        "sent_s": 10.0,
        "status": 200,
        "signature": stamp_of(request_id, "desk-1"),
        "answer": body_of(request_id),
        "is_whole": True,
        "ended_s": 10.1,
    }
    return Sent(**(values | changes))


def make_run(request_id="a", **changes):
    values = {
        "request_id": request_id,
        "endpoint": "desk-1",
        "organisation": "one",
        "path": f"{UNSAFE}1",
        "version": "v1",
        "began_s": 10.0,
        "body": b"",
    }
    return Run(**(values | changes))


def find(sent=(), runs=(), **changes):
    """Return the promises broken in a record that is sound otherwise."""
    good = [
        make_sent(
            f"{n} good",
            sent_s=100.0 + RECOVER_S,
            ended_s=101.0 + RECOVER_S,
            signature=stamp_of(f"{n} good", "desk-9"),
            answer=body_of(f"{n} good"),
        )
        for n in range(10)
    ]
    values = {
        "sent": [*good, *sent],
        "runs": [*(make_run(it.request_id, endpoint="desk-9") for it in good), *runs],
        "duty_calls": [],
        "route_acked_s": {},
        "route_removed_s": {},
        "drained_s": {},
        "touch_lost": {},
        "store_lost": [],
        "own_ends": {},
        "calm_from_s": 99.0,
    }
    return {violation.guarantee for violation in check(Record(**(values | changes)))}


def test_a_sound_record_breaks_nothing():
    assert find([make_sent()], [make_run()]) == set()


@pytest.mark.parametrize(
    ("guarantee", "sent", "runs"),
    [
        ("mixed", make_sent(answer=body_of("b")), [make_run()]),
        ("mixed", make_sent(signature=None), [make_run()]),
        (
            "mixed",
            make_sent(path="/stream/1", answer=b"".join(events_of("a")[:-1])),
            [make_run(path="/stream/1")],
        ),
        ("twice", make_sent(), [make_run(), make_run(endpoint="desk-2")]),
        ("refused", make_sent(status=503, retry_after="1"), [make_run()]),
        ("refused", make_sent(status=429, path="/safe/1"), []),
        ("denied", make_sent(status=401), []),
        ("held", make_sent(ended_s=14.0), [make_run()]),
        ("unasked", make_sent(), [make_run(), make_run("nobody's")]),
        ("unasked", make_sent(), [make_run(organisation="two")]),
        ("unasked", make_sent(), [make_run(path="/unsafe/2")]),
    ],
)
def test_a_broken_promise_is_found(guarantee, sent, runs):
    assert find([sent], runs) == {guarantee}


def test_a_request_after_an_endpoint_s_leaving_is_found():
    drained = {"desk-1": 5.0}
    assert find([make_sent()], [make_run()], drained_s=drained) == {"drain"}
    assert not find([make_sent()], [make_run()], drained_s={"desk-1": 9.0})
    lost = {"east-0": [(6.0, 8.0)]}
    assert not find([make_sent()], [make_run()], drained_s=drained, touch_lost=lost)


def test_a_route_that_comes_late_or_stays_is_found():
    sent = make_sent(path="/extra1/2", status=404)
    assert find([sent], route_acked_s={"/extra1/": 5.0}) == {"denied"}
    assert not find([sent], route_acked_s={"/extra1/": 9.0})
    served = make_sent(path="/extra1/2")
    runs = [make_run(path="/extra1/2")]
    times = {"route_acked_s": {"/extra1/": 1.0}, "route_removed_s": {"/extra1/": 5.0}}
    assert find([served], runs, **times) == {"config"}


def test_use_beyond_a_limit_is_found():
    n_runs = round((RATE_PER_S * 8 + BURST) * 1.1 + 60) + 5
    sent = [make_sent(str(n), organisation=LIMITED) for n in range(n_runs)]
    runs = [make_run(str(n), organisation=LIMITED) for n in range(n_runs)]
    assert find(sent, runs) == {"quota"}
    assert not find(sent[10:], runs[10:])


@pytest.mark.parametrize(
    "second",
    [
        DutyCall("/usage", "a", 3, {"window": 7, "counts": {"one": 2}}),
        DutyCall("/usage", "b", 3, {"window": 8, "counts": {"one": 1}}),
    ],
)
def test_a_window_or_a_fencing_number_used_twice_is_found(second):
    first = DutyCall("/usage", "a", 3, {"window": 7, "counts": {"one": 1}})
    assert find(duty_calls=[first, second]) == {"one"}
    assert not find(duty_calls=[first, first])


def test_a_process_that_ended_and_a_deployment_that_stays_down_are_found():
    assert find(own_ends={"east-0": 1}) == {"ended"}
    failed = [make_sent(str(n), status=502, sent_s=120.0) for n in range(20)]
    assert find(failed) == {"recover"}


def test_a_seed_gives_the_same_faults_and_all_kinds_come():
    assert schedule(random.Random(3), 60.0) == schedule(random.Random(3), 60.0)
    played = [schedule(random.Random(seed), 60.0) for seed in range(40)]
    assert {fault.kind for faults in played for fault in faults} == set(KINDS)


def test_soaks_that_run_at_once_use_different_addresses():
    made = [claim_net(random.Random(1)) for _ in range(3)]
    for _, claim in made:
        claim.close()
    assert len({net for net, _ in made}) == 3


async def test_the_store_s_stand_in_fails_as_told():
    platform = PlatformStandin()
    platform.write_operator("config", {"version": 1})
    platform.forget(OPERATOR_TOPIC)
    assert platform.topics[OPERATOR_TOPIC].first == 1


@pytest.mark.processes
async def test_a_short_soak_keeps_all_promises(tmp_path):
    result = await run_soak(SEED, SHORT_S, tmp_path)
    assert result.n_good > 0
    assert result.violations == []


@pytest.mark.processes
@pytest.mark.parametrize("seed", REGRESSIONS)
async def test_a_seed_that_once_failed(seed, tmp_path):
    result = await run_soak(seed, 15.0, tmp_path)
    assert result.violations == []
