"""Peers for tests: services over loopback, or over a network in memory."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import random
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.kernel import Application, Clock, ManualClock
from lagoonring.peers import PeersOptions, PeersService, SeedMember

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

KEY = "a shared key of tests"
WAIT_LIMIT_S = 20.0
POLL_S = 0.01


@attrs.frozen(kw_only=True)
class Level:
    """A value to publish."""

    value: int
    note: str = ""


@attrs.define
class Node:
    """An application with its peers service."""

    app: Application
    peers: PeersService

    async def stop(self) -> None:
        """Stop the application."""
        await self.app.stop()


def make_options(**changes: Any) -> PeersOptions:
    """Return options with short times."""
    values: dict[str, Any] = {
        "keys": [KEY],
        "round_s": 0.05,
        "remote_round_s": 0.1,
        "fleet_round_s": 0.1,
        "suspect_after_s": 2.0,
        "dead_after_s": 5.0,
        "pause_s": 2.0,
        "coalesce_s": 0.1,
    }
    values.update(changes)
    return PeersOptions(**values)


def make_node(
    instance: str,
    data_centre: str = "plateau",
    *,
    options: PeersOptions | None = None,
    clock: Clock | None = None,
    **others: Any,
) -> Node:
    """Return a node that is not started."""
    app = Application(clock=clock, rng=random.Random(instance))
    service = PeersService(
        app,
        options or make_options(),
        instance=instance,
        data_centre=data_centre,
        **others,
    )
    app.add(service)
    return Node(app, service)


def seed_of(node: Node) -> SeedMember:
    """Return a started node as a seed for others."""
    me = node.peers.me
    return SeedMember(
        instance=me.instance, data_centre=me.data_centre, address=me.address
    )


@contextlib.asynccontextmanager
async def running(*nodes: Node) -> AsyncIterator[list[Node]]:
    """Start nodes that know each other as seeds; stop them in the end."""
    try:
        for node in nodes:
            await node.app.start()
        seeds = [seed_of(node) for node in nodes]
        for node in nodes:
            node.peers.gossip.update_seeds(seeds)
        yield list(nodes)
    finally:
        await asyncio.gather(*(node.stop() for node in nodes))


async def until(condition: Callable[[], Any], limit_s: float = WAIT_LIMIT_S) -> None:
    """Wait until a condition holds; fail after the limit."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(POLL_S)


def pause(clock: ManualClock, gap_s: float) -> None:
    """Let time pass in which nothing runs; sleepers that are due wake after it."""
    clock.now_s += gap_s
    clock.sleepers = [
        (max(due_s, clock.now_s), number, future)
        for due_s, number, future in clock.sleepers
    ]
    heapq.heapify(clock.sleepers)


class MemoryNetwork:
    """Delivers frames between transports in memory, with faults on command.

    Shares of frames are lost, doubled, or held back until later ones have come.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.receivers: dict[str, Callable[[bytes], None]] = {}
        self.lost_share = 0.0
        self.doubled_share = 0.0
        self.held_share = 0.0
        self.held: list[tuple[str, bytes]] = []
        self.n_frames = 0
        self.n_bytes = 0

    def send(self, address: str, frame: bytes) -> None:
        """Deliver a frame, or do to it what the faults say."""
        self.n_frames += 1
        self.n_bytes += len(frame)
        if self.rng.random() < self.lost_share:
            return
        if self.rng.random() < self.held_share:
            self.held.append((address, frame))
            return
        self._deliver(address, frame)
        if self.rng.random() < self.doubled_share:
            self._deliver(address, frame)

    def release_held(self) -> None:
        """Deliver the held frames in another order."""
        held, self.held = self.held, []
        self.rng.shuffle(held)
        for address, frame in held:
            self._deliver(address, frame)

    def _deliver(self, address: str, frame: bytes) -> None:
        receive = self.receivers.get(address)
        if receive is not None:
            asyncio.get_running_loop().call_soon(receive, frame)


class MemoryTransport:
    """A transport of :class:`MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address

    async def start(self, receive: Callable[[bytes], None]) -> None:
        """Begin to receive."""
        self.network.receivers[self.address] = receive

    def post(
        self,
        address: str,
        frame: bytes,
        on_unsent: Callable[[], None] | None = None,
    ) -> None:
        """Send a frame; it is unsent if nobody listens there."""
        if address not in self.network.receivers and on_unsent is not None:
            on_unsent()
            return
        self.network.send(address, frame)

    async def stop(self) -> None:
        """Receive no more."""
        self.network.receivers.pop(self.address, None)


def make_memory_nodes(
    places: dict[str, int],
    network: MemoryNetwork,
    clock: ManualClock,
    *,
    options: PeersOptions | None = None,
    allow: Callable[[str, str], bool] | None = None,
) -> list[Node]:
    """Return nodes on a network in memory: a number of them per data centre."""
    nodes = []
    for data_centre, n_nodes in places.items():
        for index in range(n_nodes):
            address = f"127.0.0.1:{10_000 + len(nodes)}"
            nodes.append(
                make_node(
                    f"{data_centre}-{index}",
                    data_centre,
                    options=options,
                    clock=clock,
                    allow=allow,
                    transport=MemoryTransport(network, address),
                )
            )
    return nodes
