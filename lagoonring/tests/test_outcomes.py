"""The outcome that an error states must be true."""

from __future__ import annotations

import pytest

from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.tests.builders.deployments import (
    chat_body,
    headers_of,
    run_deployment,
)

CHAT_PATH = "/v1/chat/completions"


async def ask_error(deployment) -> dict:
    """Send a request that cannot succeed and return its error."""
    async with deployment.session.post(
        deployment.url(0) + CHAT_PATH, json=chat_body("turtles"), headers=headers_of()
    ) as answer:
        assert answer.status >= 500
        return (await answer.json())["error"]


@pytest.mark.parametrize(
    ("faults", "outcome"),
    [
        ({"n_refused": 1000}, "not_run"),
        ({"n_cut": 1000, "cut_at_token": 2}, "unknown"),
        ({"n_errors": 1000}, "unknown"),
    ],
    ids=["refused", "cut", "error"],
)
async def test_request_that_may_have_run_is_never_reported_as_not_run(faults, outcome):
    async with run_deployment(n_engines=2) as deployment:
        for engine in deployment.engines.values():
            engine.batch.set_faults(EngineFaults(**faults))
        error = await ask_error(deployment)
        assert error["outcome"] == outcome
        n_run = sum(e.batch.counts.n_requests for e in deployment.engines.values())
        assert (n_run == 0) == (outcome == "not_run")
        assert error["retry_after_s"]


async def test_request_without_any_endpoint_is_not_run():
    async with run_deployment(n_engines=0) as deployment:
        assert (await ask_error(deployment))["outcome"] == "not_run"


async def test_request_rejected_by_the_endpoint_is_sent_once():
    async with run_deployment(n_engines=2) as deployment:
        body = {**chat_body("turtles"), "messages": [{"role": "user", "content": 7}]}
        async with deployment.session.post(
            deployment.url(0) + CHAT_PATH, json=body, headers=headers_of()
        ) as answer:
            error = (await answer.json())["error"]
            assert (answer.status, error["code"]) == (400, "endpoint_rejected")
            assert error["outcome"] == "not_run"
        trace = next(iter(deployment.entries[0].find("requests").traces.by_id.values()))
        assert trace.n_attempts == 1
