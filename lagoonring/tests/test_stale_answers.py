"""Answers that endpoints send again, late or for other requests."""

from __future__ import annotations

import pytest

from lagoonring.errors import Outcome
from lagoonring.platform.sending import HttpSender, make_session
from lagoonring.serving.configuration import RequestKind
from lagoonring.tests.builders.raw_endpoints import raw_endpoint
from lagoonring.tests.builders.serving import (
    make_configuration,
    make_parts,
    make_record,
    make_request,
    make_route,
    serve,
)

ID, OTHER = make_request().request_id, "f" * 16
NOT_RUN = "Lagoonring-Not-Executed: 1\r\n"


def make_answer(status, request_id=ID, lines=NOT_RUN, body="no"):
    """Return an answer; without an id if it is empty."""
    echo = f"Lagoonring-Request-Id: {request_id}\r\n" if request_id else ""
    return (
        f"HTTP/1.1 {status} X\r\n{echo}{lines}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


@pytest.fixture
async def sender():
    async with make_session() as session:
        yield HttpSender(session, relay_port=9)


@pytest.mark.parametrize("body", ["", "no"])
@pytest.mark.parametrize(
    ("status", "request_id", "lines"),
    [
        (421, OTHER, NOT_RUN),
        (421, "", NOT_RUN),
        (421, ID, ""),
        (503, OTHER, NOT_RUN),
        (503, "", NOT_RUN),
        (503, ID, ""),
        (429, ID, ""),
        (408, ID, ""),
    ],
)
async def test_only_a_refusal_of_this_request_sends_it_to_another_endpoint(
    sender, status, request_id, lines, body
):
    content = make_answer(status, request_id, lines, body)
    async with (
        raw_endpoint(lambda writer, head: writer.write(content)) as (one, first),
        raw_endpoint(lambda writer, head: writer.write(content)) as (two, second),
    ):
        route = make_route(kind=RequestKind.ONCE, max_attempts=3)
        parts = make_parts(
            sender,
            make_record("a", address=one),
            make_record("b", address=two),
            configuration=make_configuration(route),
        )
        sink = await serve(parts)
    assert (sink.status, sink.error.outcome) == (502, Outcome.UNKNOWN)
    assert len(first + second) == 1
