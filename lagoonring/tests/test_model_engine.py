"""Tests the engine client with the engine stand-in and its faults."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from lagoonring.endpoints import (
    EndpointConnectError,
    EndpointCrossedError,
    EndpointCutError,
    EndpointError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointRejectedError,
    EndpointTimeoutError,
    EngineOrder,
    FencedError,
    cancel,
    export_kv,
    fetch_answer,
    follow_cache_events,
    import_kv,
    open_stream,
    read_load,
    read_state,
    send_order,
)
from lagoonring.errors import Outcome
from lagoonring.kernel import Clock
from lagoonring.standins.tokens import canonical_prompt, text_of
from lagoonring.tests.builders.raw_endpoints import raw_endpoint
from lagoonring.tests.builders.standins import (
    PROMPT,
    make_chat,
    read_chunks,
    read_text,
    running_engine,
    set_faults,
)

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 1.0


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


def stream_from(session, engine, body=None, *, request_id="r1", **options):
    return open_stream(
        session,
        engine.url,
        body or make_chat(),
        **{
            "request_id": request_id,
            "attempt_id": f"{request_id}-1",
            "first_timeout_s": TIMEOUT_S,
            "next_timeout_s": TIMEOUT_S,
            **options,
        },
    )


async def collect(stream, events=None):
    """Read a stream to its end; ``events`` holds those received before an error."""
    events = [] if events is None else events
    async for batch in stream:
        events += batch
    return events


async def test_complete_stream_has_ids_usage_and_end(session):
    async with running_engine() as engine:
        body = make_chat(stream_options={"include_usage": True})
        events = await collect(stream_from(session, engine, body))
        answer = await fetch_answer(
            session,
            engine.url,
            make_chat(stream=False),
            request_id="r2",
            attempt_id="r2-1",
            timeout_s=TIMEOUT_S,
        )
    assert read_text(events) == text_of(PROMPT, 0, 20)
    assert text_of(PROMPT, 0, 20).encode() in answer
    ids = [int(event[4 : event.index(b"\n")]) for event in events if event[0] == 105]
    assert ids == list(range(1, 21))
    chunks = read_chunks(events)
    assert {chunk["id"] for chunk in chunks} == {"chatcmpl-r1"}
    n_prompt = -(-len(PROMPT) // 4)
    assert chunks[-1]["usage"] == {
        "prompt_tokens": n_prompt,
        "completion_tokens": 20,
        "total_tokens": n_prompt + 20,
    }
    assert events[-1] == b"data: [DONE]"


@pytest.mark.parametrize(
    ("faults", "error", "outcome", "n_tokens"),
    [
        ({"n_cut": 1, "cut_at_token": 3}, EndpointCutError, Outcome.UNKNOWN, 3),
        ({"n_errors": 1}, EndpointFailedError, Outcome.UNKNOWN, 0),
        ({"n_refused": 1}, EndpointRefusedError, Outcome.NOT_RUN, 0),
        (
            {"crash_on": ["sharks"], "crash_at_token": 2},
            EndpointCutError,
            Outcome.UNKNOWN,
            None,
        ),
        (
            {"n_stalled": 1, "stall_at_token": 4},
            EndpointTimeoutError,
            Outcome.UNKNOWN,
            4,
        ),
        ({"n_late": 1, "late_s": 60}, EndpointTimeoutError, Outcome.UNKNOWN, 0),
    ],
)
async def test_faults_raise_typed_errors(session, faults, error, outcome, n_tokens):
    async with running_engine() as engine:
        await set_faults(engine, **faults)
        events = []
        timeout_s = SHORT_TIMEOUT_S if error is EndpointTimeoutError else TIMEOUT_S
        timeouts = {"first_timeout_s": timeout_s, "next_timeout_s": timeout_s}
        with pytest.raises(error) as caught:
            await collect(stream_from(session, engine, **timeouts), events)
        assert type(caught.value) is error
        assert caught.value.outcome is outcome
        if n_tokens is not None:
            assert read_text(events) == text_of(PROMPT, 0, n_tokens)
        assert engine.batch.slots.n_running == 0 or error is EndpointTimeoutError


async def test_unstreamed_answers_can_be_cut_and_crossed(session):
    def ask(request_id):
        return fetch_answer(
            session,
            engine.url,
            make_chat(stream=False),
            request_id=request_id,
            attempt_id=f"{request_id}-1",
            timeout_s=TIMEOUT_S,
        )

    async with running_engine() as engine:
        await set_faults(engine, n_cut=1)
        with pytest.raises(EndpointCutError):
            await ask("r1")
        await set_faults(engine, n_crossed=2)
        results = await asyncio.gather(ask("r1"), ask("r2"), return_exceptions=True)
    assert [type(result) for result in results] == [EndpointCrossedError] * 2


async def test_refused_connection_is_not_run_and_engine_returns(session):
    async with running_engine() as engine:
        await set_faults(engine, refuse_s=60)
        with pytest.raises(EndpointConnectError) as caught:
            await collect(stream_from(session, engine))
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.kind == "connect"
        await engine.server.accept()
        events = await collect(stream_from(session, engine))
    assert read_text(events) == text_of(PROMPT, 0, 20)


async def test_crossed_answers_are_refused(session):
    async with running_engine() as engine:
        await set_faults(engine, n_crossed=2)
        results = await asyncio.gather(
            collect(stream_from(session, engine, request_id="r1")),
            collect(stream_from(session, engine, request_id="r2")),
            return_exceptions=True,
        )
    assert [type(result) for result in results] == [EndpointCrossedError] * 2


async def fail_by_refusal(session, ids, status, is_streamed):
    """Return the error of a request that an endpoint refuses with the given ids."""
    content = f"HTTP/1.1 {status} X\r\n{ids}Content-Length: 2\r\n\r\n{{}}".encode()
    async with raw_endpoint(lambda writer, head: writer.write(content)) as (address, _):
        own = {"request_id": "r1", "attempt_id": "r1-1"}
        url, body = f"http://{address}", make_chat(stream=is_streamed)
        limits = {"first_timeout_s": TIMEOUT_S, "next_timeout_s": TIMEOUT_S}
        with pytest.raises(EndpointError) as caught:
            if is_streamed:
                await collect(open_stream(session, url, body, **own, **limits))
            else:
                await fetch_answer(session, url, body, **own, timeout_s=TIMEOUT_S)
    return caught.value


refusals = pytest.mark.parametrize("status", [400, 429, 503])
streamed = pytest.mark.parametrize("is_streamed", [False, True])


@refusals
@streamed
async def test_a_refusal_of_another_request_is_not_believed(
    session, status, is_streamed
):
    ids = "X-Request-Id: r0\r\nX-Attempt-Id: r0-1\r\n"
    error = await fail_by_refusal(session, ids, status, is_streamed)
    assert isinstance(error, EndpointCrossedError)
    assert error.outcome is Outcome.UNKNOWN


@refusals
@streamed
async def test_a_refusal_that_names_no_request_is_not_believed(
    session, status, is_streamed
):
    error = await fail_by_refusal(session, "", status, is_streamed)
    assert isinstance(error, EndpointCrossedError)
    assert error.outcome is Outcome.UNKNOWN


async def test_crash_cuts_every_stream_and_clears_the_cache(session):
    long_prompt = "a" * 1000
    async with running_engine() as engine:
        await set_faults(engine, hold_at_token=2, crash_on=["poison"], restart_s=60)
        held = asyncio.create_task(
            collect(stream_from(session, engine, make_chat(long_prompt)))
        )
        await asyncio.wait_for(engine.batch.wait_until_held(1), TIMEOUT_S)
        with pytest.raises(EndpointCutError):
            await collect(
                stream_from(session, engine, make_chat("poison"), request_id="r2")
            )
        with pytest.raises(EndpointCutError):
            await held
        assert not engine.batch.cache.blocks
        with pytest.raises(EndpointConnectError):
            await collect(stream_from(session, engine))


async def test_resume_continues_after_the_given_text(session):
    async with running_engine() as engine:
        resume = {"n_tokens": 7, "text": text_of(PROMPT, 0, 7), "kv": None}
        events = await collect(stream_from(session, engine, make_chat(resume=resume)))
        assert read_text(events) == text_of(PROMPT, 7, 20)
        assert events[0].startswith(b"id: 8\n")
        assert engine.batch.counts.n_tokens_recomputed == 7
        with pytest.raises(EndpointRejectedError):
            wrong = make_chat(resume={"n_tokens": 7, "text": "x"})
            await collect(stream_from(session, engine, wrong))


async def test_kv_cache_moves_between_engines_without_recomputing(session):
    async with running_engine() as old, running_engine() as new:
        await set_faults(old, hold_at_token=5)
        events = []
        stream = asyncio.create_task(collect(stream_from(session, old), events))
        await asyncio.wait_for(old.batch.wait_until_held(1), TIMEOUT_S)
        exported = await export_kv(session, old.url, "r1-1")
        handle = await import_kv(session, new.url, old.url, exported.handle)
        assert await cancel(session, old.url, "r1-1")
        with pytest.raises(EndpointCutError):
            await stream
        assert exported.n_tokens == 5
        assert read_text(events) == text_of(PROMPT, 0, 5)
        resume = {"n_tokens": 5, "text": text_of(PROMPT, 0, 5), "kv": handle}
        rest = await collect(stream_from(session, new, make_chat(resume=resume)))
        assert read_text(rest) == text_of(PROMPT, 5, 20)
        assert new.batch.counts.n_tokens_recomputed == 0
        assert new.batch.counts.n_blocks_prefilled == 0


async def test_cancellation_and_disconnection_free_the_slot(session):
    async with running_engine(n_slots=1) as engine:
        await set_faults(engine, n_stalled=2)
        stalled = asyncio.create_task(collect(stream_from(session, engine)))
        async with asyncio.timeout(TIMEOUT_S):
            while not await cancel(session, engine.url, "r1-1"):
                await asyncio.sleep(0)
        with pytest.raises(EndpointCutError):
            await stalled
        stream = stream_from(session, engine, request_id="r2")
        await anext(stream)
        await stream.aclose()
        events = await collect(stream_from(session, engine, request_id="r3"))
        assert not await cancel(session, engine.url, "r1-1")
    assert read_text(events) == text_of(PROMPT, 0, 20)


async def test_orders_are_fenced_and_versions_load(session):
    async with running_engine(load_version_s=0.0) as engine:
        load = EngineOrder(kind="load_version", name="2", fencing=5)
        with pytest.raises(EndpointRefusedError):
            await collect(stream_from(session, engine, version="2"))
        await send_order(session, engine.url, load)
        async with asyncio.timeout(TIMEOUT_S):
            while "2" not in (await read_state(session, engine.url)).versions:
                await asyncio.sleep(0)
        await collect(stream_from(session, engine, version="2"))
        with pytest.raises(FencedError):
            old = EngineOrder(kind="unload_version", name="2", fencing=4)
            await send_order(session, engine.url, old)
        assert (await read_state(session, engine.url)).fencing == 5


async def test_unfenced_engine_obeys_old_orders(session):
    async with running_engine(checks_fencing=False) as engine:
        for fencing, kind in ((5, "set_role"), (4, "leave")):
            wanted = EngineOrder(kind=kind, name="prefill", fencing=fencing)
            await send_order(session, engine.url, wanted)
        state = await read_state(session, engine.url)
    assert (state.role, state.leaving, state.fencing) == ("prefill", True, 4)


async def test_bad_version_fails_late_under_load_and_on_one_route(session):
    faults = {
        "error_share": 1.0,
        "after_n_requests": 1,
        "above_n_running": 1,
        "prompt_contains": "sharks",
    }

    async def run(engine, question):
        body = make_chat(question)
        return await collect(stream_from(session, engine, body, version="2"))

    async with running_engine(versions=["1", "2"]) as engine:
        await set_faults(engine, versions={"2": faults})
        await run(engine, "sharks early")
        await run(engine, "sharks alone")
        await set_faults(engine, hold_at_token=1)
        held = asyncio.create_task(run(engine, "rays held"))
        await asyncio.wait_for(engine.batch.wait_until_held(1), TIMEOUT_S)
        with pytest.raises(EndpointFailedError):
            await run(engine, "sharks together")
        await set_faults(engine, hold_at_token=None)
        await held


async def test_cache_events_report_gaps_and_restarts(session):
    async with running_engine(event_delay_s=0.0, n_events_kept=2) as engine:
        for letter in "abcd":
            body = make_chat(letter * 600)
            await collect(stream_from(session, engine, body))
        updates = follow_cache_events(session, engine.url, clock=Clock(), poll_s=0.01)
        first = await anext(updates)
        assert [event.seq for event in first.events] == [2, 3]
        assert first.n_missing == 2
        engine.batch.cache.clear()
        assert (await anext(updates)).is_restarted


async def test_cached_prefix_is_not_prefilled_again(session):
    async with running_engine(n_cache_blocks=4) as engine:
        body = make_chat("z" * 1500)
        await collect(stream_from(session, engine, body))
        n_first = engine.batch.counts.n_blocks_prefilled
        await collect(stream_from(session, engine, body))
        assert n_first == 6
        assert engine.batch.counts.n_blocks_prefilled == 6 + 2
        assert engine.batch.counts.n_blocks_cached == 4


async def test_highest_priority_runs_first(session):
    async with running_engine(n_slots=1) as engine:
        await set_faults(engine, hold_at_token=1)
        order_of_starts = []

        async def run(name, priority):
            stream = stream_from(session, engine, request_id=name, priority=priority)
            async for _ in stream:
                if name not in order_of_starts:
                    order_of_starts.append(name)

        tasks = [asyncio.create_task(run("first", 0))]
        await asyncio.wait_for(engine.batch.wait_until_held(1), TIMEOUT_S)
        for n_waiting, (name, priority) in enumerate((("low", 1), ("high", 5)), 1):
            tasks.append(asyncio.create_task(run(name, priority)))
            async with asyncio.timeout(TIMEOUT_S):
                while engine.batch.slots.n_waiting < n_waiting:
                    await asyncio.sleep(0)
        await set_faults(engine, hold_at_token=None)
        await asyncio.gather(*tasks)
    assert order_of_starts == ["first", "high", "low"]


async def test_load_report_lags(session):
    async with running_engine(load_lag_s=3600) as engine:
        await collect(stream_from(session, engine, make_chat("q" * 600)))
        lagging = await read_load(session, engine.url)
        engine.load.lag_s = 0.0
        fresh = await read_load(session, engine.url)
    assert lagging.kv_used_share == 0.0
    assert fresh.kv_used_share > 0.0
    assert fresh.n_slots == 8


def test_tokens_differ_between_prompts():
    other = canonical_prompt([("user", "When do the rays eat?")])
    assert text_of(PROMPT, 0, 10) != text_of(other, 0, 10)
    assert text_of(PROMPT, 0, 4) + text_of(PROMPT, 4, 9) == text_of(PROMPT, 0, 9)
