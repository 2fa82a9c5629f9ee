"""What all requests together hold in memory, beside endpoints that send without end."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from lagoonring.endpoints.errors import EndpointCutError
from lagoonring.platform.sending import (
    HttpSender,
    make_session,
)
from lagoonring.serving.buffers import BufferPool
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.errors import OverloadError
from lagoonring.tests.builders.front_ends import (
    ask,
    make_head,
    serving,
    split_answer,
)
from lagoonring.tests.builders.raw_endpoints import endless_endpoint, raw_endpoint
from lagoonring.tests.builders.serving import (
    FakeAnswer,
    make_configuration,
    make_parts,
    make_record,
    make_request,
    make_route,
    serve,
)

MIB = 1 << 20
LIMIT_BYTES = 4 * MIB
N_REQUESTS = 20
BUFFERED_BYTES = MIB  # by the library and by the endpoint of the test, per connection
HEAD = (
    b"HTTP/1.1 200 OK\r\nLagoonring-Request-Id: "
    + make_request().request_id.encode()
    + b"\r\nLagoonring-Response-Stamp: signed\r\n"
)
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n\r\n"


def make_service(session, address, kind=RequestKind.ONCE):
    route = make_route(kind=kind, timeout_s=5.0, max_attempts=1)
    parts = make_parts(
        HttpSender(session, relay_port=9),
        make_record("a", address=address, n_slots=N_REQUESTS),
        configuration=make_configuration(route),
    )
    parts.buffers.limit_bytes = LIMIT_BYTES
    return parts


@pytest.mark.parametrize(
    ("kind", "start"),
    [(RequestKind.ONCE, HEAD + b"\r\n"), (RequestKind.STREAM, STREAM_HEAD)],
)
async def test_many_answers_without_end_are_bounded_together(kind, start):
    # Guards against a process that runs out of memory, though each answer is bounded.
    tracemalloc.start()
    try:
        async with endless_endpoint(start, b"x") as endless, make_session() as session:
            parts = make_service(session, endless.address, kind)
            async with asyncio.timeout(30):
                await asyncio.gather(*(serve(parts) for _ in range(N_REQUESTS)))
        _, most_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert most_bytes <= LIMIT_BYTES + N_REQUESTS * BUFFERED_BYTES
    assert parts.buffers.n_bytes == 0
    assert not parts.buffers.buffers


async def test_sound_answer_is_kept_when_the_memory_is_used_up():
    # Guards against giving up an answer for another that has no end.
    proceed = asyncio.Event()

    async def answer_slowly(writer, head):
        writer.write(HEAD + b"Content-Length: 2000\r\n\r\n" + b"y" * 1000)
        await proceed.wait()
        writer.write(b"y" * 1000)

    async with (
        raw_endpoint(answer_slowly) as (address, heads),
        endless_endpoint(HEAD + b"\r\n", b"x") as endless,
        make_session() as session,
    ):
        sound = make_service(session, address)
        faulty = make_service(session, endless.address)
        faulty.buffers = sound.buffers
        async with asyncio.timeout(30):
            answering = asyncio.create_task(serve(sound))
            while not heads or not sound.buffers.n_bytes:
                await asyncio.sleep(0.001)
            given_up = await serve(faulty)
            proceed.set()
            sink = await answering
    assert given_up.status == 502
    assert (sink.status, len(sink.body)) == (200, 2000)


def test_longest_answer_is_given_up_first():
    # Guards against memory that stays used up by an answer that no longer grows.
    cut = []
    pool = BufferPool(limit_bytes=100)
    with (
        pool.open(lambda: cut.append("long")) as long,
        pool.open(lambda: cut.append("short")) as short,
        pool.open() as body,
    ):
        body.hold_body(30)
        long.hold(60)
        short.hold(20)
        assert cut == ["long"]
        short.hold(70)
        with pytest.raises(EndpointCutError):
            short.hold(71)
        assert cut == ["long", "short"]
        assert pool.n_bytes == 30


def test_whole_answer_and_body_of_a_request_in_progress_are_kept():
    # Guards against requests that are lost after they have run.
    pool = BufferPool(limit_bytes=100)
    with pool.open() as body, pool.open(lambda: None) as whole, pool.open() as late:
        body.hold_body(40)
        whole.hold(60)
        whole.keep()
        with pytest.raises(OverloadError):
            late.hold_body(1)
        assert pool.n_bytes == 100
    assert pool.n_bytes == 0


async def test_body_that_does_not_fit_is_refused_and_not_run():
    # Guards against uploads that together use up the memory.
    async with serving(lambda order: FakeAnswer([b"ok"])) as front:
        front.path.parts.buffers.limit_bytes = 10
        head = make_head("/lookup/7", "POST", "Content-Length: 20")
        status, _, body = split_answer(await ask(front, head + b"x" * 20))
        assert (status, b'"not_run"' in body) == (503, True)
        assert front.path.parts.buffers.n_bytes == 0
