"""Topics of the store, and followers that read them."""

from __future__ import annotations

import attrs
from prometheus_client import CollectorRegistry

from lagoonring.errors import InvalidInputError
from lagoonring.kernel import Application, ManualClock
from lagoonring.platform.log import (
    LogTruncatedError,
    assigned_offset,
    generation_of,
    make_offset,
)
from lagoonring.platform.store import KeyedRecord, Snapshot
from lagoonring.serving.endpoints import EndpointTable
from lagoonring.serving.follower import Follower
from lagoonring.serving.metrics import ServingMetrics
from lagoonring.serving.relay import StoreRelay
from lagoonring.serving.settings import Bounds

FAULTY = b"faulty"


class ScriptedTopic:
    """Returns one scripted page per read, or raises it if it is an error."""

    def __init__(self):
        self.pages = []
        self.offset = 0

    async def read_newest(self):
        return self.newest

    async def read(self, offset, *, wait_s):
        page = self.pages.pop(0)
        if isinstance(page, Exception):
            raise page
        return page, offset + len(page)


@attrs.define
class MemoryTopic:
    """Can truncate its history, return stale answers, and return from an older copy."""

    records: list = attrs.field(factory=list)
    first: int = 0
    stale_end: int | None = None
    generation: int = 0

    def write(self, key, value):
        self.records.append((key, value))

    def return_older(self, n_lost):
        """Lose the newest records and begin a generation."""
        del self.records[len(self.records) - n_lost :]
        self.generation += 1

    async def read(self, offset, *, wait_s):
        assigned = assigned_offset(offset)
        if generation_of(offset) != self.generation or assigned < self.first:
            first = make_offset(self.generation, self.first)
            raise LogTruncatedError("topic", offset, first)
        records = self._seen()[assigned:]
        return records, offset + len(records)

    async def read_newest(self):
        seen = self._seen()
        newest = {record.key: record for record in seen}
        kept = [record for record in newest.values() if record.value is not None]
        return Snapshot(kept, make_offset(self.generation, len(seen)))

    def _seen(self):
        return [
            KeyedRecord(key, value, make_offset(self.generation, number))
            for number, (key, value) in enumerate(self.records[: self.stale_end])
        ]


class QuietExchange:
    """An exchange without other instances."""

    def __init__(self, *, n_peers=0, is_here=False):
        self.handlers = {}
        self.settings = type("Settings", (), {"instance": "a"})
        self.n_peers = n_peers
        self.is_here = is_here

    def is_hub(self):
        return self.is_here

    def local_peers(self):
        return [f"10.0.0.{number}:1" for number in range(self.n_peers)]

    def send_to_local_peers(self, content):
        raise AssertionError("got a message, expected no local peers")


def make_follower(documents, make_topic=ScriptedTopic):
    """Return a follower; ``documents`` maps contents to what they are decoded to."""

    def read(key, value):
        if value == FAULTY:
            raise InvalidInputError("faulty")
        if value is None:
            return documents.get((key, None))
        return documents[value]

    app = Application(clock=ManualClock())
    return Follower(
        app,
        EndpointTable(),
        ServingMetrics(CollectorRegistry()),
        documents=make_topic(),
        records=make_topic(),
        read_document=read,
        read_record=read,
        relay=StoreRelay(app.clock, QuietExchange(), app.rng, change_s=2.0),
        bounds=Bounds(),
    )


def add_document(documents, content):
    """Return content that is decoded to the given document."""
    value = str(len(documents)).encode()
    documents[value] = content
    return value
