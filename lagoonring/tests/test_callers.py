"""The HTTP front end: validation of requests, answers and connection handling."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from lagoonring.platform.sending import HttpSender, make_session
from lagoonring.tests.builders.front_ends import (
    ID,
    ask,
    make_head,
    serving,
    split_answer,
)
from lagoonring.tests.builders.raw_endpoints import raw_endpoint
from lagoonring.tests.builders.serving import (
    KEY,
    FakeAnswer,
    FakeSender,
    make_event,
    make_record,
)


async def test_forwards_the_answer_of_the_endpoint():
    headers = [("Lagoonring-Response-Stamp", "signed"), ("Content-Type", "text/odd")]
    async with serving(lambda order: FakeAnswer([b"ok"], headers=headers)) as front:
        status, head, body = split_answer(await ask(front, make_head()))
    assert (status, body) == (200, b"ok")
    assert "Lagoonring-Response-Stamp: signed" in head
    assert "Content-Type: text/odd" in head


async def test_key_and_reserved_headers_are_not_forwarded():
    async with (
        raw_endpoint(
            lambda writer, head: writer.write(
                b"HTTP/1.1 200 OK\r\nLagoonring-Request-Id: " + ID.encode() + b"\r\n"
                b"Lagoonring-Response-Stamp: s\r\nContent-Length: 0\r\n\r\n"
            )
        ) as (address, heads),
        make_session() as session,
    ):
        record = make_record("a", address=address)
        async with serving(
            HttpSender(session, relay_port=9), records=(record,)
        ) as front:
            forged = [
                "Lagoonring-Tenant: other",
                "Lagoonring-Hold: h",
                "Kv-From: 1.2.3.4:5/6",
                "Lagoonring-Pin-Ms: 4000",
                "Lagoonring-Kv-Backup: 1.2.3.4:5",
                "Lagoonring-Expect-Instance: b",
                "Connection: close, X-Hop",
                "X-Hop: 1",
                "X-End: 2",
            ]
            await ask(front, make_head("/lookup/7", "GET", *forged, close=False))
    text = heads[0].decode()
    assert KEY not in text
    assert "Lagoonring-Tenant: one" in text
    assert "Lagoonring-Expect-Instance: a" in text
    assert "X-End: 2" in text
    for name in ("other", "Hold", "Kv-From", "Pin-Ms", "Backup", "X-Hop"):
        assert name not in text


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (make_head("/none/7"), 404),
        (make_head(key="stale"), 401),
        (make_head(key=None), 401),
        (make_head("/lookup/7", "GET", f"Lagoonring-Request-Id: {ID}"), 400),
        (make_head("/lookup/7", "GET", "Lagoonring-Deadline-Ms: soon"), 400),
        (make_head("/lookup/7", "GET", "Lagoonring-Token-Count: 1"), 400),
        (make_head("/lookup/7", "GET", "Lagoonring-Token-Count: -9000,1"), 400),
        (make_head("/lookup/7", "POST", "Content-Length: 5000"), 413),
        (make_head("http://desk.example/lookup/7"), 400),
        (b"GET /lookup/7 HTTP/1.1\r\nHost: desk.example\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
    ],
)
async def test_refuses_invalid_requests(head, status):
    sender = FakeSender(lambda order: FakeAnswer([b"ok"]))
    async with serving(sender) as front:
        got, _, _ = split_answer(await ask(front, head))
    assert got == status
    assert sender.orders == []


@pytest.mark.parametrize(
    "framing",
    [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Content-Length: 4\r\nContent-Length: 40",
        "Transfer-Encoding: chunked, identity",
        "Content-Length: +4",
    ],
)
async def test_smuggled_request_is_not_run(framing):
    sender = FakeSender(lambda order: FakeAnswer([b"ok"]))
    inner = make_head("/lookup/8")
    async with serving(sender) as front:
        content = make_head("/lookup/7", "POST", framing, close=False)
        await ask(front, content + b"0\r\n\r\n" + inner)
    assert len(sender.orders) <= 1


async def test_unfinished_body_is_not_forwarded():
    sender = FakeSender(lambda order: FakeAnswer([b"ok"]))
    async with serving(sender) as front:
        host, port = front.addresses[0]
        _, writer = await asyncio.open_connection(host, port)
        writer.write(make_head("/lookup/7", "POST", "Content-Length: 10") + b"half")
        await writer.drain()
        writer.close()
        await asyncio.sleep(0.05)
    assert sender.orders == []


async def test_error_answer_has_remedy_outcome_and_retry_after():
    sender = FakeSender(lambda order: FakeAnswer(status=503, is_not_run=True))
    async with serving(sender) as front:
        status, head, body = split_answer(await ask(front, make_head()))
    error = json.loads(body)["error"]
    assert status == 503
    assert "Retry-After: " in head
    assert error["outcome"] == "not_run"
    assert error["request_id"] == ID
    assert error["remedy"]


async def test_complete_stream_is_terminated():
    answer = FakeAnswer([make_event(0), make_event(1)])
    async with serving(lambda order: answer) as front:
        status, head, body = split_answer(await ask(front, make_head("/stream/1")))
    assert status == 200
    assert "chunked" in head
    assert make_event(0) in body
    assert body.endswith(b"0\r\n\r\n")


async def test_broken_stream_is_not_terminated():
    answer = FakeAnswer([make_event(0), b"id: 1\n"])
    async with serving(lambda order: answer) as front:
        try:
            got = await ask(front, make_head("/stream/1"))
        except ConnectionResetError:
            got = b""
    assert not got.endswith(b"0\r\n\r\n")


@asynccontextmanager
async def asking_without_chunks(front):
    """Ask for a stream as a caller that knows no chunks; yields the reader."""
    reader, writer = await asyncio.open_connection(*front.addresses[0])
    writer.write(make_head("/stream/1").replace(b"HTTP/1.1", b"HTTP/1.0"))
    async with asyncio.timeout(5):
        yield reader
    writer.close()


@pytest.mark.parametrize("stops", [False, True])
async def test_a_stream_without_chunks_that_breaks_off_does_not_look_complete(stops):
    proceed = asyncio.Event()

    class Answer(FakeAnswer):
        async def chunks(self):
            yield make_event(0)
            await proceed.wait()
            yield b"id: 1\n"

    async with (
        serving(lambda order: Answer()) as front,
        asking_without_chunks(front) as reader,
    ):
        await reader.readuntil(make_event(0))
        if stops:
            await front.stop()
        proceed.set()
        with pytest.raises(ConnectionResetError):
            await reader.read()


async def test_a_whole_stream_without_chunks_ends_with_a_close():
    answer = FakeAnswer([make_event(0), make_event(1)])
    async with (
        serving(lambda order: answer) as front,
        asking_without_chunks(front) as reader,
    ):
        got = await reader.read()
    assert split_answer(got)[2] == make_event(0) + make_event(1)


async def test_caller_disconnect_cancels_the_request():
    started = asyncio.Event()
    ended = asyncio.Event()

    async def endless(order):
        started.set()
        try:
            await asyncio.sleep(30)
        finally:
            ended.set()

    async with serving(lambda order: endless(order)) as front:
        host, port = front.addresses[0]
        _, writer = await asyncio.open_connection(host, port)
        writer.write(make_head("/stream/1", close=False))
        async with asyncio.timeout(5):
            await started.wait()
            writer.close()
            await ended.wait()


async def test_is_ready_from_first_configuration_until_leaving():
    sender = FakeSender(lambda order: FakeAnswer([b"ok"]))
    question = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    async with serving(sender) as front:
        known = front.path.parts.follower.configuration
        front.path.parts.follower.configuration = None
        assert split_answer(await ask(front, question, index=1))[0] == 503
        front.path.parts.follower.configuration = known
        assert split_answer(await ask(front, question, index=1))[0] == 200
        await front.retire()
        assert split_answer(await ask(front, question, index=1))[0] == 503


async def read_until_closed(reader):
    """Return all bytes received until the connection is closed."""
    async with asyncio.timeout(5):
        return await reader.read()


async def test_leaving_instance_closes_only_idle_connections():
    proceed = asyncio.Event()

    async def wait(order):
        await proceed.wait()
        return FakeAnswer([b"ok"])

    async with serving(lambda order: wait(order)) as front:
        host, port = front.addresses[0]
        idle, idle_writer = await asyncio.open_connection(host, port)
        busy, busy_writer = await asyncio.open_connection(host, port)
        busy_writer.write(make_head(close=False))
        while not front.connections.busy:
            await asyncio.sleep(0.001)
        await front.retire()
        await front.drain(0.0)
        assert await read_until_closed(idle) == b""
        proceed.set()
        answer = await read_until_closed(busy)
    assert split_answer(answer)[2] == b"ok"
    for writer in (idle_writer, busy_writer):
        writer.close()


async def test_request_that_races_its_connection_close_is_not_run():
    sender = FakeSender(lambda order: FakeAnswer([b"ok"]))
    async with serving(sender) as front:
        host, port = front.addresses[0]
        reader, writer = await asyncio.open_connection(host, port)
        await front.retire()
        (connection,) = await connections_of(front)
        connection.data_received(make_head(close=False))
        await front.drain(0.0)
        assert await read_until_closed(reader) == b""
        writer.close()
    assert sender.orders == []


async def connections_of(front):
    """Wait for the first connection to the front end and return all of them."""
    while not front.runners[0].server.connections:
        await asyncio.sleep(0.001)
    return front.runners[0].server.connections


async def test_leaving_instance_answers_with_connection_close():
    sender = FakeSender(lambda order: FakeAnswer([b"ok"]))
    async with serving(sender) as front:
        await front.retire()
        status, head, body = split_answer(await ask(front, make_head(close=False)))
    assert (status, body) == (200, b"ok")
    assert "Connection: close" in head
