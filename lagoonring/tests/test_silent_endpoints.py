"""Work in progress at an endpoint whose record lapses or whose instance is dropped."""

from __future__ import annotations

import attrs
import pytest

from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.messages import Scope, Source
from lagoonring.tests.builders.serving import (
    FakeAnswer,
    FakeSender,
    make_configuration,
    make_event,
    make_parts,
    make_record,
    make_route,
    serve,
)

STREAM = make_route(kind=RequestKind.STREAM, may_resume=True, max_attempts=2)
EVENTS = [make_event(number) for number in range(4)]


class InterruptedAnswer(FakeAnswer):
    """An answer during which something happens after the second event."""

    def __init__(self, chunks, interrupt):
        super().__init__(chunks)
        self.interrupt = interrupt

    async def chunks(self):
        for number, chunk in enumerate(self.chunks_made):
            if number == 2:
                self.interrupt()
            yield chunk


def remove_all(parts):
    """The records of all endpoints lapse, as they were silent for a while."""
    for name in list(parts.table.endpoints):
        parts.table.remove(name)


def return_as_new_record(parts):
    """The endpoint is silent, and its record returns under the same incarnation."""
    records = [endpoint.record for endpoint in parts.table.endpoints.values()]
    remove_all(parts)
    for record in records:
        later = attrs.evolve(record, sequence=record.sequence + 5)
        parts.table.apply(later, n_cache_tokens=1000)


def drop_instances(parts):
    """All other instances are silent, and what they reported expires."""
    now_s = parts.app.clock.monotonic()
    source = Source(Scope.INSTANCE, "silent")
    for name in parts.table.endpoints:
        parts.table.update_peer_load(source, {name: (3, 100)}, now_s - 60.0)
    parts.table.expire_loads(now_s)


@pytest.mark.parametrize(
    "interrupt", [remove_all, return_as_new_record, drop_instances]
)
async def test_work_of_a_silent_endpoint_is_neither_started_again_nor_given_up(
    interrupt,
):
    sender = FakeSender(
        lambda order: InterruptedAnswer(EVENTS, lambda: interrupt(parts))
    )
    parts = make_parts(
        sender,
        make_record("a"),
        make_record("b"),
        configuration=make_configuration(STREAM),
    )
    sink = await serve(parts)
    assert sink.is_whole
    assert sink.body == b"".join(EVENTS)
    assert len(sender.orders) == 1
