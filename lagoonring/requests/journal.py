"""The events of a streamed answer, stored compactly for re-attachment."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from lagoonring.endpoints.events import END_EVENT, SEPARATOR

EVENTS_PER_BLOCK = 64
COMPRESSION_LEVEL = 1
DATA_PREFIX = b"data: "


class Journal:
    """An append-only list of events, compressed in blocks of 64.

    Token events begin with ``id: REQUEST:N``, where N is the number of tokens so
    far. The events of a stream are so similar that each takes only some tens of
    bytes of memory.
    """

    __slots__ = ("blocks", "n_bytes", "n_events", "n_tokens", "tail")

    def __init__(self) -> None:
        self.blocks: list[bytes] = []
        self.tail: list[bytes] = []
        self.n_events = 0
        self.n_tokens = 0
        self.n_bytes = 0

    def append(self, events: list[bytes]) -> None:
        """Append events, and compress them once a block is full."""
        self.tail += events
        self.n_events += len(events)
        if len(self.tail) >= EVENTS_PER_BLOCK:
            self.compact()

    def compact(self) -> None:
        """Compress the events that are not yet in a block."""
        if not self.tail:
            return
        block = zlib.compress(SEPARATOR.join(self.tail), COMPRESSION_LEVEL)
        self.blocks.append(block)
        self.n_bytes += len(block)
        self.tail = []

    def events(self) -> list[bytes]:
        """Return all events."""
        events: list[bytes] = []
        for block in self.blocks:
            events += zlib.decompress(block).split(SEPARATOR)
        return events + self.tail

    def events_after(self, n_tokens: int) -> list[bytes]:
        """Return the events after the token event numbered ``n_tokens``.

        Returns all events if the journal has no such token event.
        """
        if n_tokens <= 0:
            return self.events()
        events = self.events()
        marker = b":%d\n" % n_tokens
        for index in range(len(events) - 1, -1, -1):
            head = events[index][: events[index].find(b"\n") + 1]
            if head.endswith(marker):
                return events[index + 1 :]
        return events

    def is_ended(self) -> bool:
        """Return whether the last event is the end event."""
        return (
            bool(self.tail) and self.tail[-1] == END_EVENT
        ) or self._last_block_is_ended()

    def _last_block_is_ended(self) -> bool:
        if self.tail or not self.blocks:
            return False
        return zlib.decompress(self.blocks[-1]).endswith(END_EVENT)

    def chunks(self) -> list[dict[str, Any]]:
        """Return the decoded JSON of all events except the end event."""
        return [chunk for chunk in map(parse_event, self.events()) if chunk]

    def text(self) -> str:
        """Return the answer's text so far."""
        return "".join(text_of_chunk(chunk) for chunk in self.chunks())


def parse_event(event: bytes) -> dict[str, Any]:
    """Return the decoded data of an event, empty for the end event and comments."""
    start = event.find(DATA_PREFIX)
    if start < 0 or event.endswith(END_EVENT):
        return {}
    return msgspec.json.decode(event[start + len(DATA_PREFIX) :])


def text_of_chunk(chunk: dict[str, Any]) -> str:
    """Return the text that a chat completion chunk adds."""
    choices = chunk.get("choices") or ()
    if not choices:
        return ""
    return choices[0].get("delta", {}).get("content") or ""
