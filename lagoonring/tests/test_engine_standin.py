"""Tests of the engine stand-in with the OpenAI client and with arbitrary bodies."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import msgspec
import openai
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.kernel import ManualClock
from lagoonring.standins.engine_core import Batch
from lagoonring.standins.engine_requests import FaultyRequestError, Job, parse_job
from lagoonring.standins.engine_slots import Slots
from lagoonring.standins.options import EngineOptions
from lagoonring.standins.tokens import text_of
from lagoonring.tests.builders.standins import (
    PROMPT,
    QUESTION,
    make_chat,
    running_engine,
)

MESSAGES = [{"role": "user", "content": QUESTION}]

any_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
messages = st.lists(
    st.fixed_dictionaries(
        {"role": st.text() | any_json},
        optional={"content": st.text() | st.none() | any_json},
    )
)
bodies = st.fixed_dictionaries(
    {},
    optional={
        "messages": messages | any_json,
        "max_tokens": st.integers() | any_json,
        "max_completion_tokens": st.integers() | any_json,
        "stream": st.booleans() | any_json,
        "stream_options": any_json,
        "resume": st.fixed_dictionaries(
            {"n_tokens": st.integers(), "text": st.text()}, optional={"kv": any_json}
        )
        | any_json,
    },
)


@given(body=bodies.map(msgspec.json.encode) | st.binary())
@settings(derandomize=True, max_examples=400, deadline=None)
def test_arbitrary_body_gives_a_job_or_a_typed_error(body):
    try:
        job = parse_job(body, {}, default_version="1")
    except FaultyRequestError:
        return
    assert job.n_tokens > 0
    assert job.prompt


@given(priority=st.text())
@settings(derandomize=True, max_examples=100, deadline=None)
def test_arbitrary_priority_gives_a_number_or_a_typed_error(priority):
    try:
        job = parse_job(make_chat(), {"X-Priority": priority}, default_version="1")
    except FaultyRequestError:
        return
    assert isinstance(job.priority, int)


async def test_invalid_bodies_get_400_and_do_not_run():
    invalid_bodies = [
        b"",
        b"[]",
        b"{",
        b'{"messages": []}',
        b'{"messages": [{}]}',
        b"\xff",
    ]
    invalid_bodies += [make_chat(max_tokens=-1), make_chat(max_tokens=10**9)]
    async with running_engine() as engine, aiohttp.ClientSession() as session:
        url = f"{engine.url}/v1/chat/completions"
        for body in invalid_bodies:
            async with session.post(url, data=body) as answer:
                assert answer.status == 400, body
                assert "error" in await answer.json()
        for body in (b'{"n_cut": -1}', b'{"n_cuts": 1}', b"[]", b'{"versions": 1}'):
            async with session.post(f"{engine.url}/faults", data=body) as answer:
                assert answer.status == 400, body
        async with session.post(f"{engine.url}/orders", data=b'{"kind": 1}') as answer:
            assert answer.status == 400
        async with session.get(f"{engine.url}/cache/events?from=x") as answer:
            assert answer.status == 400
        assert engine.batch.counts.n_requests == 0


async def test_openai_client_reads_streamed_and_complete_answers():
    async with running_engine() as engine:
        client = openai.AsyncOpenAI(base_url=f"{engine.url}/v1", api_key="none")
        async with client:
            stream = await client.chat.completions.create(
                model="guide",
                messages=MESSAGES,
                max_tokens=9,
                stream=True,
                stream_options={"include_usage": True},
            )
            chunks = [chunk async for chunk in stream]
            whole = await client.chat.completions.create(
                model="guide", messages=MESSAGES, max_tokens=9
            )
            models = await client.models.list()
            with pytest.raises(openai.BadRequestError):
                await client.chat.completions.create(model="guide", messages=[])
    texts = [choice.delta.content or "" for event in chunks for choice in event.choices]
    assert "".join(texts) == text_of(PROMPT, 0, 9)
    assert chunks[-1].usage.completion_tokens == 9
    assert whole.choices[0].message.content == text_of(PROMPT, 0, 9)
    assert whole.usage == chunks[-1].usage
    assert [model.id for model in models.data] == ["1"]


def make_job(attempt_id: str, n_tokens: int, question: str = QUESTION) -> Job:
    headers = {"X-Request-Id": attempt_id, "X-Attempt-Id": attempt_id}
    body = make_chat(question, max_tokens=n_tokens)
    return parse_job(body, headers, default_version="1")


async def drain(batch: Batch, job: Job) -> None:
    async for _ in batch.run(job):
        pass


async def time_batch(n_jobs: int, options: EngineOptions) -> float:
    """Return the duration, on a manual clock, of concurrent jobs of 10 tokens."""
    clock = ManualClock()
    batch = Batch(options, clock=clock, crash=lambda: None)
    start_s = clock.monotonic()
    jobs = [make_job(f"a{k}", 10, f"question {k}") for k in range(n_jobs)]
    running = asyncio.gather(*(drain(batch, job) for job in jobs))
    for _ in range(10_000):
        if running.done():
            break
        await clock.advance(0.001)
    await running
    return clock.monotonic() - start_s


async def test_tokens_slow_down_with_batch_size_and_excess_jobs_queue():
    options = EngineOptions(
        n_slots=4, token_s=0.01, batch_growth=0.5, prefill_block_s=0.1
    )
    alone_s = await time_batch(1, options)
    together_s = await time_batch(4, options)
    queued_s = await time_batch(8, options)
    assert alone_s == pytest.approx(0.1 + 10 * 0.01, abs=0.005)
    assert together_s == pytest.approx(0.1 + 10 * 0.01 * 2.5, abs=0.005)
    assert queued_s == pytest.approx(2 * together_s, abs=0.01)


@given(seed=st.integers(0, 1000))
@settings(derandomize=True, max_examples=20, deadline=None)
def test_slots_are_never_lost_when_requests_are_cancelled(seed):
    asyncio.run(cancel_at_random(random.Random(seed)))


async def cancel_at_random(rng: random.Random) -> None:
    clock = ManualClock()
    options = EngineOptions(n_slots=2, token_s=0.01)
    batch = Batch(options, clock=clock, crash=lambda: None)
    tasks = [
        asyncio.create_task(drain(batch, make_job(f"a{k}", rng.randint(1, 10))))
        for k in range(8)
    ]
    for _ in range(400):
        await clock.advance(0.004)
        if rng.random() < 0.3:
            rng.choice(tasks).cancel()
        assert batch.slots.n_running <= 2
    await asyncio.gather(*tasks, return_exceptions=True)
    assert (batch.slots.n_running, batch.slots.n_waiting) == (0, 0)
    assert not batch.jobs


async def test_slot_granted_to_a_cancelled_request_passes_to_the_next():
    slots = Slots(1)
    await slots.acquire(0)
    waiting = [asyncio.create_task(slots.acquire(0)) for _ in range(2)]
    await asyncio.sleep(0)
    slots.release()
    waiting[0].cancel()
    async with asyncio.timeout(5):
        await waiting[1]
    assert slots.n_running == 1
