"""Answers that endpoints send again, late or for other requests."""

from __future__ import annotations

import asyncio

import pytest

from lagoonring.endpoints import connections
from lagoonring.endpoints.errors import EndpointCrossedError, RelayCutError
from lagoonring.errors import Outcome
from lagoonring.platform.sending import HttpSender, make_session
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.relay_directory import Relay
from lagoonring.serving.requests import SendOrder
from lagoonring.tests.builders.raw_endpoints import raw_endpoint
from lagoonring.tests.builders.serving import (
    make_configuration,
    make_parts,
    make_record,
    make_request,
    make_route,
    serve,
)

ID, OTHER = make_request().request_id, "f" * 16
NOT_RUN = "Lagoonring-Not-Executed: 1\r\n"


def make_answer(status, request_id=ID, lines=NOT_RUN, body="no"):
    """Return an answer; without an id if it is empty."""
    echo = f"Lagoonring-Request-Id: {request_id}\r\n" if request_id else ""
    return (
        f"HTTP/1.1 {status} X\r\n{echo}{lines}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def make_success(request_id=ID):
    return make_answer(
        200, request_id, "Lagoonring-Response-Stamp: signed\r\n", request_id
    )


def id_of(head):
    return head.split(b"Lagoonring-Request-Id: ")[1].split(b"\r\n")[0].decode()


@pytest.fixture
async def sender():
    async with make_session() as session:
        yield HttpSender(session, relay_port=9)


async def send(sender, address, request_id=ID, *, relay=None, **changes):
    """Return an answer to one request and its body."""
    headers = (("Lagoonring-Request-Id", request_id),)
    request = make_request(request_id=request_id, headers=headers, **changes)
    order = SendOrder(
        endpoint=make_record("i-1", address=address),
        left_s=2.0,
        urgency=1,
        organisation="one",
        resume_after=None,
        relay=relay,
    )
    answer = await sender.send(request, order)
    try:
        if answer.is_not_run:
            return answer, b""
        return answer, await answer.read()
    finally:
        answer.close()


@pytest.mark.parametrize("body", ["", "no"])
@pytest.mark.parametrize(
    ("status", "request_id", "lines"),
    [
        (421, OTHER, NOT_RUN),
        (421, "", NOT_RUN),
        (421, ID, ""),
        (503, OTHER, NOT_RUN),
        (503, "", NOT_RUN),
        (503, ID, ""),
        (429, ID, ""),
        (408, ID, ""),
    ],
)
async def test_only_a_refusal_of_this_request_sends_it_to_another_endpoint(
    sender, status, request_id, lines, body
):
    content = make_answer(status, request_id, lines, body)
    async with (
        raw_endpoint(lambda writer, head: writer.write(content)) as (one, first),
        raw_endpoint(lambda writer, head: writer.write(content)) as (two, second),
    ):
        route = make_route(kind=RequestKind.ONCE, max_attempts=3)
        parts = make_parts(
            sender,
            make_record("a", address=one),
            make_record("b", address=two),
            configuration=make_configuration(route),
        )
        sink = await serve(parts)
    assert (sink.status, sink.error.outcome) == (502, Outcome.UNKNOWN)
    assert len(first + second) == 1


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("status", [421, 429, 503])
async def test_a_copy_of_a_refusal_is_not_the_answer_to_the_same_id(
    sender, status, is_late
):
    """The copy comes on the idle connection, or when the second request is read."""
    refusal = make_answer(status, body="")
    refused = []

    async def answer(writer, head):
        if not refused:
            refused.append(writer)
            writer.write(refusal)
            await writer.drain()
            await asyncio.sleep(0.02)
            if not is_late:
                writer.write(refusal)
        elif writer in refused:
            writer.write(refusal * is_late + make_success())
        else:
            writer.write(make_success())

    async with raw_endpoint(answer) as (address, heads):
        first, _ = await send(sender, address)
        await asyncio.sleep(0.05)
        second, body = await send(sender, address)
    assert (first.is_not_run, second.is_not_run, body) == (True, False, ID.encode())
    assert len(heads) == 2


@pytest.mark.parametrize("is_read", [False, True])
async def test_bytes_on_an_idle_connection_are_not_the_next_answer(sender, is_read):
    """The client has read the bytes before it sends, or they wait in its socket."""
    writers = []

    def answer(writer, head):
        writers.append(writer)
        writer.write(make_success(id_of(head)))

    async with raw_endpoint(answer) as (address, _):
        await send(sender, address)
        writers[0].write(make_answer(503))
        await asyncio.sleep(0.05 * is_read)
        _, body = await send(sender, address, OTHER)
    assert body == OTHER.encode()
    assert writers[0] is not writers[1]


async def test_a_connection_is_not_reused_after_an_answer_to_another_request(sender):
    """Its own answer follows, and each later request would get the one before."""

    def answer(writer, head):
        n_answers = 2 if id_of(head) == ID else 1
        writer.write(make_answer(503, OTHER, body="") * (n_answers - 1))
        asyncio.get_running_loop().call_later(
            0.02, writer.write, make_success(id_of(head))
        )

    async with raw_endpoint(answer) as (address, _):
        with pytest.raises(EndpointCrossedError):
            await send(sender, address)
        for request_id in ("d" * 16, "e" * 16):
            _, body = await send(sender, address, request_id)
            assert body == request_id.encode()


async def test_a_refused_upload_leaves_nothing_on_a_reused_connection(sender):
    """The endpoint refuses before it has read the body, and reads on later."""
    uploads = []

    async def serve_connection(reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return writer.close()
            uploads.append(head)
            if b"Content-Length" not in head:
                writer.write(make_success(id_of(head)))
                continue
            writer.write(make_answer(503, body=""))
            await writer.drain()
            await asyncio.sleep(0.1)
            n_left = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            try:
                uploads.append(await reader.readexactly(n_left))
            except (asyncio.IncompleteReadError, ConnectionError):
                return writer.close()

    server = await asyncio.start_server(serve_connection, "127.0.0.1", 0, limit=1 << 16)
    host, port = server.sockets[0].getsockname()
    async with server:
        upload = {"method": "POST", "body": b"x" * (8 << 20), "has_body": True}
        first, _ = await send(sender, f"{host}:{port}", **upload)
        _, body = await send(sender, f"{host}:{port}", OTHER)
    assert first.is_not_run
    assert body == OTHER.encode()
    assert all(part[:4] in (b"POST", b"GET ", b"xxxx") for part in uploads)


async def test_a_connection_carries_a_bounded_number_of_requests(sender, monkeypatch):
    monkeypatch.setattr(connections, "MAX_REQUESTS", 2)
    writers = set()

    def answer(writer, head):
        writers.add(writer)
        writer.write(make_success(id_of(head)))

    async with raw_endpoint(answer) as (address, heads):
        for number in range(6):
            await send(sender, address, f"{number:016}")
    assert (len(heads), len(writers)) == (6, 3)


@pytest.mark.parametrize("code", ["relay_refused", "endpoint_connect"])
@pytest.mark.parametrize("request_id", [OTHER, ""])
async def test_a_relay_refuses_only_the_request_that_it_names(code, request_id):
    lines = f"Lagoonring-Relay-Result: {code}\r\n" + NOT_RUN
    content = make_answer(503, request_id, lines)
    async with (
        make_session() as session,
        raw_endpoint(lambda writer, head: writer.write(content)) as (address, _),
    ):
        sender = HttpSender(session, relay_port=int(address.rpartition(":")[2]))
        with pytest.raises(RelayCutError) as caught:
            await send(sender, "127.0.0.1:9", relay=Relay("127.0.0.1:1", 1))
    assert caught.value.outcome is Outcome.UNKNOWN
