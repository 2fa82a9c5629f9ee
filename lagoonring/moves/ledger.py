"""Folds the records of the stream ``moves`` into the state of each move."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from lagoonring.logs import make_logger
from lagoonring.moves.messages import MoveRecord

if TYPE_CHECKING:
    from collections.abc import Callable

N_FINAL_KEPT = 64

logger = make_logger("moves")


@attrs.frozen
class KeptRecord:
    """A record and the offset that it had in the stream."""

    offset: int
    record: MoveRecord


class MoveLedger:
    """The newest record of each move; old final ones are dropped.

    Parameters
    ----------
    on_record : callable
        Called with offset and record when a record comes into force.
    """

    def __init__(self, on_record: Callable[[int, MoveRecord], None]) -> None:
        self.on_record = on_record
        self.kept: dict[str, KeptRecord] = {}
        self.n_since_snapshot = 0

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Fold a record that counts."""
        try:
            record = msgspec.json.decode(payload, type=MoveRecord)
        except msgspec.MsgspecError as error:
            logger.error("Skipped a record at {}: {}", offset, error)
            return
        self.n_since_snapshot += 1
        before = self.kept.get(record.key)
        if before is not None and not _comes_after(record, before.record):
            return
        self._keep(offset, record)

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Replace everything by a snapshot."""
        self.kept.clear()
        self.n_since_snapshot = 0
        for part in parts:
            for kept in msgspec.json.decode(part, type=list[KeptRecord]):
                self._keep(kept.offset, kept.record)

    def get_parts(self) -> list[list[KeptRecord]]:
        """Return everything, as the parts of a snapshot."""
        return [list(self.kept.values())]

    def get(self, key: str) -> MoveRecord | None:
        """Return the record in force for a move."""
        kept = self.kept.get(key)
        return kept.record if kept else None

    def find_active(self, entry: str) -> MoveRecord | None:
        """Return the move of an entry that is not done, if there is one."""
        for kept in self.kept.values():
            if kept.record.entry == entry and not kept.record.is_done:
                return kept.record
        return None

    def _keep(self, offset: int, record: MoveRecord) -> None:
        self.kept.pop(record.key, None)
        self.kept[record.key] = KeptRecord(offset, record)
        final = [key for key, kept in self.kept.items() if kept.record.is_done]
        for key in final[:-N_FINAL_KEPT]:
            del self.kept[key]
        self.on_record(offset, record)


def _comes_after(record: MoveRecord, before: MoveRecord) -> bool:
    """Return whether a record changes anything.

    A record whose answer was lost may have been appended twice; the first
    counts. Only the clean-up follows a final phase, and an undo is not taken
    back.
    """
    if before.is_final:
        return record.phase == before.phase and record.step > before.step
    if before.phase == "undoing" and record.phase != "undone":
        return False
    if before.phase == "finishing" and record.phase not in ("finished", "undoing"):
        return False
    return (record.phase, record.step) != (before.phase, before.step)
