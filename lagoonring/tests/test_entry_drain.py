"""What callers of an entry instance receive while it drains and stops."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from lagoonring.standins.plain_standin import PlainFaults
from lagoonring.tests.builders.barriers import hold_all, wait_until, wait_until_held
from lagoonring.tests.builders.deployments import (
    OPERATOR_TOKEN,
    Deployment,
    chat_body,
    headers_of,
    run_deployment,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_S = 8.0
BOOKING = "/services/booking/bookings"
CHAT = "/v1/chat/completions"
WITH_KEY = {"Idempotency-Key": "key"}
IN_PROGRESS = {
    "plain": (BOOKING, {}, {}),
    "booking": (BOOKING, {}, WITH_KEY),
    "stream": (CHAT, chat_body(stream=True), {}),
    "document": (CHAT, chat_body(), {}),
}
in_progress = pytest.mark.parametrize("kind", IN_PROGRESS)


@attrs.frozen
class Answer:
    """An answer that was read to its end."""

    status: int
    headers: Any
    text: str

    @property
    def error(self) -> dict[str, Any]:
        """The error document, or that of the last event of a stream."""
        return json.loads(self.text.rpartition("data: ")[2])["error"]


async def send(deployment: Deployment, path: str, body: Any, **headers: str) -> Answer:
    async with deployment.session.post(
        deployment.url(0) + path, json=body, headers={**headers_of(), **headers}
    ) as answer:
        return Answer(answer.status, answer.headers, await answer.text())


@contextlib.asynccontextmanager
async def run_held(kind: str) -> AsyncIterator[tuple[Deployment, asyncio.Task[Answer]]]:
    """Run an instance and a request that its endpoint runs and does not answer."""
    async with run_deployment(n_engines=1, timeout_s=TIMEOUT_S) as deployment:
        hold_all(deployment, 2)
        service = deployment.services["booking-0"]
        await service.set_faults(PlainFaults(is_held=True))
        path, body, headers = IN_PROGRESS[kind]
        asking = asyncio.create_task(send(deployment, path, body, **headers))
        if path == CHAT:
            await wait_until_held(deployment)
        else:
            await wait_until(lambda: service.n_held)
        yield deployment, asking


@in_progress
@pytest.mark.parametrize("is_aborted", [False, True], ids=["grace_over", "aborted"])
async def test_unfinished_request_gets_a_final_answer_before_the_stop(kind, is_aborted):
    async with run_held(kind) as (deployment, asking):
        app = deployment.entries[0]
        if not is_aborted:
            await app.drain(0.1)
        await app.stop()
        answer = await asking
    assert answer.error["outcome"] == "unknown"
    if kind != "stream":
        assert answer.headers["X-Outcome"] == "unknown"
        assert answer.headers["X-Should-Retry"] == "false"


@pytest.mark.parametrize("kind", ["booking", "document"])
async def test_request_in_the_queue_is_refused_when_the_instance_leaves(
    kind, monkeypatch
):
    async with run_held("plain") as (deployment, asking):
        app = deployment.entries[0]
        waiting = asyncio.Event()

        async def admit(_request):
            waiting.set()
            await asyncio.Event().wait()

        monkeypatch.setattr(app.find("limits"), "admit", admit)
        path, body, headers = IN_PROGRESS[kind]
        queued = asyncio.create_task(send(deployment, path, body, **headers))
        await waiting.wait()
        draining = asyncio.create_task(app.drain(60.0))
        await asyncio.wait({queued, draining}, return_when=asyncio.FIRST_COMPLETED)
        assert not draining.done()
        answer = await queued
        assert (answer.status, answer.error["outcome"]) == (503, "not_run")
        assert answer.headers["Retry-After"]
        await deployment.services["booking-0"].set_faults(PlainFaults())
        assert (await asking).status == 200
        await draining


async def test_answers_of_a_leaving_instance_close_their_connections():
    async with run_held("plain") as (deployment, asking):
        app = deployment.entries[0]
        draining = asyncio.create_task(app.drain(60.0))
        await wait_until(lambda: app.find("requests").is_leaving)
        refused = await send(deployment, *IN_PROGRESS["booking"][:2])
        await deployment.services["booking-0"].set_faults(PlainFaults())
        answer = await asking
        await draining
    assert (refused.status, answer.status) == (503, 200)
    for got in (refused, answer):
        assert got.headers["Connection"] == "close"


@pytest.mark.parametrize("grace_s", [60.0, 0.1], ids=["in_time", "grace_over"])
async def test_drain_waits_for_administration_calls(grace_s, monkeypatch):
    async with run_deployment(n_engines=0, timeout_s=TIMEOUT_S) as deployment:
        app = deployment.entries[0]
        started, released = asyncio.Event(), asyncio.Event()

        async def apply(_edit):
            started.set()
            await released.wait()
            return 7

        monkeypatch.setattr(app.find("catalogue"), "apply", apply)
        body = {"edit_id": "e", "base_revision": 0, "changes": []}
        token = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        asking = asyncio.create_task(send(deployment, "/admin/config", body, **token))
        await started.wait()
        draining = asyncio.create_task(app.drain(grace_s))
        if grace_s > 1:
            await asyncio.wait({draining}, timeout=0.3)
            assert not draining.done()
            released.set()
        await draining
        await app.stop()
        answer = await asking
    if grace_s > 1:
        assert answer.status == 200
    else:
        assert answer.error["outcome"] == "unknown"
