"""Operators' orders to send nothing to a data centre."""

from __future__ import annotations

import pytest

from lagoonring.platform.documents import decode_document
from lagoonring.serving.evacuation_orders import (
    EvacuationOrder,
    apply_evacuation,
    unserved,
)
from lagoonring.serving.warming import is_cold
from lagoonring.tests.builders.cold_service import WARM_UP
from lagoonring.tests.builders.followers import MemoryTopic, make_follower
from lagoonring.tests.builders.serving import (
    FakeAnswer,
    FakeSender,
    make_parts,
    make_record,
    make_request,
    make_table,
    serve,
)


def endpoints_of(*data_centres):
    return [make_record(name, data_centre=name) for name in data_centres]


async def used_endpoints(parts, sender, *, n_requests=12):
    """Return the endpoints that got requests, and the last caller's answer."""
    sender.orders.clear()
    for number in range(n_requests):
        request = make_request(
            request_id=f"r{number}", received_s=parts.app.clock.monotonic()
        )
        sink = await serve(parts, request)
        await parts.app.clock.advance(0.2)
    return {order.endpoint.endpoint for order in sender.orders}, sink


async def test_nothing_is_sent_to_an_evacuated_data_centre_until_it_is_taken_back():
    sender = FakeSender(lambda order: FakeAnswer([b"done"]))
    parts = make_parts(sender, *endpoints_of("east", "north"))
    now_s = parts.app.clock.monotonic()
    assert apply_evacuation(parts.table, EvacuationOrder("north"), now_s)
    assert not apply_evacuation(parts.table, EvacuationOrder("north"), now_s)
    used, sink = await used_endpoints(parts, sender)
    assert used == {"east"}
    assert sink.status == 200
    apply_evacuation(parts.table, EvacuationOrder("north", is_withdrawn=True), now_s)
    apply_evacuation(parts.table, EvacuationOrder("east"), now_s)
    used, _ = await used_endpoints(parts, sender)
    assert used == {"north"}


async def test_requests_are_refused_at_once_while_all_data_centres_are_evacuated():
    sender = FakeSender(lambda order: FakeAnswer([b"done"]))
    parts = make_parts(sender, *endpoints_of("east", "north"))
    for data_centre in ("east", "north"):
        apply_evacuation(parts.table, EvacuationOrder(data_centre), 0.0)
    assert unserved(parts.table) == ["desk"]
    begun_s = parts.app.clock.monotonic()
    sink = await serve(parts, make_request(received_s=begun_s))
    assert sink.status == 503
    assert sink.error.retry_after_s > 0
    assert parts.app.clock.monotonic() == begun_s
    assert not sender.orders


async def test_a_request_that_still_connects_is_not_sent_after_the_order():
    wanted = []

    def answer(order):
        apply_evacuation(parts.table, EvacuationOrder("east"), 0.0)
        wanted.append(order.is_wanted())
        return FakeAnswer([b"done"])

    parts = make_parts(FakeSender(answer), *endpoints_of("east"))
    await serve(parts, make_request(received_s=parts.app.clock.monotonic()))
    assert wanted == [False]


@pytest.mark.parametrize(("service", "expected"), [("desk", True), ("other", False)])
def test_endpoints_count_as_cold_once_their_data_centre_is_taken_back(
    service, expected
):
    table = make_table(*endpoints_of("east", "north"))
    table.warm_ups = {service: WARM_UP}
    apply_evacuation(table, EvacuationOrder("north"), 5.0)
    assert not is_cold(table.find("north"), 5.0)
    apply_evacuation(table, EvacuationOrder("north", is_withdrawn=True), 9.0)
    assert is_cold(table.find("north"), 11.9) is expected
    assert not is_cold(table.find("east"), 9.0)


async def test_orders_written_during_an_outage_take_effect_at_its_end():
    """One is asked for and another taken back while the store can't be read."""
    orders = {
        b"east": EvacuationOrder("east"),
        b"north": EvacuationOrder("north"),
        ("evacuate/east", None): EvacuationOrder("east", is_withdrawn=True),
    }
    follower = make_follower(orders, MemoryTopic)
    topic = follower.documents.log
    topic.write("evacuate/east", b"east")
    await poll_documents(follower)
    assert follower.table.evacuated == {"east"}
    topic.write("evacuate/east", None)
    topic.write("evacuate/north", b"north")
    topic.first = 3  # the records themselves have expired meanwhile
    await poll_documents(follower)
    assert follower.table.evacuated == {"north"}


async def poll_documents(follower):
    """Read and apply the documents once."""
    for record in await follower.documents.poll():
        follower.apply_document(record)


@pytest.mark.parametrize("content", [b"{}", None])
def test_an_order_and_its_removal_are_decoded(content):
    order = decode_document("evacuate/north", content)
    assert order == EvacuationOrder("north", is_withdrawn=content is None)


@pytest.mark.parametrize("key", ["config", "rollout/desk", "other"])
def test_other_removed_documents_change_nothing(key):
    assert decode_document(key, None) is None
