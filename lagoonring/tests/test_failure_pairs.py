"""Streams under two failures, of different kinds or of the same kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.tests.builders.barriers import (
    release_all,
    wait_for_members,
    wait_until,
)
from lagoonring.tests.builders.callers import Caller, ask_and_hold, attach
from lagoonring.tests.builders.deployments import Deployment, run_deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lagoonring.requests.streams import Stream

N_TOKENS = 16
HOLD_AT_TOKEN = 5
LONG_TIMEOUT_S = 60.0
ENTRY = {
    "requests": {
        "handover_margin_s": 1.0,
        "between_tokens_timeout_s": LONG_TIMEOUT_S,
        "first_token_timeout_s": LONG_TIMEOUT_S,
    }
}


async def find_holder(deployment: Deployment, request_id: str) -> int:
    """Return the index of the instance that produces a stream."""

    def holders() -> list[int]:
        return [
            index
            for index, app in enumerate(deployment.entries)
            if request_id in app.find("requests").streams
        ]

    await wait_until(holders)
    return holders()[0]


async def reclaim_endpoint(deployment: Deployment, caller: Caller) -> None:
    """Reclaim the endpoint that serves the caller; wait until the stream moves."""
    holder = await find_holder(deployment, caller.request_id)
    app = deployment.entries[holder]
    stream: Stream = app.find("requests").streams[caller.request_id]
    await wait_until(lambda: stream.endpoint)
    old = stream.endpoint
    app.find("routing").leaving(old)
    app.find("requests").endpoint_leaving(old, 5.0)
    await wait_until(lambda: stream.endpoint != old)


async def crash_endpoint(deployment: Deployment, caller: Caller) -> None:
    """Crash the endpoint that serves the caller; wait for the next attempt."""
    holder = await find_holder(deployment, caller.request_id)
    stream = deployment.entries[holder].find("requests").streams[caller.request_id]
    await wait_until(lambda: stream.endpoint)
    old = stream.endpoint
    deployment.engines[old].crash()
    await wait_until(lambda: stream.endpoint != old)


async def drain_holder(deployment: Deployment, caller: Caller) -> None:
    """Drain the instance that produces the stream; wait until another adopts it."""
    holder = await find_holder(deployment, caller.request_id)
    await deployment.entries[holder].drain(1.0)
    others = [app for i, app in enumerate(deployment.entries) if i != holder]
    await wait_until(
        lambda: any(caller.request_id in a.find("requests").streams for a in others)
    )


async def stop_log(deployment: Deployment, caller: Caller) -> None:
    """Make the platform's log unavailable."""
    deployment.log.faults.is_out = True


FAILURES: dict[str, Callable[[Deployment, Caller], Awaitable[None]]] = {
    "notice": reclaim_endpoint,
    "crash": crash_endpoint,
    "drain": drain_holder,
    "log": stop_log,
}
# The log cannot become unavailable twice, and a request that crashes two endpoints is
# quarantined.
EXCLUDED_PAIRS = {("log", "log"), ("crash", "crash")}
PAIRS = [
    pytest.param(first, second, id=f"{first}-{second}")
    for first in FAILURES
    for second in FAILURES
    if (first, second) not in EXCLUDED_PAIRS
]


@pytest.mark.parametrize(("first", "second"), PAIRS)
async def test_stream_is_complete_after_two_failures(first, second):
    async with run_deployment(n_entries=4, n_engines=4, entry=ENTRY) as deployment:
        await wait_for_members(deployment)
        async with ask_and_hold(
            deployment, "turtles", N_TOKENS, n_before=HOLD_AT_TOKEN
        ) as held:
            caller = held.caller
            await FAILURES[first](deployment, caller)
            await FAILURES[second](deployment, caller)
            release_all(deployment)
            serving = [i for i, a in enumerate(deployment.entries) if not a.draining]
            if "drain" in (first, second):
                await held.asking
                await attach(deployment, caller, entry=serving[-1])
            await held.asking
            caller.assert_whole("turtles", N_TOKENS)


async def test_stream_survives_cuts_at_every_endpoint_and_a_drain():
    async with run_deployment(n_entries=3, n_engines=3, entry=ENTRY) as deployment:
        await wait_for_members(deployment)
        async with ask_and_hold(
            deployment, "turtles", N_TOKENS, n_before=HOLD_AT_TOKEN
        ) as held:
            caller = held.caller
            for engine in deployment.engines.values():
                cut_at = HOLD_AT_TOKEN + 2
                faults = EngineFaults(
                    hold_at_token=HOLD_AT_TOKEN, n_cut=1, cut_at_token=cut_at
                )
                engine.batch.set_faults(faults)
            await drain_holder(deployment, caller)
            await held.asking
            for engine in deployment.engines.values():
                engine.batch.set_faults(
                    EngineFaults(n_cut=1, cut_at_token=HOLD_AT_TOKEN + 4)
                )
            await attach(deployment, caller, entry=2)
            caller.assert_whole("turtles", N_TOKENS)


async def test_stream_that_crashes_two_endpoints_is_quarantined():
    async with run_deployment(n_entries=2, n_engines=4, entry=ENTRY) as deployment:
        await wait_for_members(deployment)
        async with ask_and_hold(
            deployment, "turtles", N_TOKENS, n_before=HOLD_AT_TOKEN
        ) as held:
            caller = held.caller
            await crash_endpoint(deployment, caller)
            stream = deployment.entries[0].find("requests").streams[caller.request_id]
            deployment.engines[stream.endpoint].crash()
            await held.asking
            assert [error["code"] for error in caller.errors] == ["quarantined"]
            assert caller.errors[0]["outcome"] == "unknown"


async def test_moves_do_not_count_as_failed_attempts():
    """A stream may move more often than attempts may fail."""
    n_moves = 9
    entry = {**ENTRY, "requests": {**ENTRY["requests"], "n_attempts_most": 3}}
    async with (
        run_deployment(n_engines=n_moves + 1, entry=entry) as deployment,
        ask_and_hold(deployment, "turtles", N_TOKENS, n_before=HOLD_AT_TOKEN) as held,
    ):
        for _ in range(n_moves):
            await reclaim_endpoint(deployment, held.caller)
        release_all(deployment)
        await held.asking
        held.caller.assert_whole("turtles", N_TOKENS)
