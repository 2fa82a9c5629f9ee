"""Sharing what one instance reads of the store with the others."""

from __future__ import annotations

import random

import pytest

from lagoonring.kernel import ManualClock
from lagoonring.serving.feeds import KeyedFeed
from lagoonring.serving.relay import FRESH_SHARE, SPREAD_SHARE, StoreRelay
from lagoonring.tests.test_feeds import MemoryTopic

NAMES = ("a", "b", "c")
CHANGE_S = 2.0
FRESH_S = (FRESH_SHARE + SPREAD_SHARE) * CHANGE_S


class Wire:
    """Exchanges of one data centre; messages to those cut off are lost."""

    def __init__(self):
        self.ends = {}
        self.cut = set()

    def make_end(self, name):
        wire = self

        class End:
            address = name

            def __init__(self):
                self.handlers = {}

            def local_peers(self):
                reached = {name, *wire.ends} - wire.cut
                return [] if name in wire.cut else sorted(reached - {name})

            def send_to_local_peers(self, content):
                for peer in self.local_peers():
                    wire.ends[peer].handlers[content[0]](content)

        self.ends[name] = End()
        return self.ends[name]


class Instance:
    """One instance's feed and what was applied."""

    def __init__(self, name, wire, topic, clock):
        self.feed = KeyedFeed(topic)
        self.applied = {}
        self.n_polls = 0
        self.relay = StoreRelay(
            clock, wire.make_end(name), random.Random(name), change_s=CHANGE_S
        )
        self.relay.add("records", self.feed, self.apply)

    def apply(self, record):
        is_change = self.applied.get(record.key) != record.value
        self.applied[record.key] = record.value
        return is_change

    async def poll(self):
        before = self.feed.offset
        changes = await self.feed.poll()
        self.n_polls += 1
        changes = [record for record in changes if self.apply(record)]
        self.relay.publish("records", before, changes)

    async def step(self):
        """Do what a follower does: read unless another's pages suffice."""
        if not self.relay.is_fresh("records"):
            await self.poll()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def topic():
    topic = MemoryTopic()
    topic.write("config", b"1")
    return topic


@pytest.fixture
def wire():
    return Wire()


@pytest.fixture
async def instances(wire, topic, clock):
    made = {name: Instance(name, wire, topic, clock) for name in NAMES}
    for instance in made.values():
        await instance.poll()
    await made["a"].poll()
    return made


async def play(instances, clock, seconds):
    for _ in range(int(seconds / 0.5)):
        for instance in instances.values():
            await instance.step()
        await clock.advance(0.5)


async def test_one_reads_for_all(instances, topic, clock):
    before = {name: it.n_polls for name, it in instances.items()}
    for number in range(2, 8):
        topic.write("config", b"%d" % number)
        await play(instances, clock, 1.0)
        await instances["a"].poll()
    assert all(it.applied == {"config": b"7"} for it in instances.values())
    assert all(instances[name].n_polls == before[name] for name in "bc")


async def test_the_others_read_for_themselves_when_the_reader_falls_silent(
    instances, topic, wire, clock
):
    wire.cut.add("a")
    topic.write("config", b"2")
    await play({name: instances[name] for name in "bc"}, clock, FRESH_S + 1.0)
    assert instances["b"].applied == instances["c"].applied == {"config": b"2"}


async def test_an_instance_that_missed_pages_catches_up(instances, topic, wire, clock):
    wire.cut.add("c")
    for number in range(2, 6):
        topic.write("config", b"%d" % number)
        await instances["a"].poll()
        await clock.advance(0.5)
    wire.cut.clear()
    topic.write("config", b"6")
    await instances["a"].poll()
    await play({"c": instances["c"]}, clock, FRESH_S + 1.0)
    assert instances["c"].applied == {"config": b"6"}


async def test_one_whom_the_store_serves_reads_for_one_whom_it_turns_away(
    instances, topic, clock
):
    """The instance that read for all is turned away, and lives on others' pages."""
    turned_away = instances["a"]
    for number in range(2, 8):
        topic.write("config", b"%d" % number)
        await play({name: instances[name] for name in "bc"}, clock, CHANGE_S)
        assert turned_away.applied == {"config": b"%d" % number}


async def test_of_many_that_start_together_few_read_on(wire, topic, clock):
    """They don't know each other yet when they have read all keys."""
    made = {str(n): Instance(str(n), wire, topic, clock) for n in range(30)}
    wire.cut = set(made)
    for instance in made.values():
        await instance.poll()
    for number in range(20):
        if number == 3:
            wire.cut = set()
        for instance in made.values():
            topic.write("heartbeat", b"%d" % number)
            await instance.step()
        await clock.advance(0.1)
    assert sum(it.n_polls > 1 for it in made.values()) <= 5


async def test_few_read_where_many_could(instances, clock):
    before = sum(it.n_polls for it in instances.values())
    await play(instances, clock, 20.0)
    n_rounds = 20.0 / 0.5
    assert sum(it.n_polls for it in instances.values()) - before <= 1.2 * n_rounds


async def test_of_two_that_read_one_goes_on_though_records_come_all_the_while(
    instances, topic, clock
):
    """Each of both has read records that the other's page does not have yet."""
    await clock.advance(CHANGE_S)
    for name in ("a", "b"):
        await instances[name].poll()
    before = {name: it.n_polls for name, it in instances.items()}
    for number in range(40):
        for name in ("a", "b", "c"):
            topic.write("heartbeat", b"%d" % (10 * number))
            await instances[name].step()
        await clock.advance(0.5)
    n_polls = {name: it.n_polls - before[name] for name, it in instances.items()}
    assert n_polls["a"] >= 40
    assert n_polls["b"] + n_polls["c"] <= 2


async def test_what_was_heard_of_one_reader_is_among_the_pages_of_the_next(
    instances, topic, wire, clock
):
    """One that missed the first reader's page must not skip what was in it."""
    await clock.advance(CHANGE_S)
    await instances["b"].poll()
    wire.cut.add("c")
    topic.write("endpoint", b"draining")
    await instances["a"].poll()
    assert instances["b"].applied["endpoint"] == b"draining"
    wire.cut = {"a"}
    topic.write("other", b"1")
    await instances["b"].poll()
    assert instances["c"].feed.offset < instances["b"].feed.offset or (
        instances["c"].applied.get("endpoint") == b"draining"
    )
    await clock.advance(CHANGE_S)
    await instances["c"].step()
    assert instances["c"].applied["endpoint"] == b"draining"


async def test_a_page_from_the_past_changes_nothing(instances, topic, wire):
    topic.write("config", b"2")
    await instances["c"].poll()
    topic.stale_end = 1
    instances["a"].feed.offset = 1
    await instances["a"].poll()
    assert instances["c"].applied == {"config": b"2"}
