"""Links to peers that are slow to accept, or that return."""

from __future__ import annotations

import asyncio

import pynng
import pytest

from lagoonring.kernel import ManualClock
from lagoonring.peers.metrics import PeersMetrics
from lagoonring.peers.transport import REDIAL_S, NngTransport
from lagoonring.serving.settings import ExchangeOptions
from lagoonring.tests.builders.ports import free_ports

WAIT_S = 10.0


class SilentServer:
    """Accepts connections without ever completing nng's handshake."""

    def __init__(self):
        self.writers = []
        self.accepted = asyncio.Event()

    async def start(self):
        """Listen on a free port of the loopback interface."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def accept(self, reader, writer):
        """Keep a connection open."""
        self.writers.append(writer)
        self.accepted.set()

    async def wait_for_connection(self):
        """Wait until a further connection was accepted."""
        async with asyncio.timeout(WAIT_S):
            await self.accepted.wait()
        self.accepted.clear()

    def close(self):
        """Close all connections and stop listening."""
        for writer in self.writers:
            writer.close()
        self.server.close()


@pytest.fixture
async def silent():
    server = SilentServer()
    server.address = await server.start()
    yield server
    server.close()


@pytest.fixture
async def transport():
    clock = ManualClock()
    options = ExchangeOptions(address=f"127.0.0.1:{free_ports(1)[0]}")
    made = NngTransport(clock, options, PeersMetrics())
    await made.start(lambda frame: None)
    yield made
    await made.stop()


async def test_a_link_that_does_not_connect_is_dialed_again(silent, transport):
    """A machine that lost power drops the first connection request."""
    transport.post(silent.address, b"one")
    await silent.wait_for_connection()
    await transport.clock.advance(REDIAL_S + 0.1)
    transport.post(silent.address, b"two")
    await transport.clock.advance(REDIAL_S)
    await silent.wait_for_connection()
    assert len(silent.writers) == 2


async def test_reconnecting_replaces_the_connection(silent, transport):
    transport.post(silent.address, b"one")
    await silent.wait_for_connection()
    transport.reconnect(silent.address)
    await silent.wait_for_connection()
    assert len(silent.writers) == 2


async def test_a_failed_reconnect_closes_the_link(silent, transport, monkeypatch):
    """The next frame opens a new one, instead of a failure in a message's handler."""
    transport.post(silent.address, b"one")
    await silent.wait_for_connection()
    link = transport.links[silent.address]

    def fail():
        raise pynng.NNGException("Got no memory.", 2)

    monkeypatch.setattr(link, "reconnect", fail)
    transport.reconnect(silent.address)
    async with asyncio.timeout(WAIT_S):
        while transport.links:
            await asyncio.sleep(0)
    transport.post(silent.address, b"two")
    await silent.wait_for_connection()


async def test_reconnecting_without_a_link_opens_none(silent, transport):
    transport.reconnect(silent.address)
    assert not transport.links


async def test_frames_arrive_after_reconnecting(transport):
    received = asyncio.Queue()
    options = ExchangeOptions(address=f"127.0.0.1:{free_ports(1)[0]}")
    peer = NngTransport(ManualClock(), options, PeersMetrics())
    await peer.start(received.put_nowait)
    try:
        transport.post(options.address, b"before")
        async with asyncio.timeout(WAIT_S):
            assert await received.get() == b"before"
        transport.reconnect(options.address)
        transport.post(options.address, b"after")
        async with asyncio.timeout(WAIT_S):
            assert await received.get() == b"after"
    finally:
        await peer.stop()
