"""Endpoints that ask for a pause while an instance is about to send them requests."""

from __future__ import annotations

import asyncio

import pytest

from lagoonring.platform.sending import HttpSender, make_session
from lagoonring.serving.statements import Statement, record_statement
from lagoonring.tests.builders.limited_service import make_refusal
from lagoonring.tests.builders.raw_endpoints import raw_endpoint
from lagoonring.tests.builders.serving import (
    FakeAnswer,
    FakeSender,
    make_configuration,
    make_parts,
    make_record,
    make_request,
    make_route,
    serve,
)

LIMIT_S = 20.0
LONG = make_configuration(make_route(timeout_s=9.0, objective_s=9.0, max_wait_s=9.0))


def make_long_request(number=0):
    return make_request(request_id=f"{number:016x}", allowed_s=9.0)


@pytest.mark.parametrize(
    "statement",
    [Statement(limit_per_s=0.5, pause_s=30.0), Statement(limit_per_s=0.0)],
)
async def test_a_request_that_waits_with_a_permit_heeds_what_is_said_meanwhile(
    statement,
):
    sender = FakeSender(lambda order: FakeAnswer([b"ok"]))
    parts = make_parts(sender, make_record("a"), configuration=LONG)
    clock, endpoint = parts.app.clock, parts.table.find("a")
    now_s = clock.monotonic()
    record_statement(parts.table, endpoint, Statement(limit_per_s=0.5), now_s)
    parts.placer.permissions.take_permit(endpoint)
    while parts.placer.permissions.wait_s(endpoint) == 0:
        parts.placer.permissions.take_permit(endpoint)
    request = asyncio.create_task(serve(parts, make_long_request()))
    await clock.advance(0.5)
    assert not request.done()
    record_statement(parts.table, endpoint, statement, clock.monotonic())
    await clock.advance(9.0)
    assert (await request).status == 503
    assert not sender.orders


async def test_a_request_whose_connection_comes_late_heeds_a_pause():
    connects, proceed = asyncio.Event(), asyncio.Event()

    def answer(writer, head):
        writer.close()

    async with raw_endpoint(answer) as (address, heads), make_session() as session:
        connect = session.connector.connect

        async def connect_late(*options, **more):
            connects.set()
            await proceed.wait()
            return await connect(*options, **more)

        session.connector.connect = connect_late
        parts = make_parts(
            HttpSender(session, relay_port=9), make_record("a", address=address)
        )
        request = asyncio.create_task(serve(parts))
        async with asyncio.timeout(LIMIT_S):
            await connects.wait()
            now_s = parts.app.clock.monotonic()
            endpoint = parts.table.find("a")
            record_statement(parts.table, endpoint, Statement(pause_s=30.0), now_s)
            proceed.set()
            sink = await request
    assert sink.status == 503
    assert not heads


async def test_requests_that_wait_for_the_end_of_a_pause_are_not_sent_all_at_once():
    async def refuse(order):
        await parts.app.clock.sleep(0.01)
        return make_refusal(30.0)

    sender = FakeSender(refuse)
    parts = make_parts(sender, make_record("a"), configuration=LONG)
    clock, endpoint = parts.app.clock, parts.table.find("a")
    record_statement(parts.table, endpoint, Statement(pause_s=1.0), clock.monotonic())
    requests = [
        asyncio.create_task(serve(parts, make_long_request(n))) for n in range(12)
    ]
    for _ in range(500):
        await clock.advance(0.02)
    sinks = await asyncio.gather(*requests)
    assert {sink.status for sink in sinks} == {503}
    assert 1 <= len(sender.orders) <= 3


async def refuse_while_the_other_pauses():
    """Return an instance, and a request that waits for the end of a pause."""
    sender = FakeSender(
        lambda order: (
            make_refusal(30.0)
            if order.endpoint.endpoint == "a"
            else FakeAnswer([b"ok"])
        )
    )
    parts = make_parts(sender, make_record("a"), make_record("b"), configuration=LONG)
    now_s = parts.app.clock.monotonic()
    other = parts.table.find("b")
    record_statement(parts.table, other, Statement(pause_s=4.0), now_s)
    request = asyncio.create_task(serve(parts, make_long_request()))
    await parts.app.clock.advance(1.0)
    assert len(sender.orders) == 1
    return parts, sender, request


async def test_a_retry_that_waited_counts_from_its_send():
    parts, sender, request = await refuse_while_the_other_pauses()
    await parts.app.clock.advance(4.0)
    assert (await request).status == 200
    (taken_s,) = parts.retry_budget.histories["desk"].retries
    assert taken_s == pytest.approx(1_000_004.0)
    assert len(sender.orders) == 2


async def test_a_retry_that_waited_is_not_sent_once_the_budget_is_used_up():
    parts, sender, request = await refuse_while_the_other_pauses()
    parts.retry_budget.slack = parts.retry_budget.ratio = 0.0
    await parts.app.clock.advance(4.0)
    assert (await request).status == 503
    assert len(sender.orders) == 1
