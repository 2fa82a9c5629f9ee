"""A store that returns from an older copy after an outage."""

from __future__ import annotations

import attrs
import pytest

from lagoonring.kernel import ManualClock
from lagoonring.leases import Lease, LeaseLostError, LeaseOptions
from lagoonring.platform import LogTruncatedError
from lagoonring.platform.exchange import PlatformUnavailableError
from lagoonring.platform.log import generation_of, make_offset
from lagoonring.platform.store import KeyedRecord
from lagoonring.serving.duties import DutyLedger, write_ahead
from lagoonring.serving.feeds import KeyedFeed
from lagoonring.serving.follower import RECOVERY_S
from lagoonring.serving.moves import MoveOrder
from lagoonring.standins.log_server import LogServer
from lagoonring.standins.log_standin import LogStandin
from lagoonring.standins.options import LogOptions
from lagoonring.tests.builders.followers import (
    MemoryTopic,
    add_document,
    make_follower,
)
from lagoonring.tests.builders.serving import make_configuration, make_record
from lagoonring.tests.builders.standins import (
    running,
    running_log_client,
    set_faults,
)

STREAM = "duties"
LEASE = LeaseOptions(duration_s=3.0, margin_s=0.5, renew_interval_s=0.9, poll_s=0.9)


@pytest.fixture
async def server():
    async with running(LogServer(LogOptions(appends_per_s=0))) as server:
        yield server


@pytest.fixture
async def log(server):
    async with running_log_client(server.url) as log:
        yield log


# The client


@pytest.mark.parametrize("n_after", [0, 1, 5])
async def test_an_offset_of_before_the_return_counts_as_truncated(log, server, n_after):
    offsets = [await log.append(STREAM, text) for text in "abc"]
    await set_faults(server, return_older_s=3600.0)
    for number in range(n_after):
        await log.append(STREAM, f"after{number}")
    with pytest.raises(LogTruncatedError) as caught:
        await log.read(STREAM, offsets[-1] + 1)
    page = await log.read(STREAM, caught.value.first_offset)
    assert [record.data[:5] for record in page.records] == ["after"] * n_after
    assert page.next_offset > offsets[-1]


async def test_offsets_of_appends_rise_over_a_return(log, server):
    before = [await log.append(STREAM, text) for text in "abc"]
    await set_faults(server, return_older_s=3600.0)
    after = [await log.append(STREAM, text) for text in "abc"]
    assert min(after) > max(before)


async def test_a_reader_that_begins_misses_nothing(log, server):
    await set_faults(server, return_older_s=3600.0)
    for text in "ab":
        await log.append(STREAM, text)
    page = await log.read(STREAM, 0)
    assert [record.data for record in page.records] == ["a", "b"]
    assert page.first_offset == 0


async def test_an_answer_from_before_the_return_is_not_used(log, server):
    await log.append(STREAM, "a")
    log.log.client.generation = 1
    with pytest.raises(PlatformUnavailableError):
        await log.log.client.read(STREAM, make_offset(1, 0))


# Keys


async def test_keys_are_read_again_at_lower_offsets():
    topic = MemoryTopic()
    for value in (b"1", b"2", b"3"):
        topic.write("a", value)
    feed = KeyedFeed(topic)
    await feed.poll()
    topic.return_older(2)
    topic.write("a", b"4")
    assert [record.value for record in await feed.poll()] == [b"4"]
    topic.write("a", b"5")
    assert [record.value for record in await feed.poll()] == [b"5"]


async def test_a_page_of_before_the_return_changes_nothing():
    topic = MemoryTopic()
    topic.write("a", b"1")
    feed = KeyedFeed(topic)
    await feed.poll()
    topic.return_older(1)
    topic.write("a", b"2")
    await feed.poll()
    late = [KeyedRecord("a", b"old", 7)]
    assert feed.apply_page(late, 8) == []


async def follow_for(follower, seconds):
    for _ in range(round(seconds / 0.1)):
        for name, feed, apply in (
            ("documents", follower.documents, follower.apply_document),
            ("records", follower.records, follower.apply_record),
        ):
            await follower._poll(name, feed, 0.0, apply)
        await follower.app.clock.advance(0.1)


@pytest.mark.parametrize("is_back", [True, False])
async def test_endpoints_missing_in_the_copy_stay_until_they_had_time_to_return(
    is_back,
):
    documents = {}
    follower = make_follower(documents, MemoryTopic)
    value = add_document(documents, make_record("a"))
    follower.records.log.write("a", value)
    await follow_for(follower, 0.5)
    follower.peer_read_s = follower.app.clock.monotonic()
    follower.records.log.return_older(1)
    await follow_for(follower, RECOVERY_S - 0.5)
    assert follower.table.find("a") is not None
    if is_back:
        follower.records.log.write("a", value)
    await follow_for(follower, 1.0)
    assert (follower.table.find("a") is not None) is is_back


async def test_a_configuration_never_goes_back():
    documents = {}
    follower = make_follower(documents, MemoryTopic)
    for version in (3, 5):
        value = add_document(documents, make_configuration(version=version))
        follower.documents.log.write("config", value)
    await follow_for(follower, 0.2)
    follower.documents.log.return_older(1)
    await follow_for(follower, 0.5)
    assert follower.configuration.version == 5
    newest = add_document(documents, make_configuration(version=6))
    follower.documents.log.write("config", newest)
    await follow_for(follower, 0.2)
    assert follower.configuration.version == 6


async def test_an_order_that_is_written_again_continues_its_move():
    documents = {}
    follower = make_follower(documents, MemoryTopic)
    order = MoveOrder(service="desk", target="v2", duration_s=10.0)
    value = add_document(documents, order)
    follower.documents.log.write("config", add_document(documents, None))
    follower.documents.log.write("rollout/desk", value)
    await follow_for(follower, 0.2)
    name = follower.orders["desk"].name
    follower.documents.log.return_older(1)
    follower.documents.log.write("rollout/desk", value)
    await follow_for(follower, 0.5)
    assert follower.orders["desk"].name == name
    follower.documents.log.write("rollout/desk", value)
    await follow_for(follower, 0.2)
    assert follower.orders["desk"].name != name


# Leases and what they guard


@attrs.define
class Holders:
    """Instances that compete for the lease of the duties."""

    clock: ManualClock = attrs.field(factory=ManualClock)
    log: LogStandin = attrs.field(init=False)
    ledgers: list[DutyLedger] = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.log = LogStandin(self.clock)

    def start(self):
        """Return the lease of a process that has just started."""
        self.ledgers.append(DutyLedger())
        name = f"i{len(self.ledgers)}"
        ledger = self.ledgers[-1]
        return Lease(self.log, STREAM, name, self.clock, LEASE, data=ledger)


async def test_the_next_fencing_number_is_higher_and_only_a_lease_later():
    holders = Holders()
    first, second = holders.start(), holders.start()
    for _ in range(4):
        assert await first.acquire() is not None
        await first.renew()
        await second.acquire()
        await holders.clock.advance(0.5)
    before = first.fencing_number
    holders.log.return_older(60.0)
    with pytest.raises(LeaseLostError):
        await first.renew()
    assert not first.is_held()
    await second.acquire()
    await holders.clock.advance(LEASE.duration_s - 0.5)
    assert await second.acquire() is None
    await holders.clock.advance(1.0)
    assert await second.acquire() > before
    assert await first.acquire() is None


async def test_what_was_written_ahead_is_kept_by_those_that_know_it():
    holders = Holders()
    first, second = holders.start(), holders.start()
    await first.acquire()
    await write_ahead(first, "usage", "7", {"one": 3})
    await second.acquire()
    holders.log.return_older(60.0)
    await holders.clock.advance(LEASE.duration_s + 1.0)
    await second.acquire()
    await holders.clock.advance(LEASE.duration_s + 1.0)
    assert await second.acquire() is not None
    assert all(ledger.find("usage", "7") is not None for ledger in holders.ledgers)
    assert holders.clock.boottime() - second.restored_s < 10.0
    assert generation_of(second.fencing_number) == 1


async def test_a_process_that_starts_reads_all_that_the_log_still_has():
    holders = Holders()
    holders.log.n_kept = 20
    first = holders.start()
    await first.acquire()
    for _ in range(12):
        await first.renew()
    await write_ahead(first, "usage", "7", {"one": 3})
    for _ in range(6):
        await first.renew()
    await holders.start().acquire()
    assert holders.ledgers[1].find("usage", "7") is not None
