"""A service whose instances lose their connections to all endpoints."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointCutError,
    RelayRefusedError,
)
from lagoonring.serving.relaying import find_relayed_endpoint
from lagoonring.tests.builders.crashes import CrashingService, InstanceSender

if TYPE_CHECKING:
    from lagoonring.tests.builders.serving import FakeAnswer

CONNECT_TIMEOUT_S = 0.5
UNACKED_TIMEOUT_S = 1.5


class LostPathSender(InstanceSender):
    """Sends requests unless the instance has lost its connections.

    These are refused, or hang (open ones until their data was not acknowledged for
    some time), or are refused while the open ones live on.
    """

    def __init__(self, service: LostPaths, instance: str) -> None:
        super().__init__(service, instance)
        self.n_open = 0
        self.n_sends = 0

    async def send(self, request: Any, order: Any) -> FakeAnswer:
        """Send a request once."""
        if order.relay is not None:
            return await self._send_by(order.relay, request, order)
        how = self.service.cuts.get(self.instance)
        self.n_sends += 1
        if how == "refuse" or (how == "live" and self.n_sends % 3):
            raise EndpointConnectError("Got a reset, expected a connection.")
        if how == "hang" and self.n_open:
            self.n_open -= 1
            await self.service.clock.sleep(UNACKED_TIMEOUT_S)
            raise EndpointCutError("Got no acknowledgement, expected one.")
        if how == "hang":
            await self.service.clock.sleep(CONNECT_TIMEOUT_S)
            raise EndpointConnectError("Got no connection, expected one.")
        return await super().send(request, order)

    async def _send_by(self, relay: Any, request: Any, order: Any) -> FakeAnswer:
        """Let another instance send a request, as its relay server would."""
        service = self.service
        name = service.names_by_address[relay.address]
        if relay.life != service.exchanges[name].life:
            raise RelayRefusedError("Got another process, expected the known one.")
        find_relayed_endpoint(
            service.exchanges[name].parts, order.endpoint.endpoint, is_leaving=False
        )
        service.n_relayed[name] += 1
        direct = attrs.evolve(order, relay=None)
        return await service.senders[name].send(request, direct)


class LostPaths(CrashingService):
    """Instances of three data centres that lose their connections to endpoints.

    ``cuts`` holds how the connections of an instance are lost, by its name.
    """

    def __init__(self, **options: Any) -> None:
        self.cuts: dict[str, str] = {}
        self.senders: dict[str, LostPathSender] = {}
        self.names_by_address: dict[str, str] = {}
        self.n_relayed: Counter[str] = Counter()
        super().__init__(crashes=lambda parts, record: False, **options)

    def start(self, name: str, **options: Any) -> Any:
        """Start an instance."""
        exchange = super().start(name, **options)
        self.names_by_address[exchange.address] = name
        return exchange

    def make_probe(self, instance: str) -> Any:
        """Return a function that probes endpoints from an instance."""
        probe = super().make_probe(instance)

        async def probe_unless_cut(record: Any) -> bool:
            how = self.cuts.get(instance)
            if how == "hang":
                await self.clock.sleep(CONNECT_TIMEOUT_S)
            return how is None and await probe(record)

        return probe_unless_cut

    def make_sender(self, instance: str) -> InstanceSender:
        """Return the sender of an instance."""
        self.senders[instance] = LostPathSender(self, instance)
        return self.senders[instance]

    def cut(self, instances: list[str], how: str) -> None:
        """Let instances lose their connections to all endpoints."""
        for instance in instances:
            self.cuts[instance] = how
            self.senders[instance].n_open = len(self.endpoints)

    def heal(self) -> None:
        """Let connections be established again."""
        self.cuts.clear()

    def count_answered(
        self, instances: list[str], since_s: float, until_s: float = float("inf")
    ) -> tuple[int, int]:
        """Return how many requests that came to instances were answered, and all."""
        ended = [
            outcome.sink is not None and outcome.sink.status == 200
            for outcome in self.outcomes
            if outcome.instance in instances and since_s <= outcome.at_s < until_s
        ]
        return sum(ended), len(ended)
