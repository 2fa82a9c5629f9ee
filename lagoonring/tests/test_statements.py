"""What endpoints say of themselves in their answers."""

from __future__ import annotations

import asyncio

import pytest
from multidict import CIMultiDict

from lagoonring.errors import Outcome
from lagoonring.kernel import ManualClock
from lagoonring.platform.headers import read_statement
from lagoonring.serving.endpoints import MAX_REMOVED
from lagoonring.serving.statements import (
    LIFTED_SHARED_S,
    Statement,
    apply_statement_rows,
    record_statement,
    statement_rows,
)
from lagoonring.tests.builders.limited_service import make_refusal
from lagoonring.tests.builders.serving import (
    FakeAnswer,
    FakeSender,
    make_parts,
    make_record,
    make_request,
    make_table,
    serve,
)

LEAVING = Statement(is_leaving=True)


@pytest.mark.parametrize(
    ("text", "statement"),
    [
        (None, Statement()),
        ("1", Statement(limit_per_s=1.0)),
        ("2.5", Statement(limit_per_s=2.5)),
        ("0", Statement(limit_per_s=0.0)),
        ("-1", Statement(unreadable="-1")),
        ("nan", Statement(unreadable="nan")),
        ("inf", Statement(unreadable="inf")),
        ("many", Statement(unreadable="many")),
        ("", Statement(unreadable="")),
    ],
)
def test_limits_in_answers(text, statement):
    headers = CIMultiDict() if text is None else CIMultiDict({"Server-Limit": text})
    assert read_statement(200, headers) == statement


def test_a_limit_stays_until_an_answer_names_none():
    table = make_table(make_record("a"))
    endpoint = table.find("a")
    record_statement(table, endpoint, Statement(limit_per_s=2.0), 1.0)
    record_statement(table, endpoint, Statement(unreadable="many"), 2.0)
    assert endpoint.limit.limit_per_s == 2.0
    record_statement(table, endpoint, Statement(), 3.0)
    assert endpoint.limit.limit_per_s is None


def test_a_new_incarnation_has_no_limit():
    table = make_table(make_record("a"))
    record_statement(table, table.find("a"), Statement(limit_per_s=2.0), 1.0)
    table.apply(make_record("a", born_ms=2000), n_cache_tokens=1)
    assert table.find("a").limit.limit_per_s is None


def share(table, other, now_s):
    apply_statement_rows(other, statement_rows(table.endpoints.values(), now_s), now_s)


def test_the_newest_statement_of_any_instance_holds():
    here, there = make_table(make_record("a")), make_table(make_record("a"))
    record_statement(here, here.find("a"), Statement(limit_per_s=2.0), 1.0)
    share(here, there, 2.0)
    assert there.find("a").limit.limit_per_s == 2.0
    record_statement(there, there.find("a"), Statement(), 3.0)
    share(here, there, 4.0)
    assert there.find("a").limit.limit_per_s is None
    share(there, here, 5.0)
    assert here.find("a").limit.limit_per_s is None


def test_a_statement_of_another_incarnation_is_ignored():
    here, there = make_table(make_record("a")), make_table(make_record("a", born_ms=9))
    record_statement(here, here.find("a"), Statement(limit_per_s=2.0), 1.0)
    share(here, there, 2.0)
    assert there.find("a").limit.limit_per_s is None


def test_only_limits_in_force_and_those_lifted_recently_are_sent():
    table = make_table(make_record("a"), make_record("b"))
    record_statement(table, table.find("a"), Statement(limit_per_s=2.0), 1.0)
    record_statement(table, table.find("b"), Statement(), 1.0)
    assert set(statement_rows(table.endpoints.values(), 100.0)) == {"a"}
    record_statement(table, table.find("a"), Statement(), 101.0)
    assert set(statement_rows(table.endpoints.values(), 102.0)) == {"a"}
    later_s = 102.0 + LIFTED_SHARED_S
    assert not statement_rows(table.endpoints.values(), later_s)


@pytest.mark.parametrize(
    ("text", "is_leaving"), [("1", True), ("0", False), ("", False)]
)
def test_an_answer_of_a_leaving_endpoint(text, is_leaving):
    statement = read_statement(200, CIMultiDict({"Server-Leaving": text}))
    assert statement == Statement(is_leaving=is_leaving)


def test_an_endpoint_that_said_it_is_leaving_takes_no_new_work_anywhere():
    here, there = make_table(make_record("a")), make_table(make_record("a"))
    told = []
    there.leaving_listeners.append(lambda endpoint, change: told.append(endpoint.name))
    record_statement(here, here.find("a"), Statement(is_leaving=True), 1.0)
    record_statement(here, here.find("a"), Statement(), 2.0)
    assert not here.find("a").takes_new_work()
    share(here, there, 3.0)
    share(here, there, 4.0)
    assert not there.find("a").takes_new_work()
    assert told == ["a"]
    assert there.find("a").limit.limit_per_s is None


def test_a_new_incarnation_of_a_leaving_endpoint_takes_work():
    table = make_table(make_record("a"))
    record_statement(table, table.find("a"), Statement(is_leaving=True), 1.0)
    table.apply(make_record("a", sequence=7), n_cache_tokens=1)
    assert not table.find("a").takes_new_work()
    table.apply(make_record("a", born_ms=2000), n_cache_tokens=1)
    assert table.find("a").takes_new_work()


@pytest.mark.parametrize(
    ("text", "pause_s"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("-3", 0.0),
        ("soon", 0.0),
        ("inf", 0.0),
        ("Fri, 04 Dec 2026 10:00:00 GMT", 0.0),
        ("1000000000", 1e9),
    ],
)
def test_pauses_that_endpoints_ask_for(text, pause_s):
    headers = CIMultiDict({"Retry-After": text})
    assert read_statement(503, headers) == Statement(pause_s=pause_s)
    assert read_statement(200, headers) == Statement()


def test_a_shorter_pause_does_not_end_a_longer_one():
    table = make_table(make_record("a"))
    endpoint = table.find("a")
    record_statement(table, endpoint, Statement(pause_s=5.0), 10.0)
    record_statement(table, endpoint, Statement(pause_s=1.0), 11.0)
    assert endpoint.paused_until_s == 15.0


@pytest.mark.parametrize("status", [200, 500])
async def test_an_endpoint_that_says_it_is_leaving_gets_no_further_request(status):
    def answer(order):
        is_leaving = order.endpoint.endpoint == sender.orders[0].endpoint.endpoint
        return FakeAnswer(
            [b"ok"],
            status=status if is_leaving else 200,
            statement=Statement(is_leaving=is_leaving),
        )

    sender = FakeSender(answer)
    parts = make_parts(sender)
    for _ in range(20):
        await serve(parts)
    used = [order.endpoint.endpoint for order in sender.orders]
    assert used.count(used[0]) == 1


async def test_a_request_is_rejected_at_once_if_all_endpoints_are_leaving():
    sender = FakeSender(lambda order: FakeAnswer([b"ok"], statement=LEAVING))
    parts = make_parts(sender)
    answers = [await serve(parts) for _ in range(4)]
    assert [answer.status for answer in answers] == [200, 200, 503, 503]
    assert answers[2].error.outcome is Outcome.NOT_RUN


async def test_an_endpoint_gets_no_request_in_a_pause_that_it_asked_for():
    clock = ManualClock()
    refused = []

    async def answer(order):
        if not refused or order.endpoint.endpoint == refused[0]:
            refused.append(order.endpoint.endpoint)
            return make_refusal(2.0)
        await clock.sleep(0.3)
        return FakeAnswer([b"ok"])

    parts = make_parts(FakeSender(answer), clock=clock)
    tasks = []
    for _ in range(30):
        request = make_request(received_s=clock.monotonic())
        tasks.append(asyncio.create_task(serve(parts, request)))
        await clock.advance(0.06)
    assert len(refused) == 1
    endpoint = parts.table.find(refused[0])
    assert parts.placer.permissions.wait_s(endpoint) == pytest.approx(0.2)
    await clock.advance(0.3)
    assert parts.placer.permissions.wait_s(endpoint) == 0
    assert all(task.result().status == 200 for task in tasks)


async def test_a_request_waits_for_the_end_of_a_pause_if_that_is_in_time():
    clock = ManualClock()
    sender = FakeSender(
        lambda order: make_refusal(0.6) if len(sender.orders) <= 2 else FakeAnswer()
    )
    parts = make_parts(sender, clock=clock)
    await serve(parts, make_request(received_s=clock.monotonic()))
    task = asyncio.create_task(serve(parts, make_request(received_s=clock.monotonic())))
    await clock.advance(0.3)
    assert len(sender.orders) == 2
    await clock.advance(0.4)
    assert task.result().status == 200


async def test_a_request_is_rejected_at_once_if_all_pauses_are_too_long():
    clock = ManualClock()
    sender = FakeSender(lambda order: make_refusal(30.0))
    parts = make_parts(sender, clock=clock)
    await serve(parts, make_request(received_s=clock.monotonic()))
    sink = await serve(parts, make_request(received_s=clock.monotonic()))
    assert len(sender.orders) == 2
    assert sink.status == 503
    assert sink.error.outcome is Outcome.NOT_RUN
    assert sink.error.retry_after_s > 0


def test_what_an_incarnation_said_outlasts_a_lapse_of_its_record():
    table = make_table(make_record("a"))
    statement = Statement(limit_per_s=2.0, is_leaving=True, pause_s=5.0)
    record_statement(table, table.find("a"), statement, 10.0)
    table.remove("a")
    table.apply(make_record("a", sequence=9), n_cache_tokens=1)
    endpoint = table.find("a")
    assert not endpoint.takes_new_work()
    assert (endpoint.limit.limit_per_s, endpoint.paused_until_s) == (2.0, 15.0)
    table.remove("a")
    table.apply(make_record("a", born_ms=2000), n_cache_tokens=1)
    assert table.find("a").takes_new_work()


def test_only_some_removed_endpoints_are_remembered():
    table = make_table()
    for number in range(3 * MAX_REMOVED):
        for name, statement in (("a", LEAVING), ("b", Statement())):
            table.apply(make_record(f"{name}-{number}"), n_cache_tokens=1)
            record_statement(table, table.find(f"{name}-{number}"), statement, 1.0)
            table.remove(f"{name}-{number}")
    assert len(table.removed) == MAX_REMOVED
    assert all(name.startswith("a") for name in table.removed)
