"""Follows the newest record of each key of a topic, ignoring stale answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from lagoonring.platform.log import LogTruncatedError, generation_of
from lagoonring.platform.store import KeyedRecord

if TYPE_CHECKING:
    from lagoonring.platform.store import Snapshot


class KeyedLog(Protocol):
    """A topic that retains the newest record of each key."""

    async def read(
        self, offset: int, *, wait_s: float
    ) -> tuple[list[KeyedRecord], int]:
        """Return records from an offset on, and the next offset to read."""

    async def read_newest(self) -> Snapshot:
        """Return the newest record of each key."""


class KeyedFeed:
    """Reads the changes since the last call, or all keys if the log was truncated.

    Parameters
    ----------
    log : KeyedLog
        Source of the records.

    Attributes
    ----------
    n_reads : int
        Reads of changes so far; 0 until the initial snapshot was read.
    unconfirmed : set of str
        Keys that were missing as the log returned from an older copy. Their writers
        may not have written them again yet.
    """

    def __init__(self, log: KeyedLog) -> None:
        self.log = log
        self.offset: int | None = None
        self.offsets: dict[str, int] = {}
        self.n_reads = 0
        self.unconfirmed: set[str] = set()

    async def poll(self, *, wait_s: float = 0.0) -> list[KeyedRecord]:
        """Return the newest record of each key that changed.

        Errors of the log are raised; the next call continues at the same offset.
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

    def apply_page(
        self, records: list[KeyedRecord], next_offset: int
    ) -> list[KeyedRecord]:
        """Apply records that another instance read; return those that are new here."""
        if self.offset is None or next_offset < self.offset:
            return []
        self.offset = next_offset
        return self._accept(records)

    def remove_unconfirmed(self) -> list[KeyedRecord]:
        """Return the keys that are still missing as removed."""
        assert self.offset is not None
        removed = [KeyedRecord(key, None, self.offset) for key in self.unconfirmed]
        self.unconfirmed.clear()
        for record in removed:
            self.offsets.pop(record.key, None)
        return removed

    async def _reload(self) -> list[KeyedRecord]:
        """Read all keys, and report missing ones as removed."""
        snapshot = await self.log.read_newest()
        if self.offset is not None and snapshot.end < self.offset:
            return []  # a stale snapshot, older than the records already read
        is_restored = self.offset is not None and (
            generation_of(snapshot.end) > generation_of(self.offset)
        )
        self.offset = snapshot.end
        missing = self.offsets.keys() - {record.key for record in snapshot.records}
        removed = []
        if is_restored:
            self.unconfirmed = set(missing)
        else:
            removed = [KeyedRecord(key, None, snapshot.end) for key in missing]
        return self._accept([*snapshot.records, *removed])

    def _accept(self, records: list[KeyedRecord]) -> list[KeyedRecord]:
        newest: dict[str, KeyedRecord] = {}
        for record in records:
            if record.offset > self.offsets.get(record.key, -1):
                newest[record.key] = record
                self.unconfirmed.discard(record.key)
                self.offsets[record.key] = record.offset
                if record.value is None:
                    del self.offsets[record.key]
        return list(newest.values())
