"""Follows the newest record of each key of a topic, and never goes back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from lagoonring.platform.log import LogTruncatedError
from lagoonring.platform.store import KeyedRecord

if TYPE_CHECKING:
    from lagoonring.platform.store import Snapshot


class KeyedLog(Protocol):
    """A topic whose newest record of each key is kept."""

    async def read(
        self, offset: int, *, wait_s: float
    ) -> tuple[list[KeyedRecord], int]:
        """Return records from an offset on, and the offset after them."""

    async def read_newest(self) -> Snapshot:
        """Return the newest record of each key."""


class KeyedFeed:
    """Reads changes since the last call; starts anew where history is missing.

    Parameters
    ----------
    log : KeyedLog
        Where the records are.

    Attributes
    ----------
    n_reads : int
        Reads of changes since the start; 0 while only the first keys were read.
    """

    def __init__(self, log: KeyedLog) -> None:
        self.log = log
        self.offset: int | None = None
        self.offsets: dict[str, int] = {}
        self.n_reads = 0

    async def poll(self, *, wait_s: float = 0.0) -> list[KeyedRecord]:
        """Return the newest record of each key that changed.

        Errors are those of the log; the next call goes on from the same place.
        """
        if self.offset is None:
            return await self._reload()
        self.n_reads += 1
        try:
            records, next_offset = await self.log.read(self.offset, wait_s=wait_s)
        except LogTruncatedError:
            return await self._reload()
        self.offset = max(self.offset, next_offset)
        return self._accept(records)

    def take_page(
        self, records: list[KeyedRecord], next_offset: int
    ) -> list[KeyedRecord]:
        """Take in records that another instance read; return what changed here."""
        if self.offset is None or next_offset < self.offset:
            return []
        self.offset = next_offset
        return self._accept(records)

    async def _reload(self) -> list[KeyedRecord]:
        """Read all keys; those that are gone come as removed."""
        snapshot = await self.log.read_newest()
        if self.offset is not None and snapshot.end < self.offset:
            return []  # an answer from before what was read already
        self.offset = snapshot.end
        present = {record.key for record in snapshot.records}
        removed = [
            KeyedRecord(key, None, snapshot.end)
            for key in self.offsets
            if key not in present
        ]
        return self._accept([*snapshot.records, *removed])

    def _accept(self, records: list[KeyedRecord]) -> list[KeyedRecord]:
        newest: dict[str, KeyedRecord] = {}
        for record in records:
            if record.offset > self.offsets.get(record.key, -1):
                newest[record.key] = record
                self.offsets[record.key] = record.offset
                if record.value is None:
                    del self.offsets[record.key]
        return list(newest.values())
