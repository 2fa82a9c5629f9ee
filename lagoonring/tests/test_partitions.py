"""Partition of a data centre from the others and from the platform."""

from __future__ import annotations

import asyncio
from typing import Any

from lagoonring.tests.builders.barriers import (
    hold_all,
    release_all,
    wait_for_members,
    wait_until,
    wait_until_held,
)
from lagoonring.tests.builders.callers import ask
from lagoonring.tests.builders.deployments import (
    Deployment,
    headers_of,
    run_deployment,
)
from lagoonring.tests.test_promises import make_edit, weights

SHORT_TIMEOUTS = {
    "catalogue": {"retry_s": 0.05, "cut_off_after_s": 0.2},
    "claims": {
        "balance_s": 0.1,
        "handover_s": 0.2,
        "lease": {
            "duration_s": 1.0,
            "margin_s": 0.3,
            "renew_interval_s": 0.2,
            "poll_s": 0.1,
        },
    },
}
ISOLATED = 0
N_KEYS = 24


async def book(deployment: Deployment, entry: int, key: str) -> dict[str, Any]:
    """Send one booking; return the result or the error."""
    url = f"{deployment.url(entry)}/services/booking/bookings"
    headers = headers_of(**{"Idempotency-Key": key})
    async with deployment.session.post(url, json={}, headers=headers) as answer:
        return await answer.json()


async def test_cut_off_data_centre_serves_chats_and_refuses_bookings_at_once():
    async with run_deployment(
        n_entries=3, n_engines=3, entry=SHORT_TIMEOUTS
    ) as deployment:
        await wait_for_members(deployment)
        deployment.cut_off(ISOLATED)
        leases = deployment.entries[ISOLATED].find("claims").owners
        await wait_until(
            lambda: not any(owner.lease.is_held() for owner in leases.values())
        )
        (await ask(deployment, "turtles", 6, entry=ISOLATED)).assert_whole("turtles", 6)
        for index in range(N_KEYS):
            answer = await book(deployment, ISOLATED, f"key-{index}")
            assert answer["error"]["outcome"] == "not_run"
            assert answer["error"]["retry_after_s"]
        assert deployment.services["booking-0"].n_runs == 0
        for index in range(N_KEYS):
            while "error" in await book(deployment, 1, f"key-{index}"):
                await asyncio.sleep(0.05)
        assert deployment.services["booking-0"].n_runs == N_KEYS
        deployment.heal()
        for index in range(N_KEYS):
            while "error" in await book(deployment, ISOLATED, f"key-{index}"):
                await asyncio.sleep(0.05)
        assert deployment.services["booking-0"].n_runs == N_KEYS


async def test_edit_during_a_partition_applies_after_it_and_is_not_reverted():
    async with run_deployment(
        n_entries=3, n_engines=0, entry=SHORT_TIMEOUTS
    ) as deployment:
        await wait_for_members(deployment)
        deployment.cut_off(ISOLATED)
        await (
            deployment.entries[1]
            .find("catalogue")
            .apply(make_edit(deployment, "during", 2.0))
        )
        await wait_until(lambda: weights(deployment)[1:] == [2.0, 2.0])
        assert weights(deployment)[ISOLATED] == 1.0
        seen = []
        catalogue = deployment.entries[ISOLATED].find("catalogue")
        catalogue.subscribe(lambda content, revision: seen.append(revision))
        deployment.heal()
        await wait_until(lambda: weights(deployment) == [2.0] * 3)
        assert seen == sorted(seen)


async def test_catalogue_reaches_an_instance_that_only_peers_can_reach():
    async with run_deployment(
        n_entries=3, n_engines=0, entry=SHORT_TIMEOUTS
    ) as deployment:
        await wait_for_members(deployment)
        deployment.log_links[ISOLATED].is_cut = True
        await (
            deployment.entries[1]
            .find("catalogue")
            .apply(make_edit(deployment, "around", 2.0))
        )
        await wait_until(lambda: weights(deployment) == [2.0] * 3)


async def test_draining_instance_releases_its_claim_slots_before_its_streams_end():
    async with run_deployment(
        n_entries=3, n_engines=1, entry=SHORT_TIMEOUTS
    ) as deployment:
        await wait_for_members(deployment)
        claims = [app.find("claims") for app in deployment.entries]
        await wait_until(lambda: all(service.owners for service in claims))
        hold_all(deployment, 3)
        asking = asyncio.create_task(ask(deployment, "turtles", 6))
        await wait_until_held(deployment)
        draining = asyncio.create_task(deployment.entries[0].drain(50.0))
        await wait_until(lambda: not claims[0].owners)
        assert not draining.done()
        for index in range(N_KEYS):
            while "error" in await book(deployment, 1, f"key-{index}"):
                await asyncio.sleep(0.05)
        assert not draining.done()
        release_all(deployment)
        (await asking).assert_whole("turtles", 6)
        await draining


async def test_draining_data_centre_leaves_its_slots_to_the_others():
    """Leases outlast the test, so slots must be released, not left to expire."""
    lasting = {"duration_s": 600.0, "margin_s": 1.0, "renew_interval_s": 0.2}
    entry = {"claims": {"balance_s": 0.1, "lease": {**lasting, "poll_s": 0.1}}}
    async with run_deployment(n_entries=4, n_engines=1, entry=entry) as deployment:
        await wait_for_members(deployment)
        claims = [app.find("claims") for app in deployment.entries]
        plateau, others = (claims[0], claims[3]), (claims[1], claims[2])
        await wait_until(lambda: all(service.owners for service in claims))
        hold_all(deployment, 3)
        asking = asyncio.create_task(ask(deployment, "turtles", 6))
        await wait_until_held(deployment)
        leaving = (deployment.entries[0], deployment.entries[3])
        draining = [asyncio.create_task(app.drain(50.0)) for app in leaving]
        await wait_until(lambda: not any(service.owners for service in plateau))
        for index in range(N_KEYS):
            while "error" in await book(deployment, 1, f"key-{index}"):
                await asyncio.sleep(0.05)
        assert all(service.owners for service in others)
        release_all(deployment)
        (await asking).assert_whole("turtles", 6)
        await asyncio.gather(*draining)
