"""What reaches endpoints over HTTP, and what their faulty answers become."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointCrossedError,
    EndpointCutError,
    EndpointError,
    EndpointTimeoutError,
)
from lagoonring.platform.sending import HttpSender, make_session
from lagoonring.serving.requests import SendOrder
from lagoonring.tests.builders.ports import free_ports
from lagoonring.tests.builders.serving import make_record, make_request, raw_endpoint

ID = make_request().request_id
HEAD = (
    b"HTTP/1.1 200 OK\r\nLagoonring-Request-Id: " + ID.encode() + b"\r\n"
    b"Lagoonring-Response-Stamp: signed\r\n"
)


@pytest.fixture
async def sender():
    async with make_session() as session:
        yield HttpSender(session)


def make_order(address, **changes):
    values = {
        "endpoint": make_record("i-1", address=address),
        "left_s": 2.0,
        "urgency": 1,
        "organisation": "one",
        "resume_after": None,
    }
    return SendOrder(**(values | changes))


async def exchange(sender, address, request=None, **changes):
    answer = await sender.send(
        request or make_request(), make_order(address, **changes)
    )
    try:
        return answer, await answer.read()
    finally:
        answer.close()


def say(content):
    def answer(writer, head):
        writer.write(content)

    return answer


def whole(body=b"ok", head=HEAD):
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def reset(writer):
    """Close a connection by a reset."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def test_tells_the_endpoint_what_only_the_system_may_say(sender):
    request = make_request(
        method="POST",
        target="/lookup/7%2Fa?b=%20c",
        headers=(("Lagoonring-Model", "m"), ("Host", "desk.example")),
        body=b"body",
        has_body=True,
        counts_tokens=True,
    )
    async with raw_endpoint(say(whole())) as (address, heads):
        await exchange(sender, address, request, resume_after=4, left_s=1.5)
    lines = heads[0].decode().split("\r\n")
    assert lines[0] == "POST /lookup/7%2Fa?b=%20c HTTP/1.1"
    got = dict(line.split(": ", 1) for line in lines[1:] if line)
    assert got["Host"] == "desk.example"
    assert got["Lagoonring-Model"] == "m"
    assert got["Lagoonring-Tenant"] == "one"
    assert got["Lagoonring-Expect-Instance"] == "i-1"
    assert got["Lagoonring-Request-Urgency"] == "1"
    assert got["Last-Event-Id"] == "4"
    assert 0 < int(got["Lagoonring-Deadline-Ms"]) <= 1500
    assert "Accept-Encoding" not in got


async def test_returns_status_body_and_headers_that_concern_the_caller(sender):
    head = HEAD + b"Lagoonring-Server-Load: 3,1,8\r\nKeep-Alive: timeout=5\r\n"
    async with raw_endpoint(say(whole(head=head))) as (address, _):
        answer, body = await exchange(sender, address)
    assert (answer.status, body, answer.is_signed) == (200, b"ok", True)
    names = {name.lower() for name, _ in answer.headers}
    assert names == {"lagoonring-request-id", "lagoonring-response-stamp"}


async def test_no_connection_means_not_run(sender):
    with pytest.raises(EndpointConnectError):
        await exchange(sender, f"127.0.0.1:{free_ports(1)[0]}")


@pytest.mark.parametrize(
    "content",
    [
        b"",
        HEAD,
        HEAD + b"Content-Length: 10\r\n\r\nhalf",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
        HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
        b"not http at all\r\n\r\n",
    ],
)
async def test_an_answer_that_breaks_off_or_is_none_is_never_whole(sender, content):
    def answer(writer, head):
        writer.write(content)
        writer.close()

    async with raw_endpoint(answer) as (address, heads):
        with pytest.raises(EndpointError):
            await exchange(sender, address)
    assert len(heads) == 1


async def test_a_body_without_length_ends_with_its_connection(sender):
    def answer(writer, head):
        writer.write(HEAD + b"\r\nwhole")
        writer.close()

    async with raw_endpoint(answer) as (address, _):
        _, body = await exchange(sender, address)
    assert body == b"whole"


async def test_a_body_without_length_that_is_reset_is_not_whole(sender):
    async def answer(writer, head):
        writer.write(HEAD + b"\r\nhalf")
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    async with raw_endpoint(answer) as (address, _):
        with pytest.raises(EndpointCutError):
            await exchange(sender, address)


async def test_never_repeats_on_its_own_when_a_kept_connection_breaks(sender):
    n_answers = 0

    def answer(writer, head):
        nonlocal n_answers
        n_answers += 1
        if n_answers == 1:
            writer.write(whole())
        else:
            writer.close()

    async with raw_endpoint(answer) as (address, heads):
        await exchange(sender, address)
        with pytest.raises(EndpointCutError):
            await exchange(sender, address)
    assert len(heads) == 2


async def test_an_answer_to_another_request_is_dropped_with_its_connection(sender):
    other = HEAD.replace(ID.encode(), b"ffffffffffffffff")
    async with raw_endpoint(say(whole(b"foreign", other))) as (address, _):
        with pytest.raises(EndpointCrossedError):
            await exchange(sender, address)


async def test_a_second_answer_is_never_taken_for_the_next_request(sender):
    n_answers = 0

    async def answer(writer, head):
        nonlocal n_answers
        n_answers += 1
        if n_answers > 1:
            writer.write(whole(b"second", HEAD.replace(ID.encode(), b"e" * 16)))
            return
        writer.write(whole(b"first") + whole(b"extra"))

    async with raw_endpoint(answer) as (address, _):
        _, first = await exchange(sender, address)
        second_request = make_request(request_id="e" * 16)
        body = None
        with contextlib.suppress(EndpointError):
            _, body = await exchange(sender, address, second_request)
    assert first == b"first"
    assert body in (None, b"second")


async def test_a_late_second_answer_on_an_idle_connection_is_dropped(sender):
    async def answer(writer, head):
        got = head.split(b"Lagoonring-Request-Id: ")[1].split(b"\r\n")[0]
        writer.write(whole(got, HEAD.replace(ID.encode(), got)))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(whole(b"late"))

    def request(request_id):
        headers = (("Lagoonring-Request-Id", request_id),)
        return make_request(request_id=request_id, headers=headers)

    async with raw_endpoint(answer) as (address, _):
        await exchange(sender, address, request(ID))
        await asyncio.sleep(0.1)
        body = None
        with contextlib.suppress(EndpointError):
            _, body = await exchange(sender, address, request("e" * 16))
    assert body in (None, b"e" * 16)


async def test_an_answer_before_the_body_was_read_leaves_no_foreign_bytes(sender):
    """The endpoint reads the rest of the body later, on the same connection."""
    body = bytes(range(256)) * 2000
    received = bytearray()

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(whole(b"early"))
        await writer.drain()
        await asyncio.sleep(0.05)
        n_left = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            received.extend(await reader.readexactly(n_left))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    request = make_request(method="POST", body=body, has_body=True)
    with contextlib.suppress(EndpointError):
        await exchange(sender, f"{host}:{port}", request)
    await asyncio.sleep(0.3)
    server.close()
    assert body.startswith(bytes(received))


async def test_a_silent_endpoint_is_given_up_at_the_time_left(sender):
    async with raw_endpoint(lambda writer, head: None) as (address, _):
        with pytest.raises(EndpointTimeoutError):
            await exchange(sender, address, left_s=0.05)
