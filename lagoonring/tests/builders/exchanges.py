"""Exchanges between instances over a network in memory."""

from __future__ import annotations

import random

import attrs

from lagoonring.kernel import Application, ManualClock
from lagoonring.metrics import MetricsService
from lagoonring.serving.exchange import Exchange
from lagoonring.serving.settings import NodeSettings

ROUND_S = 0.2


class Network:
    """Carries messages at once, but for pairs that are cut, and counts them.

    ``cut`` holds pairs of addresses, from sender to receiver.
    """

    def __init__(self):
        self.receivers = {}
        self.cut = set()
        self.n_sent = {}
        self.queue = []

    def make_transport(self, address):
        """Return a transport that listens at an address."""
        return MemoryTransport(self, address)

    def send(self, sender, to, content):
        """Queue a message, so that no handler runs within another one."""
        self.n_sent[sender] = self.n_sent.get(sender, 0) + 1
        self.queue.append((sender, to, content))

    def deliver(self):
        """Hand over what was sent, and what is sent in answer."""
        while self.queue:
            sender, to, content = self.queue.pop(0)
            receive = self.receivers.get(to)
            if receive is not None and (sender, to) not in self.cut:
                receive(content)

    def isolate(self, addresses, others):
        """Cut addresses off from others, both ways."""
        for one in addresses:
            for other in others:
                self.cut |= {(one, other), (other, one)}


@attrs.define
class MemoryTransport:
    """One end of a network in memory."""

    network: Network
    address: str

    async def start(self, receive):
        """Listen."""
        self.listen(receive)

    def listen(self, receive):
        """Give what comes to ``receive``."""
        self.network.receivers[self.address] = receive

    def post(self, to, frame, on_unsent=None):
        """Send a message."""
        self.network.send(self.address, to, frame)

    async def stop(self):
        """Listen no more."""
        self.network.receivers.pop(self.address, None)


class Deployment:
    """Instances of several data centres that exchange news in rounds."""

    def __init__(self, *, centres=("east", "west"), n_each=3, seeds=("east-0",)):
        self.clock = ManualClock()
        self.network = Network()
        self.centres = tuple(centres)
        self.seeds = tuple(seeds)
        self.exchanges = {}
        for centre in centres:
            for number in range(n_each):
                self.start(f"{centre}-{number}")

    def start(self, name, *, capacity=1.0):
        """Start an instance; one of the same name before it is gone."""
        centre, number = name.split("-")
        ip = f"10.{self.centres.index(centre)}.0.{number}"
        settings = NodeSettings(
            instance=name,
            ip=ip,
            data_centre=centre,
            data_centres=self.centres,
            caller_address=f"{ip}:1",
            ready_address=f"{ip}:2",
            peer_port=7500,
            metrics_port=9464,
            seed_ips=tuple(self.ip_of(seed) for seed in self.seeds),
            store_address="10.9.0.1:3",
            capacity=capacity,
        )
        rng = random.Random(f"{name} {self.clock.monotonic()}")
        app = Application(settings, clock=self.clock, rng=rng)
        app.add(MetricsService())
        transport = self.network.make_transport(f"{ip}:7500")
        exchange = Exchange(app, settings, transport=transport)
        transport.listen(exchange.receive)
        self.exchanges[name] = exchange
        return exchange

    def ip_of(self, name):
        """Return the address of an instance by name."""
        centre, number = name.split("-")
        return f"10.{self.centres.index(centre)}.0.{number}"

    def stop(self, name):
        """Kill an instance."""
        exchange = self.exchanges.pop(name)
        self.network.receivers.pop(exchange.address, None)

    async def play(self, seconds):
        """Let rounds pass."""
        for _ in range(round(seconds / ROUND_S)):
            for exchange in list(self.exchanges.values()):
                exchange.send_round()
                self.network.deliver()
            await self.clock.advance(ROUND_S)

    def hubs(self, centre):
        """Return the instances of a data centre that act as its hub."""
        return [
            name
            for name, it in self.exchanges.items()
            if name.startswith(centre) and it.is_hub()
        ]

    def addresses(self, centre):
        """Return the addresses of a data centre's instances."""
        return [
            it.address for name, it in self.exchanges.items() if name.startswith(centre)
        ]
