"""Test doubles of peers and the catalogue, and builders of routing services."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.kernel import Application, ManualClock
from lagoonring.peers.errors import PeerUnreachableError
from lagoonring.peers.kinds import Scope, find_kind
from lagoonring.routing import RouteRequest, RoutingOptions, RoutingService, hash_blocks
from lagoonring.routing.prefixes import hash_conversation, make_prompt
from lagoonring.tests.builders.catalogues import make_catalogue

if TYPE_CHECKING:
    from lagoonring.catalogue import CatalogueContent


@attrs.frozen
class MemberDouble:
    instance: str
    data_centre: str
    state: str = "alive"


class PeerNetwork:
    """Instances that receive each other's rows at once unless partitioned.

    ``sides`` maps an instance to its side of a partition; rows published during
    the partition are delivered by :meth:`heal`.
    """

    def __init__(self) -> None:
        self.peers: dict[str, PeersDouble] = {}
        self.sides: dict[str, int] = {}

    def add(self, instance: str, data_centre: str = "plateau") -> PeersDouble:
        peers = PeersDouble(self, instance, data_centre)
        self.peers[instance] = peers
        return peers

    def is_connected(self, one: str, other: str) -> bool:
        return self.sides.get(one, 0) == self.sides.get(other, 0)

    def cut_off(self, *instances: str) -> None:
        for instance in instances:
            self.sides[instance] = 1

    def heal(self) -> None:
        self.sides.clear()
        for peers in self.peers.values():
            peers.deliver_all()


class PeersDouble:
    name = "peers"

    def __init__(self, network: PeerNetwork, instance: str, data_centre: str) -> None:
        self.network = network
        self.me = MemberDouble(instance, data_centre)
        self.published: dict[tuple[str, str], bytes] = {}
        self.received: dict[tuple[str, str, str], bytes] = {}
        self.subscribers: dict[str, list[tuple[Any, Any]]] = {}
        self.handlers: dict[str, Any] = {}
        self.urgent: list[tuple[str, str]] = []
        self.n_calls = 0

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    async def drain(self, grace_s: float) -> None: ...

    def members(self) -> list[MemberDouble]:
        return [
            MemberDouble(
                other.me.instance,
                other.me.data_centre,
                "alive" if self.connected(other) else "unreachable",
            )
            for other in self.network.peers.values()
            if other is not self
        ]

    def connected(self, other: PeersDouble) -> bool:
        return self.network.is_connected(self.me.instance, other.me.instance)

    def publish(self, kind: str, name: str, value: Any, *, urgent: bool = False):
        if urgent:
            self.urgent.append((kind, name))
        if value is None:
            self.published.pop((kind, name), None)
        else:
            self.published[kind, name] = msgspec.msgpack.encode(value)
        for other in self.receivers(kind):
            other.receive(
                self.me.instance, kind, name, self.published.get((kind, name))
            )

    def receivers(self, kind: str) -> list[PeersDouble]:
        is_fleet = find_kind(kind).scope is Scope.FLEET
        return [
            other
            for other in self.network.peers.values()
            if other is not self
            and self.connected(other)
            and (is_fleet or other.me.data_centre == self.me.data_centre)
        ]

    def receive(self, origin: str, kind: str, name: str, data: bytes | None) -> None:
        if self.received.get((origin, kind, name)) == data:
            return
        if data is None:
            self.received.pop((origin, kind, name), None)
        else:
            self.received[origin, kind, name] = data
        for value_type, callback in self.subscribers.get(kind, []):
            value = None if data is None else decode(data, value_type)
            callback(origin, name, value)

    def deliver_all(self) -> None:
        for (kind, name), data in list(self.published.items()):
            for other in self.receivers(kind):
                other.receive(self.me.instance, kind, name, data)

    def rows(self, kind: str, value_type: Any) -> dict[tuple[str, str], Any]:
        found = {
            (self.me.instance, name): decode(data, value_type)
            for (row_kind, name), data in self.published.items()
            if row_kind == kind
        }
        for (origin, row_kind, name), data in self.received.items():
            if row_kind == kind:
                found[origin, name] = decode(data, value_type)
        return found

    def subscribe(self, kind: str, value_type: Any, callback: Any) -> None:
        self.subscribers.setdefault(kind, []).append((value_type, callback))
        for (origin, row_kind, name), data in list(self.received.items()):
            if row_kind == kind:
                callback(origin, name, decode(data, value_type))

    def serve(self, method: str, handler: Any) -> None:
        self.handlers[method] = handler

    async def call(
        self, instance: str, method: str, payload: bytes, *, timeout_s: float
    ) -> bytes:
        self.n_calls += 1
        other = self.network.peers[instance]
        if not self.connected(other):
            raise PeerUnreachableError(f"Got no way to {instance}, expected one.")
        return await other.handlers[method](self.me.instance, payload)


class CatalogueDouble:
    name = "catalogue"

    def __init__(self, content: CatalogueContent) -> None:
        self.content = content
        self.revision = 0
        self.callbacks: list[Any] = []

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    async def drain(self, grace_s: float) -> None: ...

    def subscribe(self, callback: Any) -> None:
        self.callbacks.append(callback)
        callback(self.content, self.revision)

    def change(self, content: CatalogueContent) -> None:
        self.content = content
        self.revision += 1
        for callback in self.callbacks:
            callback(content, self.revision)


def decode(data: bytes, value_type: Any) -> Any:
    return msgspec.msgpack.decode(data, type=value_type)


def make_endpoints(**n_by_data_centre: int) -> dict[str, dict[str, Any]]:
    """Return endpoints of entry ``guide`` as dicts, named ``CENTRE-NUMBER``."""
    return {
        f"{data_centre}-{number}": {
            "entry": "guide",
            "data_centre": data_centre,
            "url": f"http://127.0.0.1:{number + 1}",
            "instance": f"i-{data_centre}-{number}",
        }
        for data_centre, n_endpoints in n_by_data_centre.items()
        for number in range(n_endpoints)
    }


def make_app(
    content: CatalogueContent | None = None,
    peers: PeersDouble | None = None,
    clock: ManualClock | None = None,
    seed: int = 1,
) -> Application:
    """Return an application with a catalogue and, if given, peers."""
    app = Application(clock=clock or ManualClock(), rng=random.Random(seed))
    app.add(CatalogueDouble(content or make_catalogue()))
    if peers is not None:
        app.add(peers)
    return app


async def start_routing(app: Application, **options: Any) -> RoutingService:
    """Add a routing service to an application and start it."""
    routing = RoutingService(app, RoutingOptions(**options), data_centre="plateau")
    app.add(routing)
    await routing.start()
    return routing


def make_request(prompt: bytes = b"", **fields: Any) -> RouteRequest:
    """Return a request for entry ``guide``."""
    values: dict[str, Any] = {
        "entry": "guide",
        "service_class": "chat",
        "request_id": "r1",
        "prefix_blocks": hash_blocks(prompt),
        "affinity_key": hash_conversation(prompt) if prompt else 0,
        "n_prompt_bytes": len(prompt),
    }
    return RouteRequest(**{**values, **fields})


def make_chat(seed: int, n_turns: int, *, n_bytes: int = 1000) -> list[bytes]:
    """Return the prompts of a conversation's turns, each a prefix of the next."""
    text = random.Random(seed)
    messages = [("system", "s" * n_bytes)]
    prompts = []
    for _ in range(n_turns):
        messages.append(("user", f"{text.random()}" * (n_bytes // 20)))
        prompts.append(make_prompt(messages))
        messages.append(("assistant", f"{text.random()}" * (n_bytes // 20)))
    return prompts
