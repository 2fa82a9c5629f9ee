"""What instances tell each other, and whom they take for silent."""

from __future__ import annotations

import random

import msgspec
import pytest

from lagoonring.kernel import Application, ManualClock
from lagoonring.metrics import MetricsService
from lagoonring.serving.exchange import (
    ALONE_S,
    FORGET_S,
    FRAME_KIND,
    SILENT_S,
    Exchange,
)
from lagoonring.serving.settings import NodeSettings


class Network:
    """Carries messages between exchanges at once, but for pairs that are cut."""

    def __init__(self):
        self.receivers = {}
        self.cut = set()

    def make_transport(self, address):
        network = self

        class Transport:
            def __init__(self):
                self.address = address

            async def start(self, receive):
                network.receivers[address] = receive

            def post(self, to, frame, on_unsent=None):
                pair = frozenset({address, to})
                if to in network.receivers and pair not in network.cut:
                    network.receivers[to](frame)

            async def stop(self):
                network.receivers.pop(address, None)

        return Transport()


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def clock():
    return ManualClock()


async def make_exchange(network, clock, number, *, data_centre="east", seeds=()):
    settings = NodeSettings(
        instance=f"i-{number}",
        ip=f"10.0.0.{number}",
        data_centre=data_centre,
        data_centres=("east", "west"),
        caller_address="10.0.0.1:1",
        ready_address="10.0.0.1:2",
        peer_port=7500,
        metrics_port=9464,
        seed_ips=tuple(f"10.0.0.{seed}" for seed in seeds),
        store_address="10.0.0.1:3",
    )
    app = Application(settings, clock=clock, rng=random.Random(number))
    app.add(MetricsService())
    transport = network.make_transport(f"10.0.0.{number}:7500")
    exchange = Exchange(app, settings, transport=transport)
    await transport.start(exchange.receive)
    return exchange


async def make_all(network, clock, n=4):
    made = [
        await make_exchange(network, clock, number, seeds=(1,))
        for number in range(1, n + 1)
    ]
    for _ in range(3):
        for exchange in made:
            exchange.send_round()
    return made


async def test_all_find_each_other_through_one_seed(network, clock):
    for exchange in await make_all(network, clock):
        assert exchange.heard_lately() == ["i-1", "i-2", "i-3", "i-4"]
        assert exchange.count_instances() == 4
        assert exchange.share_heard() == 1.0


async def test_a_silent_instance_leaves_its_share_until_it_is_forgotten(network, clock):
    first, second, *_ = await make_all(network, clock)
    network.cut = {frozenset({first.address, second.address})}
    await clock.advance(SILENT_S + 0.1)
    for exchange in (first, second):
        exchange.send_round()
    third = network.receivers["10.0.0.3:7500"].__self__
    third.send_round()
    assert first.share_heard() == pytest.approx(2 / 4)
    assert "i-2" not in first.heard_lately()
    await clock.advance(FORGET_S)
    third.send_round()
    first._forget()
    assert first.share_heard() == 1.0


async def test_a_process_that_just_started_assumes_others(network, clock):
    alone = await make_exchange(network, clock, 1)
    assert alone.share_heard() < 0.5
    await clock.advance(ALONE_S)
    assert alone.share_heard() == 1.0


async def test_a_frame_that_can_not_be_read_changes_nothing(network, clock):
    exchange = await make_exchange(network, clock, 1)
    for content in (
        b"",
        FRAME_KIND + b"\xff",
        FRAME_KIND + msgspec.msgpack.encode([1]),
    ):
        exchange.receive(content)
    assert exchange.peers == {}


async def test_news_reach_those_that_take_them(network, clock):
    first, second = await make_all(network, clock, n=2)
    taken = []
    first.fillers.append(lambda frame: frame.demand.update(desk=1.5))
    second.takers.append(lambda frame, now_s: taken.append(frame.demand))
    first.send_round()
    assert taken == [{"desk": 1.5}]


async def test_local_peers_are_those_of_the_same_data_centre(network, clock):
    first = await make_exchange(network, clock, 1, seeds=(2, 3))
    second = await make_exchange(network, clock, 2, seeds=(1,))
    third = await make_exchange(network, clock, 3, seeds=(1,), data_centre="west")
    for _ in range(2):
        for exchange in (first, second, third):
            exchange.send_round()
    assert first.local_peers() == ["i-2"]
    assert third.local_peers() == []
