"""Events of the streams in a soak, and the check of what a caller received."""

from __future__ import annotations

import re
from itertools import pairwise
from typing import TYPE_CHECKING

import xxhash

from lagoonring.soak.routes import LONG_STREAMS, STREAMS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.soak.connection import SentRequest
    from lagoonring.soak.endpoints import Run

MAX_EVENTS = 12
MIN_LONG_EVENTS, MAX_LONG_EVENTS = 20, 50
EVENT = re.compile(
    rb"id: (?P<number>\d+)\ndata: (?P<request>\S+) \d+/(?P<n_events>\d+)"
    rb"(?: (?P<lineage>\S+))?\n\n"
)


def count_events(request_id: str, path: str) -> int:
    """Return the number of events of a request's stream."""
    digest = xxhash.xxh32_intdigest(request_id.encode())
    if path.startswith(LONG_STREAMS):
        return MIN_LONG_EVENTS + digest % (MAX_LONG_EVENTS - MIN_LONG_EVENTS + 1)
    return 1 + digest % MAX_EVENTS


def make_events(
    request_id: str, first: int = 1, *, path: str = "", lineage: str = ""
) -> list[bytes]:
    """Return the events of a request's stream, starting with event ``first``.

    Each names its request, and the run that made it if ``lineage`` is given.
    """
    n_events = count_events(request_id, path)
    suffix = f" {lineage}" if lineage else ""
    return [
        f"id: {number}\ndata: {request_id} {number}/{n_events}{suffix}\n\n".encode()
        for number in range(first, n_events + 1)
    ]


def find_disorder(
    sent: SentRequest, runs: list[Run], *, may_be_cut: bool = False
) -> Iterator[str]:
    """Yield what is wrong with the order of the events that a caller received.

    ``may_be_cut`` says that a cut may have looked like the end.

    A run that is moved to another endpoint stays the same run. Events of another run
    may follow where that run was started after the last event before them.
    """
    if not sent.path.startswith(STREAMS) or sent.status is None or sent.status >= 300:
        return
    events = []
    position = 0
    while match := EVENT.match(sent.answer, position):
        events.append(match)
        position = match.end()
    rest = sent.answer[position:]
    numbers = [int(event["number"]) for event in events]
    expected = list(range(1, len(numbers) + 1))
    if numbers != expected:
        at = next(i for i, number in enumerate(numbers, start=1) if number != i)
        yield f"event {numbers[at - 1]} came as number {at}"
    if strangers := {event["request"] for event in events} - {sent.request_id.encode()}:
        yield f"events of {strangers}"
    if sent.is_complete and not may_be_cut:
        n_events = count_events(sent.request_id, sent.path)
        if rest:
            yield f"complete with {rest[:100]!r} after {len(events)} events"
        elif len(events) != n_events:
            yield f"complete with {len(events)} of {n_events} events"
    began = {
        (run.lineage.encode(), run.first_event) for run in runs if not run.is_moved
    }
    for before, after in pairwise(events):
        if before["lineage"] == after["lineage"]:
            continue
        if (after["lineage"] or b"", int(after["number"])) not in began:
            yield (
                f"run {after['lineage']!r} joined to {before['lineage']!r} at event "
                f"{int(after['number'])}"
            )
