"""Exchanges of instances connected by an in-memory network."""

from __future__ import annotations

import random

import attrs

from lagoonring.kernel import Application, ManualClock
from lagoonring.metrics import MetricsService
from lagoonring.serving.exchange import Exchange
from lagoonring.serving.settings import NodeSettings

ROUND_S = 0.2


class Network:
    """Delivers messages immediately, except between blocked pairs, and counts them.

    ``blocked`` holds pairs of sender and receiver address, and ``silent`` those whose
    connection loses all messages until the sender replaces it.
    """

    def __init__(self):
        self.receivers = {}
        self.blocked = set()
        self.silent = set()
        self.n_sent = {}
        self.n_reconnects = {}
        self.queue = []

    def make_transport(self, address):
        """Return a transport bound to an address."""
        return MemoryTransport(self, address)

    def send(self, sender, to, content):
        """Queue a message, so that handlers are never nested."""
        self.n_sent[sender] = self.n_sent.get(sender, 0) + 1
        self.queue.append((sender, to, content))

    def deliver(self):
        """Deliver all queued messages, including the answers to them."""
        while self.queue:
            sender, to, content = self.queue.pop(0)
            receive = self.receivers.get(to)
            if receive is not None and (sender, to) not in self.blocked | self.silent:
                receive(content)

    def isolate(self, addresses, others):
        """Block messages between two groups of addresses, both ways."""
        for one in addresses:
            for other in others:
                self.blocked |= {(one, other), (other, one)}


@attrs.define
class MemoryTransport:
    """Transport of one address in an in-memory network."""

    network: Network
    address: str

    async def start(self, receive):
        """Start to listen."""
        self.listen(receive)

    def listen(self, receive):
        """Pass incoming messages to ``receive``."""
        self.network.receivers[self.address] = receive

    def post(self, to, frame, on_unsent=None):
        """Send a message."""
        self.network.send(self.address, to, frame)

    def reconnect(self, address):
        """Count a reconnect; messages arrive again."""
        key = (self.address, address)
        self.network.silent.discard(key)
        self.network.n_reconnects[key] = self.network.n_reconnects.get(key, 0) + 1

    async def stop(self):
        """Stop listening."""
        self.network.receivers.pop(self.address, None)


class Deployment:
    """Instances of several data centres that exchange messages in rounds."""

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
        """Start an instance, replacing one of the same name."""
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
            relay_port=7501,
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
        """Return the IP address of an instance."""
        centre, number = name.split("-")
        return f"10.{self.centres.index(centre)}.0.{number}"

    def stop(self, name):
        """Kill an instance."""
        exchange = self.exchanges.pop(name)
        self.network.receivers.pop(exchange.address, None)

    async def run_for(self, seconds):
        """Run the rounds of a number of seconds."""
        for _ in range(round(seconds / ROUND_S)):
            for exchange in list(self.exchanges.values()):
                exchange.send_round()
                self.network.deliver()
            await self.clock.advance(ROUND_S)

    def hubs(self, centre):
        """Return the instances of a data centre that act as its hub."""
        return [
            name
            for name, exchange in self.exchanges.items()
            if name.startswith(centre) and exchange.is_hub()
        ]

    def addresses(self, centre):
        """Return the addresses of a data centre's instances."""
        return [
            exchange.address
            for name, exchange in self.exchanges.items()
            if name.startswith(centre)
        ]
