"""Streams that pause, and streams that never complete another event."""

from __future__ import annotations

import asyncio

import pytest

from lagoonring.kernel import Clock
from lagoonring.serving import attempts
from lagoonring.serving.configuration import RequestKind
from lagoonring.tests.builders.serving import (
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

STALL_S = 0.05  # in place of the seconds of the product
ALLOWED_S = 1.5


class PausingAnswer(FakeAnswer):
    """An answer with a pause before each chunk but the first; endless if told."""

    def __init__(self, chunks, *, pause_s, drip=None):
        super().__init__(chunks)
        self.pause_s = pause_s
        self.drip = drip

    async def chunks(self):
        for number, chunk in enumerate(self.chunks_made):
            await asyncio.sleep(self.pause_s if number else 0)
            yield chunk
        while self.drip:
            await asyncio.sleep(self.pause_s)
            yield self.drip


@pytest.fixture
def make_service(monkeypatch):
    monkeypatch.setattr(attempts, "STALL_TIMEOUT_S", STALL_S)

    def make(answers):
        sender = FakeSender(lambda order: answers[order.endpoint.endpoint])
        route = make_route(
            kind=RequestKind.STREAM,
            may_resume=True,
            max_attempts=2,
            objective_s=ALLOWED_S,
            timeout_s=ALLOWED_S,
        )
        parts = make_parts(
            sender,
            *(make_record(name) for name in answers),
            configuration=make_configuration(route),
            clock=Clock(),
        )
        return parts, sender

    return make


async def ask(parts):
    return await serve(
        parts,
        make_request(received_s=parts.app.clock.monotonic(), allowed_s=ALLOWED_S),
    )


async def test_a_slow_stream_is_not_cut_while_nobody_else_can_go_on_with_it(
    make_service,
):
    events = [make_event(1), make_event(2), make_event(3)]
    parts, sender = make_service({"a": PausingAnswer(events, pause_s=4 * STALL_S)})
    sink = await ask(parts)
    assert sink.body == b"".join(events)
    assert sink.is_whole
    assert len(sender.orders) == 1


@pytest.mark.parametrize("drip", [b"x", b": still here\n"])
async def test_a_stream_that_sends_bytes_but_no_event_is_continued_elsewhere(
    make_service, drip
):
    stalled = PausingAnswer([make_event(1)], pause_s=STALL_S / 5, drip=drip)
    parts, sender = make_service({"a": stalled, "b": FakeAnswer([make_event(2)])})
    parts.table.find("b").full_until_s = float("inf")  # so that the first is a
    sink = await ask(parts)
    assert [order.endpoint.endpoint for order in sender.orders] == ["a", "b"]
    assert sink.body == make_event(1) + make_event(2)
    assert sink.is_whole
