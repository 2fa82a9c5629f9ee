"""Requests that an instance reads around its planned stop, over HTTP."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager, suppress

import pytest

from lagoonring.standins.platform_standin import PlatformStandin
from lagoonring.tests.builders.instances import (
    ANSWER,
    ID,
    LIMIT_S,
    ask,
    make_config,
    make_heartbeat,
    running_instances,
    wait_for,
)
from lagoonring.tests.builders.raw_endpoints import raw_endpoint
from lagoonring.tests.builders.serving import HOST, KEY

GRACE_S = 0.4


@asynccontextmanager
async def serving(answer, **route):
    """Run an instance before one endpoint; yields both and the received heads."""
    platform = PlatformStandin()
    await platform.start()
    try:
        async with raw_endpoint(answer) as (address, heads):
            platform.write_operator("config", make_config(**route))
            platform.write_endpoint("i-1", make_heartbeat(address))
            async with running_instances(platform) as (app,):
                table = app.find("follower").table
                await wait_for(lambda: table.of_service("desk"))
                yield platform, app, heads
    finally:
        await platform.stop()


def serve_ok(writer, head):
    writer.write(ANSWER)


async def never(writer, head):
    await asyncio.Event().wait()


@asynccontextmanager
async def open_connection(app):
    """Connect to an instance as a caller that keeps its connection."""
    host, port = app.settings.caller_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


def send(writer, path="/a/1"):
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nLagoonring-Request-Id: {ID}\r\n"
        f"Authorization: Token {KEY}\r\n\r\n".encode()
    )


async def read_to_end(reader):
    """Return what arrives until the connection ends, even by a reset."""
    received = b""
    async with asyncio.timeout(LIMIT_S):
        with suppress(ConnectionError):
            while chunk := await reader.read(4096):
                received += chunk
    return received


def read_outcome(received):
    """Return the status and the outcome told of a whole error answer."""
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"]["outcome"]


@pytest.mark.parametrize("kind", ["safe", "unsafe", "streaming"])
async def test_request_cut_by_the_end_of_the_drain_gets_a_final_answer(kind):
    async with (
        serving(never, kind=kind) as (_, app, heads),
        open_connection(app) as (reader, writer),
    ):
        send(writer)
        await wait_for(lambda: heads)
        await app.drain(GRACE_S)
        await app.stop()
        assert read_outcome(await read_to_end(reader)) == (502, "unknown")


async def test_stream_cut_by_the_end_of_the_drain_does_not_look_complete():
    head = ANSWER.partition(b"Content-Length")[0]
    event = b"id: 1\ndata: a\n\n"

    async def begin(writer, _):
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await asyncio.Event().wait()

    async with (
        serving(begin, kind="streaming") as (_, app, _heads),
        open_connection(app) as (reader, writer),
    ):
        send(writer)
        received = await reader.readuntil(event)
        await app.drain(GRACE_S)
        await app.stop()
        received += await read_to_end(reader)
    assert b" 200 " in received
    assert not received.endswith(b"0\r\n\r\n")
    assert b"outcome" not in received


async def test_request_that_waits_at_the_end_of_the_drain_is_told_not_run():
    async with (
        serving(serve_ok) as (_, app, heads),
        open_connection(app) as (reader, writer),
    ):
        path = app.find("path")
        (endpoint,) = path.parts.table.of_service("desk")
        path.parts.placer.place = lambda job: None
        path.parts.placer.next_permit = lambda job: (endpoint, 1.5)
        send(writer)
        await wait_for(lambda: path.shutdown.tasks)
        await app.drain(GRACE_S)
        await app.stop()
        assert read_outcome(await read_to_end(reader)) == (503, "not_run")
    assert heads == []


async def test_request_read_between_the_drain_and_the_close_is_refused():
    async with serving(serve_ok) as (_, app, heads):
        await app.drain(GRACE_S)
        async with open_connection(app) as (reader, writer):
            send(writer)
            assert read_outcome(await read_to_end(reader)) == (503, "not_run")
    assert heads == []


async def test_slow_release_of_duties_does_not_keep_an_instance_ready():
    released = asyncio.Event()
    async with serving(serve_ok) as (_, app, _heads):
        app.find("duties").lease.release = released.wait
        retiring = asyncio.create_task(app.retire_all())
        try:
            await wait_for(lambda: app.find("callers").is_leaving or retiring.done())
            assert not retiring.done()
            assert app.find("path").shutdown.retired_s is not None
        finally:
            released.set()
            await retiring


async def test_request_that_can_not_end_before_the_process_is_refused_at_once():
    async with serving(serve_ok, timeoutMs=60000) as (_, app, heads):
        shutdown = app.find("path").shutdown
        draining = asyncio.create_task(app.drain(8.0))
        await wait_for(lambda: shutdown.retired_s is not None)
        assert await ask(app) == 200
        shutdown.retired_s -= 4.0
        assert await ask(app) == 503
        await draining
    assert len(heads) == 1


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_no_request_that_comes_late_in_the_grace_is_passed_on_and_cut(kind):
    received = []

    async def ask_once(app):
        async with open_connection(app) as (reader, writer):
            send(writer)
            received.append(await read_to_end(reader))

    async with serving(never, kind=kind, timeoutMs=300) as (_, app, heads):
        shutdown = app.find("path").shutdown
        draining = asyncio.create_task(app.drain(1.0))
        await wait_for(lambda: shutdown.retired_s is not None)
        shutdown.retired_s -= 4.0  # no longer the time in which many arrive
        asking = []
        while not draining.done():
            asking.append(asyncio.create_task(ask_once(app)))
            await asyncio.sleep(0.05)
        await app.stop()
        await asyncio.gather(*asking, return_exceptions=True)
    outcomes = [read_outcome(answer) for answer in received if answer]
    assert set(outcomes) == {(504, "unknown"), (503, "not_run")}
    assert outcomes.count((504, "unknown")) == len(heads)
