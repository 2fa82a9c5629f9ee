"""Peers services for tests, over loopback or an in-memory network."""

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
    """Row value for tests."""

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
    """Return options with short intervals and timeouts."""
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
    **service_options: Any,
) -> Node:
    """Return a node that is not started."""
    app = Application(clock=clock, rng=random.Random(instance))
    service = PeersService(
        app,
        options or make_options(),
        instance=instance,
        data_centre=data_centre,
        **service_options,
    )
    app.add(service)
    return Node(app, service)


def seed_of(node: Node) -> SeedMember:
    """Return the seed entry of a started node."""
    me = node.peers.me
    return SeedMember(
        instance=me.instance, data_centre=me.data_centre, address=me.address
    )


@contextlib.asynccontextmanager
async def running(*nodes: Node) -> AsyncIterator[list[Node]]:
    """Start nodes with each other as seeds; stop them on exit."""
    try:
        for node in nodes:
            await node.app.start()
        seeds = [seed_of(node) for node in nodes]
        for node in nodes:
            node.peers.gossip.update_seeds(seeds)
        yield list(nodes)
    finally:
        await asyncio.gather(*(node.stop() for node in nodes))


async def wait_until(
    condition: Callable[[], Any], limit_s: float = WAIT_LIMIT_S
) -> None:
    """Poll until a condition holds; raise TimeoutError after the limit."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(POLL_S)


def pause(clock: ManualClock, gap_s: float) -> None:
    """Advance a clock without running tasks; sleepers due meanwhile wake after it."""
    clock.now_s += gap_s
    clock.sleepers = [
        (max(due_s, clock.now_s), number, future)
        for due_s, number, future in clock.sleepers
    ]
    heapq.heapify(clock.sleepers)


class MemoryNetwork:
    """In-memory network between transports, with fault injection.

    Shares of frames are lost, duplicated, or delayed until later ones have arrived.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.receivers: dict[str, Callable[[bytes], None]] = {}
        self.lost_share = 0.0
        self.duplicated_share = 0.0
        self.delayed_share = 0.0
        self.delayed: list[tuple[str, bytes]] = []
        self.n_frames = 0
        self.n_bytes = 0

    def send(self, address: str, frame: bytes) -> None:
        """Deliver a frame, subject to the configured faults."""
        self.n_frames += 1
        self.n_bytes += len(frame)
        if self.rng.random() < self.lost_share:
            return
        if self.rng.random() < self.delayed_share:
            self.delayed.append((address, frame))
            return
        self._deliver(address, frame)
        if self.rng.random() < self.duplicated_share:
            self._deliver(address, frame)

    def release_delayed(self) -> None:
        """Deliver the delayed frames in random order."""
        delayed, self.delayed = self.delayed, []
        self.rng.shuffle(delayed)
        for address, frame in delayed:
            self._deliver(address, frame)

    def _deliver(self, address: str, frame: bytes) -> None:
        receive = self.receivers.get(address)
        if receive is not None:
            asyncio.get_running_loop().call_soon(receive, frame)


class MemoryTransport:
    """Transport over a :class:`MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address

    async def start(self, receive: Callable[[bytes], None]) -> None:
        """Register the receiver at this address."""
        self.network.receivers[self.address] = receive

    def post(
        self,
        address: str,
        frame: bytes,
        on_unsent: Callable[[], None] | None = None,
    ) -> None:
        """Send a frame; it counts as unsent if no receiver has that address."""
        if address not in self.network.receivers and on_unsent is not None:
            on_unsent()
            return
        self.network.send(address, frame)

    def reconnect(self, address: str) -> None:
        """Do nothing, as there are no connections."""

    async def stop(self) -> None:
        """Remove the receiver from the network."""
        self.network.receivers.pop(self.address, None)


def make_memory_nodes(
    node_counts: dict[str, int],
    network: MemoryNetwork,
    clock: ManualClock,
    *,
    options: PeersOptions | None = None,
    allow: Callable[[str, str], bool] | None = None,
) -> list[Node]:
    """Return nodes on an in-memory network, by number of nodes per data centre."""
    nodes = []
    for data_centre, n_nodes in node_counts.items():
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
