"""Splits the body of an event stream into whole events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

ID_FIELD = b"id:"
END_OF_EVENT = b"\n\n"


@attrs.frozen
class StreamEvent:
    """A whole event as it came, and its id if it has one."""

    data: bytes
    event_id: int | None


@attrs.define
class EventSplitter:
    """Keeps what came of an event until the rest has come."""

    rest: bytes = b""

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yield the events that are whole now."""
        self.rest += data
        while (end := self.rest.find(END_OF_EVENT)) >= 0:
            end += len(END_OF_EVENT)
            event, self.rest = self.rest[:end], self.rest[end:]
            yield StreamEvent(event, _read_id(event))


def _read_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
