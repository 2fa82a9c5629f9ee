"""Configuration, move orders and endpoints that an instance reads from the store."""

from __future__ import annotations

import pytest

from lagoonring.errors import UnavailableError
from lagoonring.kernel import Clock
from lagoonring.platform.store import KeyedRecord, Snapshot
from lagoonring.serving.endpoints import EndpointState
from lagoonring.serving.follower import RECOVERY_S
from lagoonring.serving.moves import MoveOrder
from lagoonring.tests.builders.followers import (
    FAULTY,
    QuietExchange,
    add_document,
    make_follower,
)
from lagoonring.tests.builders.serving import make_configuration, make_record


@pytest.fixture
def documents():
    return {}


@pytest.fixture
def follower(documents):
    made = make_follower(documents)
    made.records.offset = 0
    return made


def record(key, value, offset=0):
    return KeyedRecord(key, value, offset)


def test_puts_newer_configurations_in_force_and_never_an_older_one(follower, documents):
    for version in (3, 2, 5, 4):
        value = add_document(documents, make_configuration(version=version))
        follower.apply_document(record("config", value))
    assert follower.configuration.version == 5


def test_an_invalid_document_changes_nothing(follower, documents):
    value = add_document(documents, make_configuration(version=1))
    follower.apply_document(record("config", value))
    follower.apply_document(record("config", FAULTY))
    assert follower.configuration.version == 1


def test_keeps_the_newest_order_of_each_service(follower, documents):
    order = MoveOrder(service="desk", target="v2", duration_s=10.0)
    follower.apply_document(record("rollout/desk", add_document(documents, order)))
    assert follower.orders["desk"].target == "v2"
    assert follower.orders["desk"].is_old


def test_notifies_listeners_of_a_change(follower, documents):
    notified = []
    follower.subscribe(lambda: notified.append(follower.configuration.version))
    value = add_document(documents, make_configuration(version=1))
    follower.apply_document(record("config", value))
    assert notified == [1]


def test_an_invalid_record_leaves_the_endpoint_unchanged(follower, documents):
    follower.apply_record(record("a", add_document(documents, make_record("a"))))
    follower.apply_record(record("a", FAULTY))
    assert follower.table.find("a").record.state is EndpointState.READY


def test_an_older_record_of_the_same_process_is_ignored(follower, documents):
    draining = make_record("a", state=EndpointState.DRAINING, sequence=9)
    follower.apply_record(record("a", add_document(documents, draining)))
    follower.apply_record(
        record("a", add_document(documents, make_record("a", sequence=8)))
    )
    assert follower.table.find("a").record.state is EndpointState.DRAINING


def test_a_new_process_under_the_same_id_starts_without_statistics(follower, documents):
    follower.apply_record(
        record("a", add_document(documents, make_record("a", sequence=9)))
    )
    follower.table.find("a").service_s = 7.0
    restarted = make_record("a", born_ms=2000, sequence=1)
    follower.apply_record(record("a", add_document(documents, restarted)))
    assert follower.table.find("a").service_s is None
    old = make_record("a", sequence=10)
    follower.apply_record(record("a", add_document(documents, old)))
    assert follower.table.find("a").record.born_ms == 2000


def test_a_removed_endpoint_gets_no_more_requests(follower, documents):
    follower.apply_record(record("a", add_document(documents, make_record("a"))))
    follower.apply_record(record("a", None))
    assert follower.table.of_service("desk") == []


async def test_a_request_waits_for_the_first_read_only(follower, documents):
    follower.app.clock = Clock()
    await follower.wait_until_read(0.01)
    assert not follower.has_read.is_set()
    follower.documents.log.pages += [[]] * 20
    follower.records.log.pages += [[]] * 20
    follower.documents.offset = None
    follower.records.offset = None
    follower.documents.log.newest = follower.records.log.newest = Snapshot([], 0)
    await follower.start()
    await follower.wait_until_read(5.0)
    assert follower.has_read.is_set()
    await follower.app.stop()


async def follow_for(follower, seconds):
    follower.app.spawn("records", follower._follow_records)
    await follower.app.clock.advance(seconds)


async def test_keeps_an_endpoint_that_expired_during_a_store_outage(
    follower, documents
):
    follower.apply_record(record("a", add_document(documents, make_record("a"))))
    back = add_document(documents, make_record("a", sequence=2))
    pages = follower.records.log.pages
    pages += [UnavailableError("away"), [record("a", None, 0)], [record("a", back, 1)]]
    pages += [[]] * 20
    await follow_for(follower, RECOVERY_S + 3)
    assert follower.table.find("a") is not None
    await follower.app.stop()


async def test_drops_an_endpoint_at_once_if_others_can_read_the_store(
    follower, documents
):
    follower.apply_record(record("a", add_document(documents, make_record("a"))))
    pages = follower.records.log.pages
    pages += [UnavailableError("away"), [record("a", None, 0)]] + [[]] * 20
    follower.record_peer_read(read_well_for_s=60.0)
    await follow_for(follower, 1.0)
    assert follower.table.find("a") is None
    await follower.app.stop()


async def test_drops_an_endpoint_that_does_not_return_after_an_outage(
    follower, documents
):
    follower.apply_record(record("a", add_document(documents, make_record("a"))))
    pages = follower.records.log.pages
    pages += [UnavailableError("away"), [record("a", None, 0)]] + [[]] * 20
    await follow_for(follower, 1.0)
    assert follower.table.find("a") is not None
    await follower.app.clock.advance(RECOVERY_S)
    assert follower.table.find("a") is None
    await follower.app.stop()


@pytest.mark.parametrize(
    ("n_peers", "is_hub", "expected_s"),
    [(0, True, 0.25), (2, False, 0.25), (45, False, 0.5), (45, True, 0.25)],
)
def test_reads_of_a_failing_store_grow_little_with_the_instances(
    follower, n_peers, is_hub, expected_s
):
    """With 195 instances, an outage of ten seconds cost 16,000 calls."""
    exchange = QuietExchange(n_peers=n_peers, is_here=is_hub)
    follower.relay.exchange = exchange
    assert follower._retry_interval_s() == expected_s
