"""Requests that crash endpoints stay refused while processes come and go."""

from __future__ import annotations

import pytest

from lagoonring.kernel import ManualClock
from lagoonring.serving.blocks import REQUESTS, BlocksDuty
from lagoonring.serving.duties import DutyLedger
from lagoonring.serving.suspects import (
    BLOCK_S,
    MAX_BLOCKED,
    MAX_SHARED,
    RECENT_S,
    Suspects,
)
from lagoonring.tests.builders.exchanges import ROUND_S
from lagoonring.tests.builders.state_sync import PartsDeployment
from lagoonring.tests.builders.version_moves import FakeLease

SETTLE_S = 3.0
STABLE_S = 3.0  # after which a started instance must know what the others know


def block(suspects, fingerprint="request", now_s=0.0):
    """Let a request crash three endpoints."""
    for endpoint in "abc":
        suspects.record_crash(fingerprint, endpoint, now_s)


def tell(one, other, now_s):
    """Pass on what an instance shares."""
    other.update_peer(
        one.recent_crashes(now_s), one.take_ages(now_s), now_s, forward=True
    )


@pytest.fixture
async def deployment():
    made = PartsDeployment(centres=("east", "west", "north"), n_each=2)
    await made.run_for(SETTLE_S)
    return made


def not_blocking(deployment):
    """Return the names of the instances that would run the request."""
    now_s = deployment.clock.monotonic()
    return [
        name
        for name, exchange in deployment.exchanges.items()
        if not exchange.parts.suspects.is_blocked("request", now_s)
    ]


async def test_instances_restarted_in_turn_refuse_a_request_that_crashes_endpoints(
    deployment,
):
    # Guards against knowledge that is lost with the processes that had it.
    block(deployment.exchanges["east-1"].parts.suspects, now_s=deployment.now_s)
    await deployment.run_for(SETTLE_S)
    for name in list(deployment.exchanges):
        deployment.stop(name)
        deployment.start(name)
        await deployment.run_for(STABLE_S)
        assert not_blocking(deployment) == []


async def test_data_centre_that_was_cut_off_learns_what_is_refused(deployment):
    # Guards against crashes that are told to others for two seconds only.
    east = deployment.addresses("east")
    others = deployment.addresses("west") + deployment.addresses("north")
    deployment.network.isolate(east, others)
    block(deployment.exchanges["west-0"].parts.suspects, now_s=deployment.now_s)
    await deployment.run_for(2 * SETTLE_S)
    assert not_blocking(deployment) == ["east-0", "east-1"]
    deployment.network.blocked.clear()
    await deployment.run_for(STABLE_S)
    assert not_blocking(deployment) == []


async def test_answered_request_is_released_at_all_instances(deployment):
    # Guards against a request that is sound and is refused for good.
    block(deployment.exchanges["west-0"].parts.suspects, now_s=deployment.now_s)
    await deployment.run_for(SETTLE_S)
    answered = deployment.exchanges["east-1"].parts.suspects
    answered.record_success("request", deployment.now_s)
    await deployment.run_for(SETTLE_S)
    assert len(not_blocking(deployment)) == len(deployment.exchanges)


async def test_refused_requests_outlive_all_instances():
    # Guards against a request that crashes endpoints again after each loss of all.
    ledger, clock = DutyLedger(), ManualClock()
    lives = [Suspects(), Suspects()]
    block(lives[0], now_s=clock.monotonic())
    for suspects in lives:
        duty = BlocksDuty(REQUESTS, ledger, suspects, clock, true_time=clock.time)
        lease = FakeLease(ledger, fencing_number=len(lives))
        for _ in range(4):
            await duty.step(lease)
            await clock.advance(0.5)
        assert lease.n_appends <= 1
    assert lives[1].is_blocked("request", clock.monotonic())


def test_blocked_request_may_be_run_again_after_some_minutes():
    # Guards against a request that is refused for good.
    one, other = Suspects(), Suspects()
    block(one)
    now_s = 0.0
    while now_s < BLOCK_S + 2 * RECENT_S:  # each report is late by a round
        tell(one, other, now_s)
        tell(other, one, now_s + ROUND_S)
        now_s += 1.0
    assert not one.is_blocked("request", now_s)
    assert not other.is_blocked("request", now_s)
    assert one.ages_of_blocked(now_s) == other.ages_of_blocked(now_s) == {}


def test_all_blocked_requests_are_shared_in_turn_and_bounded():
    # Guards against messages that grow with the number of blocked requests.
    one, other = Suspects(), Suspects()
    for number in range(2 * MAX_BLOCKED):
        block(one, f"request {number}")
    assert len(one.blocked) == MAX_BLOCKED
    now_s = 2 * RECENT_S
    for _ in range(MAX_BLOCKED // MAX_SHARED + 1):
        assert len(one.take_ages(now_s)[0]) <= MAX_SHARED
        now_s += ROUND_S
    shared = set()
    for _ in range(MAX_BLOCKED // MAX_SHARED + 1):
        shared |= one.take_ages(now_s)[0].keys()
    assert shared == one.blocked.keys()
    assert not other.blocked
