"""Attempts cancelled while the cause of their failure is being determined.

After a cut, the endpoint is probed to find out whether it crashed. A cancellation
during the probe must still release the endpoint's slot and the attempt's entry in
the quarantine.
"""

from __future__ import annotations

import asyncio

import pytest

from lagoonring.requests.parts import RequestParts
from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.standins.plain_standin import PlainFaults
from lagoonring.tests.builders.callers import ask
from lagoonring.tests.builders.deployments import headers_of, run_deployment

N_TOKENS = 8


@pytest.fixture
def probe_started(monkeypatch) -> asyncio.Event:
    """Make every probe of an endpoint hang; the event is set when one starts."""
    started = asyncio.Event()

    async def hang(parts, url):
        started.set()
        await asyncio.get_running_loop().create_future()

    monkeypatch.setattr(RequestParts, "is_alive", hang)
    return started


def assert_attempt_released(app, endpoint: str) -> None:
    assert app.find("routing").table.states[endpoint].n_outstanding == 0
    assert app.find("retries").attempts == {}


async def test_stream_paused_while_its_endpoint_is_probed(probe_started):
    async with run_deployment(n_engines=1) as deployment:
        engine = deployment.engines["guide-0"]
        engine.batch.set_faults(EngineFaults(n_cut=1, cut_at_token=3))
        asking = asyncio.create_task(ask(deployment, "turtles", N_TOKENS))
        await probe_started.wait()
        app = deployment.entries[0]
        requests = app.find("requests")
        stream = next(iter(requests.streams.values()))
        await requests.pause_stream(stream)
        assert_attempt_released(app, "guide-0")
        requests.resume_stream(stream)
        (await asking).assert_whole("turtles", N_TOKENS)


async def test_call_past_its_deadline_while_its_endpoint_is_probed(probe_started):
    async with run_deployment(n_engines=0) as deployment:
        await deployment.services["booking-0"].set_faults(PlainFaults(n_lost=1))
        async with deployment.session.post(
            f"{deployment.url(0)}/services/booking/bookings",
            json={"seats": 1},
            headers=headers_of(**{"X-Deadline-Ms": "500"}),
        ) as answer:
            error = (await answer.json())["error"]
            assert error["outcome"] == "unknown"
        assert probe_started.is_set()
        assert_attempt_released(deployment.entries[0], "booking-0")
