"""Kills, freezes and stops of entry processes that the test started."""

from __future__ import annotations

import asyncio
import signal

import pytest

from lagoonring.tests.builders.barriers import wait_for_tokens
from lagoonring.tests.builders.callers import Caller, ask, attach
from lagoonring.tests.builders.processes import run_processes

pytestmark = pytest.mark.processes

N_TOKENS = 12
HOLD = 5


async def hold(deployment, n_tokens: int | None) -> None:
    for url in deployment.engine_urls:
        await deployment.set_faults(url, hold_at_token=n_tokens)


async def test_planned_stop_of_a_process_cuts_no_stream():
    async with run_processes(n_entries=2) as deployment:
        await hold(deployment, HOLD)
        caller = Caller()
        asking = asyncio.create_task(
            ask(deployment, "turtles", N_TOKENS, caller=caller)
        )
        await wait_for_tokens(caller, HOLD)
        deployment.signal(0, signal.SIGTERM)
        async with asyncio.timeout(10):
            while True:
                url = f"{deployment.url(0)}/readyz"
                async with deployment.session.get(url) as answer:
                    if answer.status == 503:
                        break
        await hold(deployment, None)
        await asking
        caller.assert_whole("turtles", N_TOKENS)
        assert await deployment.wait_for_exit(0) == 0


async def test_stream_goes_on_elsewhere_when_the_notice_is_short():
    entry = {"grace_s": 1.0, "requests": {"handover_margin_s": 1.0}}
    async with run_processes(n_entries=3, entry=entry) as deployment:
        await hold(deployment, HOLD)
        caller = Caller()
        asking = asyncio.create_task(
            ask(deployment, "turtles", N_TOKENS, caller=caller)
        )
        await wait_for_tokens(caller, HOLD)
        deployment.signal(0, signal.SIGTERM)
        await asking
        assert not caller.is_ended
        assert await deployment.wait_for_exit(0) == 0
        await hold(deployment, None)
        await attach(deployment, caller, entry=1)
        caller.assert_whole("turtles", N_TOKENS)


async def test_killed_instance_harms_no_other():
    async with run_processes(n_entries=2) as deployment:
        await hold(deployment, HOLD)
        callers = [Caller(), Caller()]
        asking = [
            asyncio.create_task(
                ask(deployment, f"turtles {index}", N_TOKENS, entry=index, caller=one)
            )
            for index, one in enumerate(callers)
        ]
        for caller in callers:
            await wait_for_tokens(caller, HOLD)
        deployment.signal(0, signal.SIGKILL)
        await asyncio.gather(asking[0], return_exceptions=True)
        assert not callers[0].is_ended
        await hold(deployment, None)
        await asking[1]
        callers[1].assert_whole("turtles 1", N_TOKENS)
