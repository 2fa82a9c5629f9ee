"""Splits the body of a server-sent event stream into complete events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

ID_FIELD = b"id:"
END_OF_EVENT = b"\n\n"
MAX_ID_DIGITS = 18


@attrs.frozen
class StreamEvent:
    """The bytes of a complete event, and its id if it has one."""

    data: bytes
    event_id: int | None


@attrs.define
class EventSplitter:
    """Buffers an incomplete event until its remainder arrives."""

    buffer: bytearray = attrs.field(factory=bytearray)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add received data and yield the events that are complete."""
        # The end of an event is not searched again where it was not found before.
        start = max(len(self.buffer) - len(END_OF_EVENT) + 1, 0)
        self.buffer += data
        while (end := self.buffer.find(END_OF_EVENT, start)) >= 0:
            end += len(END_OF_EVENT)
            event, start = bytes(self.buffer[:end]), 0
            del self.buffer[:end]
            yield StreamEvent(event, _parse_id(event))


def _parse_id(event: bytes) -> int | None:
    """Return the id, or None unless the event has exactly one that is a number.

    An event with carriage returns is none of those that end in ``END_OF_EVENT``.
    """
    ids = [line for line in event.split(b"\n") if line.startswith(ID_FIELD)]
    if len(ids) != 1 or b"\r" in event:
        return None
    text = ids[0][len(ID_FIELD) :].strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
