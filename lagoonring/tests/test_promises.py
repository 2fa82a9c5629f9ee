"""Tests of the guarantees of whole deployments, run in one process."""

from __future__ import annotations

import asyncio

import pytest

from lagoonring.catalogue.edits import Change, Edit
from lagoonring.catalogue.errors import ConflictError
from lagoonring.platform.log import LogUnavailableError
from lagoonring.settings import to_plain
from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.tests.builders.barriers import wait_for_members, wait_until
from lagoonring.tests.builders.callers import ask
from lagoonring.tests.builders.deployments import (
    Deployment,
    chat_body,
    headers_of,
    run_deployment,
)

CHAT = "/v1/chat/completions"
N_RESENDS = 20


async def post_chat(deployment: Deployment, entry: int, question: str) -> int:
    """Send a chat completion that is not streamed; return the status."""
    async with deployment.session.post(
        deployment.url(entry) + CHAT, json=chat_body(question), headers=headers_of()
    ) as answer:
        await answer.read()
        return answer.status


@pytest.mark.parametrize("is_concurrent", [False, True], ids=["in_turn", "at_once"])
async def test_crashing_request_brings_down_at_most_two_endpoints(is_concurrent):
    # A home that answers too late counts as unreachable. The long timeout keeps a
    # busy machine from causing that.
    entry = {"retries": {"call_timeout_s": 30.0}}
    async with run_deployment(n_entries=3, n_engines=6, entry=entry) as deployment:
        await wait_for_members(deployment)
        for engine in deployment.engines.values():
            engine.batch.set_faults(EngineFaults(crash_on=["poison"], restart_s=0.2))
        sends = [post_chat(deployment, n % 3, "poison") for n in range(N_RESENDS)]
        if is_concurrent:
            statuses = list(await asyncio.gather(*sends))
        else:
            statuses = [await send for send in sends]
        engines = deployment.engines.values()
        assert 1 <= sum(engine.batch.counts.n_crashes for engine in engines) <= 2
        assert 200 not in statuses
        (await ask(deployment, "turtles", 6, entry=1)).assert_whole("turtles", 6)


async def test_leaving_endpoint_gets_no_new_work_anywhere():
    async with run_deployment(n_entries=3, n_engines=3) as deployment:
        await wait_for_members(deployment)
        deployment.entries[0].find("routing").leaving("guide-1")
        for app in deployment.entries:
            table = app.find("routing").table
            await wait_until(lambda t=table: t.states["guide-1"].is_leaving)
        engine = deployment.engines["guide-1"]
        n_before = engine.batch.counts.n_requests
        for index in range(30):
            assert await post_chat(deployment, index % 3, f"question {index}") == 200
        assert engine.batch.counts.n_requests == n_before


def make_edit(deployment: Deployment, edit_id: str, weight: float) -> Edit:
    catalogue = deployment.entries[0].find("catalogue")
    item = to_plain(catalogue.content.organisations["ngor"])
    change = Change(
        section="organisations", name="ngor", item={**item, "weight": weight}
    )
    return Edit(
        edit_id=edit_id,
        author="awa",
        base_revision=catalogue.revision,
        changes=[change],
    )


def weights(deployment: Deployment) -> list[float]:
    return [
        app.find("catalogue").content.organisations["ngor"].weight
        for app in deployment.entries
    ]


async def test_accepted_edit_is_in_force_everywhere_and_stays():
    entry = {"catalogue": {"retry_s": 0.05, "cut_off_after_s": 0.2}}
    async with run_deployment(n_entries=3, n_engines=0, entry=entry) as deployment:
        await wait_for_members(deployment)
        first = deployment.entries[0].find("catalogue")
        deployment.log.faults.n_lost_answers = 1
        old = make_edit(deployment, "lost-answer", 2.0)
        await first.apply(old)
        await wait_until(lambda: weights(deployment) == [2.0] * 3)
        await first.apply(make_edit(deployment, "second", 3.0))
        await wait_until(lambda: weights(deployment) == [3.0] * 3)
        with pytest.raises(ConflictError):
            await first.apply(make_conflicting_edit(old))
        deployment.log.faults.is_out = True
        with pytest.raises(LogUnavailableError):
            await first.apply(make_edit(deployment, "out", 4.0), timeout_s=0.3)
        assert weights(deployment) == [3.0] * 3
        deployment.log.faults.is_out = False
        await first.apply(make_edit(deployment, "back", 5.0))
        await wait_until(lambda: weights(deployment) == [5.0] * 3)


def make_conflicting_edit(old: Edit) -> Edit:
    """Return an edit with the same changes and base revision but another id."""
    return Edit(
        edit_id="again",
        author="awa",
        base_revision=old.base_revision,
        changes=old.changes,
    )
