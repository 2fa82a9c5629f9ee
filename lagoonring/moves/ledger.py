"""State of each move, folded from the records of the stream ``moves``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from lagoonring.logs import make_logger
from lagoonring.moves.messages import MoveRecord

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_FINAL_RECORDS = 64

logger = make_logger("moves")


@attrs.frozen
class StoredRecord:
    """A record and its offset in the stream."""

    offset: int
    record: MoveRecord


class MoveLedger:
    """The newest record of each move; the oldest completed moves are dropped.

    Parameters
    ----------
    on_record : callable
        Called with offset and record when a record comes into force.
    """

    def __init__(self, on_record: Callable[[int, MoveRecord], None]) -> None:
        self.on_record = on_record
        self.stored: dict[str, StoredRecord] = {}
        self.n_since_snapshot = 0

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Apply a record that was appended under a valid lease."""
        try:
            record = msgspec.json.decode(payload, type=MoveRecord)
        except msgspec.MsgspecError as error:
            logger.error("Skipped an unreadable record at offset {}: {}", offset, error)
            return
        self.n_since_snapshot += 1
        previous = self.stored.get(record.key)
        if previous is not None and not _supersedes(record, previous.record):
            return
        self._store(offset, record)

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Replace the state by a snapshot."""
        self.stored.clear()
        self.n_since_snapshot = 0
        for part in parts:
            for stored in msgspec.json.decode(part, type=list[StoredRecord]):
                self._store(stored.offset, stored.record)

    def get_parts(self) -> list[list[StoredRecord]]:
        """Return the state as the parts of a snapshot."""
        return [list(self.stored.values())]

    def get(self, key: str) -> MoveRecord | None:
        """Return the record in force for a move."""
        stored = self.stored.get(key)
        return stored.record if stored else None

    def find_active(self, entry: str) -> MoveRecord | None:
        """Return the unfinished move of an entry, if there is one."""
        for stored in self.stored.values():
            if stored.record.entry == entry and not stored.record.is_done:
                return stored.record
        return None

    def _store(self, offset: int, record: MoveRecord) -> None:
        self.stored.pop(record.key, None)
        self.stored[record.key] = StoredRecord(offset, record)
        final = [key for key, stored in self.stored.items() if stored.record.is_done]
        for key in final[:-MAX_FINAL_RECORDS]:
            del self.stored[key]
        self.on_record(offset, record)


def _supersedes(record: MoveRecord, previous: MoveRecord) -> bool:
    """Return whether a record replaces the previous one.

    A record may have been appended twice because the answer to the first append was
    lost; the first one counts. A final phase is only followed by its clean-up, and
    an undo can't be reversed.
    """
    if previous.is_final:
        return record.phase == previous.phase and record.step > previous.step
    if previous.phase == "undoing" and record.phase != "undone":
        return False
    if previous.phase == "finishing" and record.phase not in ("finished", "undoing"):
        return False
    return (record.phase, record.step) != (previous.phase, previous.step)
