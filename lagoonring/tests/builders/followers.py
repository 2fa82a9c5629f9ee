"""Followers of topics of a store that can return from an older copy."""

from __future__ import annotations

from typing import Any

import attrs
from prometheus_client import CollectorRegistry

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


@attrs.define
class ReturningTopic:
    """An in-memory keyed topic."""

    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    generation: int = 0

    def write(self, key: str, value: bytes) -> None:
        """Append a record."""
        self.records.append((key, value))

    def return_older(self, n_lost: int) -> None:
        """Lose the newest records and begin a generation."""
        del self.records[len(self.records) - n_lost :]
        self.generation += 1

    async def read(
        self, offset: int, *, wait_s: float
    ) -> tuple[list[KeyedRecord], int]:
        """Return records from an offset on, and the next offset to read."""
        if generation_of(offset) != self.generation:
            raise LogTruncatedError("topic", offset, make_offset(self.generation, 0))
        records = self._kept()[assigned_offset(offset) :]
        return records, offset + len(records)

    async def read_newest(self) -> Snapshot:
        """Return the newest record of each key."""
        newest = {record.key: record for record in self._kept()}
        end = make_offset(self.generation, len(self.records))
        return Snapshot(list(newest.values()), end)

    def _kept(self) -> list[KeyedRecord]:
        return [
            KeyedRecord(key, value, make_offset(self.generation, number))
            for number, (key, value) in enumerate(self.records)
        ]


class QuietExchange:
    """An exchange without other instances."""

    address = "a"

    def __init__(self) -> None:
        self.handlers: dict[int, Any] = {}

    def is_hub(self) -> bool:
        """Return True."""
        return True

    def local_peers(self) -> list[str]:
        """Return no addresses."""
        return []


def make_follower() -> tuple[Follower, dict[bytes, Any]]:
    """Return a follower, and the documents by the content that stands for them."""
    documents: dict[bytes, Any] = {}
    app = Application(clock=ManualClock())
    follower = Follower(
        app,
        EndpointTable(),
        ServingMetrics(CollectorRegistry()),
        documents=ReturningTopic(),
        records=ReturningTopic(),
        read_document=lambda key, value: documents[value],
        read_record=lambda key, value: documents[value],
        relay=StoreRelay(app.clock, QuietExchange(), app.rng, change_s=2.0),
        bounds=Bounds(),
    )
    return follower, documents


def add_document(documents: dict[bytes, Any], content: Any) -> bytes:
    """Return content that is decoded to the given document."""
    value = str(len(documents)).encode()
    documents[value] = content
    return value
