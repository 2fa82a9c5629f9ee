from __future__ import annotations

import asyncio

import pytest

from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.tests.builders.barriers import (
    release_all,
    wait_for_members,
    wait_until,
)
from lagoonring.tests.builders.callers import ask, ask_and_hold, attach
from lagoonring.tests.builders.deployments import run_deployment

N_TOKENS = 12
HOLD_AT_TOKEN = 5


@pytest.mark.parametrize(
    "faults",
    [
        {"n_cut": 1, "cut_at_token": 3},
        {"n_cut": 1, "cut_at_token": 0},
        {"n_stalled": 1, "stall_at_token": 4},
        {"n_errors": 1},
        {"n_refused": 1},
    ],
    ids=["cut", "cut-first", "stall", "error", "refused"],
)
async def test_stream_is_complete_when_its_first_endpoint_fails(faults):
    timeouts = {"between_tokens_timeout_s": 0.2, "first_token_timeout_s": 1.0}
    entry = {"requests": timeouts}
    async with run_deployment(n_engines=3, entry=entry) as deployment:
        for engine in deployment.engines.values():
            engine.batch.set_faults(EngineFaults(**faults))
        caller = await ask(deployment, "when do turtles eat", N_TOKENS)
        caller.assert_whole("when do turtles eat", N_TOKENS)


@pytest.mark.parametrize("n_before", [0, HOLD_AT_TOKEN], ids=["first", "later"])
async def test_stream_is_complete_when_its_endpoint_crashes(n_before):
    async with (
        run_deployment(n_engines=3) as deployment,
        ask_and_hold(
            deployment, "turtles", N_TOKENS, n_before=n_before, n_at_caller=0
        ) as held,
    ):
        deployment.engines[held.endpoint].crash()
        release_all(deployment)
        (await held.asking).assert_whole("turtles", N_TOKENS)


async def test_crossed_answers_reach_their_own_callers():
    async with run_deployment(n_engines=1) as deployment:
        engine = deployment.engines["guide-0"]
        engine.batch.set_faults(EngineFaults(n_crossed=2))
        questions = ["where are the rays", "how deep is the tank"]
        callers = await asyncio.gather(
            *(ask(deployment, question, N_TOKENS) for question in questions)
        )
        for caller, question in zip(callers, questions, strict=True):
            caller.assert_whole(question, N_TOKENS)
        assert engine.batch.counts.n_requests > 2


@pytest.mark.parametrize("kv_tokens_least", [0, 10_000], ids=["kv", "recomputed"])
async def test_stream_moves_away_from_an_endpoint_with_notice(kv_tokens_least):
    entry = {"requests": {"kv_tokens_least": kv_tokens_least}}
    async with (
        run_deployment(n_engines=2, entry=entry) as deployment,
        ask_and_hold(
            deployment, "turtles", N_TOKENS, n_before=HOLD_AT_TOKEN, n_at_caller=0
        ) as held,
    ):
        requests = deployment.entries[0].find("requests")
        deployment.entries[0].find("routing").leaving(held.endpoint)
        requests.endpoint_leaving(held.endpoint, 5.0)
        stream = next(iter(requests.streams.values()))
        await wait_until(lambda: stream.endpoint != held.endpoint)
        release_all(deployment)
        (await held.asking).assert_whole("turtles", N_TOKENS)
        other = next(e for n, e in deployment.engines.items() if n != held.endpoint)
        n_recomputed = other.batch.counts.n_tokens_recomputed
        assert n_recomputed == (0 if kv_tokens_least == 0 else HOLD_AT_TOKEN)


async def test_caller_re_attaches_after_a_lost_connection():
    async with (
        run_deployment(n_entries=1) as deployment,
        ask_and_hold(deployment, "turtles", N_TOKENS, n_before=HOLD_AT_TOKEN) as held,
    ):
        held.asking.cancel()
        await asyncio.gather(held.asking, return_exceptions=True)
        attaching = asyncio.create_task(attach(deployment, held.caller, entry=0))
        release_all(deployment)
        (await attaching).assert_whole("turtles", N_TOKENS)


async def test_leaving_instance_hands_its_streams_over():
    entry = {"requests": {"handover_margin_s": 1.0}}
    async with run_deployment(n_entries=3, entry=entry) as deployment:
        await wait_for_members(deployment)
        async with ask_and_hold(
            deployment, "turtles", N_TOKENS, n_before=HOLD_AT_TOKEN
        ) as held:
            caller = held.caller
            await deployment.entries[0].drain(1.0)
            await held.asking
            assert not caller.is_ended
            await deployment.entries[0].stop()
            for entry_index in (1, 2):
                handover = deployment.entries[entry_index].find("handover")
                await wait_until(lambda h=handover: h.holders(caller.request_id))
            release_all(deployment)
            await attach(deployment, caller, entry=2)
            caller.assert_whole("turtles", N_TOKENS)
            n_adopted = sum(
                len(app.find("requests").finished_streams)
                for app in deployment.entries[1:]
            )
            assert n_adopted == 1


async def test_planned_stop_cuts_no_request():
    async with (
        run_deployment(n_entries=1) as deployment,
        ask_and_hold(
            deployment, "turtles", N_TOKENS, n_before=HOLD_AT_TOKEN, n_at_caller=0
        ) as held,
    ):
        draining = asyncio.create_task(deployment.entries[0].drain(60.0))
        url = f"{deployment.url(0)}/readyz"
        while True:
            async with deployment.session.get(url) as answer:
                if answer.status == 503:
                    assert answer.headers["Retry-After"]
                    break
        release_all(deployment)
        (await held.asking).assert_whole("turtles", N_TOKENS)
        await draining
