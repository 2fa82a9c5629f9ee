"""Streams while entry processes are killed or stopped."""

from __future__ import annotations

import asyncio
import signal

import pytest

from lagoonring.tests.builders.barriers import wait_for_tokens
from lagoonring.tests.builders.callers import Caller, ask, attach
from lagoonring.tests.builders.processes import run_processes

pytestmark = pytest.mark.processes

N_TOKENS = 12
HOLD_AT_TOKEN = 5


async def hold_engines(deployment, n_tokens: int | None) -> None:
    for url in deployment.engine_urls:
        await deployment.set_faults(url, hold_at_token=n_tokens)


async def test_planned_stop_of_a_process_cuts_no_stream():
    async with run_processes(n_entries=2) as deployment:
        await hold_engines(deployment, HOLD_AT_TOKEN)
        caller = Caller()
        asking = asyncio.create_task(
            ask(deployment, "turtles", N_TOKENS, caller=caller)
        )
        await wait_for_tokens(caller, HOLD_AT_TOKEN)
        deployment.signal(0, signal.SIGTERM)
        async with asyncio.timeout(10):
            while True:
                url = f"{deployment.url(0)}/readyz"
                async with deployment.session.get(url) as answer:
                    if answer.status == 503:
                        break
        await hold_engines(deployment, None)
        await asking
        caller.assert_whole("turtles", N_TOKENS)
        assert await deployment.wait_for_exit(0) == 0


async def test_stream_continues_on_another_instance_after_a_short_notice():
    entry = {"grace_s": 1.0, "requests": {"handover_margin_s": 1.0}}
    async with run_processes(n_entries=3, entry=entry) as deployment:
        await hold_engines(deployment, HOLD_AT_TOKEN)
        caller = Caller()
        asking = asyncio.create_task(
            ask(deployment, "turtles", N_TOKENS, caller=caller)
        )
        await wait_for_tokens(caller, HOLD_AT_TOKEN)
        deployment.signal(0, signal.SIGTERM)
        await asking
        assert not caller.is_ended
        assert await deployment.wait_for_exit(0) == 0
        await hold_engines(deployment, None)
        await attach(deployment, caller, entry=1)
        caller.assert_whole("turtles", N_TOKENS)


async def test_killed_instance_does_not_affect_others():
    async with run_processes(n_entries=2) as deployment:
        await hold_engines(deployment, HOLD_AT_TOKEN)
        callers = [Caller(), Caller()]
        asking = [
            asyncio.create_task(
                ask(deployment, f"turtles {index}", N_TOKENS, entry=index, caller=one)
            )
            for index, one in enumerate(callers)
        ]
        for caller in callers:
            await wait_for_tokens(caller, HOLD_AT_TOKEN)
        deployment.signal(0, signal.SIGKILL)
        await asyncio.gather(asking[0], return_exceptions=True)
        assert not callers[0].is_ended
        await hold_engines(deployment, None)
        await asking[1]
        callers[1].assert_whole("turtles 1", N_TOKENS)
