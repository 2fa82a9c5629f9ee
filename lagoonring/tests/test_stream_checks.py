"""Streams that several endpoints serve: what may be joined, and what callers get."""

from __future__ import annotations

import attrs
import pytest

from lagoonring.endpoints.errors import EndpointCutError
from lagoonring.serving.configuration import RequestKind
from lagoonring.tests.builders.serving import (
    SIGNED,
    FakeAnswer,
    FakeSender,
    make_configuration,
    make_event,
    make_parts,
    make_record,
    make_request,
    make_route,
    serve,
)

STREAM = make_route(kind=RequestKind.STREAM, may_resume=True, max_attempts=3)
NO_RESUME = attrs.evolve(STREAM, may_resume=False)
CUT = EndpointCutError("cut")
EVENTS = [("Content-Type", "text/event-stream; charset=utf-8"), *SIGNED]
RAW_ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 11\r\n\r\n"


def begin_stream(*chunks):
    return FakeAnswer([*chunks, CUT], headers=EVENTS)


def rest_of_stream(*chunks, **changes):
    return FakeAnswer(list(chunks), **({"headers": EVENTS} | changes))


async def serve_in_turn(*answers, route=STREAM, **changes):
    """Return what the caller received, and the orders that were sent."""
    remaining = list(answers)
    sender = FakeSender(lambda order: remaining.pop(0) if remaining else CUT)
    records = [make_record(name) for name in "abc"]
    parts = make_parts(sender, *records, configuration=make_configuration(route))
    return await serve(parts, make_request(**changes)), sender.orders


@pytest.mark.parametrize(
    "rest",
    [
        rest_of_stream(b"error: no such run\n\n"),
        rest_of_stream(b"event: error\ndata: none\n\n"),
        rest_of_stream(b"id: x\ndata: y\n\n"),
        rest_of_stream(b"id: 2\nid: 9\ndata: y\n\n"),
        rest_of_stream(make_event(0), make_event(1)),
        rest_of_stream(make_event(3)),
        rest_of_stream(make_event(1)),
        rest_of_stream(b"id: 2\ndata: w" + RAW_ERROR + b'{"error":1}\n\n'),
        rest_of_stream(b"id: 2\r\ndata: w\r\n\r\n"),
        rest_of_stream(b"id: 2\ndata: w"),
        rest_of_stream(make_event(2), is_signed=False),
        rest_of_stream(make_event(2), headers=SIGNED),
        rest_of_stream(make_event(2), headers=[("content-type", "text/plain")]),
        rest_of_stream(make_event(2), status=500),
        rest_of_stream(status=204),
        rest_of_stream(),
    ],
)
async def test_an_answer_that_is_not_the_rest_of_a_stream_is_never_joined(rest):
    first = make_event(0) + make_event(1)
    sink, orders = await serve_in_turn(begin_stream(first + b"id: 2\nda"), rest)
    assert len(orders) > 1
    assert sink.body == first
    assert (sink.is_whole, sink.is_aborted, sink.error) == (False, True, None)


async def test_events_before_a_faulty_one_in_the_same_chunk_are_not_lost():
    faulty = rest_of_stream(make_event(1) + make_event(3))
    rest = rest_of_stream(make_event(2), make_event(3))
    sink, orders = await serve_in_turn(begin_stream(make_event(0)), faulty, rest)
    assert [order.resume_after for order in orders] == [None, 0, 1]
    assert (sink.body, sink.is_whole) == (b"".join(map(make_event, range(4))), True)


@pytest.mark.parametrize(
    "begin",
    [b"data: a\n\n", b"event: role\n\n" + make_event(0), make_event(0) + b":\n\n"],
)
async def test_a_stream_with_events_without_ids_is_served_by_one_endpoint_only(begin):
    sink, orders = await serve_in_turn(
        begin_stream(begin), rest_of_stream(make_event(0), make_event(1))
    )
    assert (len(orders), sink.body) == (1, begin)
    assert (sink.is_whole, sink.is_aborted) == (False, True)
    sink, _ = await serve_in_turn(rest_of_stream(begin))
    assert (sink.body, sink.is_whole) == (begin, True)


async def test_a_stream_that_its_caller_resumes_has_only_events_with_ids():
    answer = rest_of_stream(b"data: error\n\n")
    sink, _ = await serve_in_turn(answer, route=NO_RESUME, resume_after=4)
    assert (sink.status, sink.body, sink.is_whole) == (502, b"", True)


async def test_an_event_with_a_version_line_is_joined():
    rest = b"lagoonring-weight-versions: 7\n" + make_event(1)
    sink, _ = await serve_in_turn(begin_stream(make_event(0)), rest_of_stream(rest))
    assert (sink.body, sink.is_whole) == (make_event(0) + rest, True)
