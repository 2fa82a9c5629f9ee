"""Table of the claims of one slot, built from its stream.

A row is a key's digest and 37 packed bytes; answers stay in the log and are
read by offset. Rows expire by the log's clock, so that all readers agree.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import attrs
import msgspec

from lagoonring.claims.keys import KEY_BYTES
from lagoonring.claims.records import ClaimBatch, ClaimItem, Status, TablePart
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from collections.abc import Iterator

GRANTED, FINISHED, RELEASED = range(3)
ROW_FORMAT = struct.Struct("<B8s8sdqHH")
NO_FINGERPRINT = bytes(8)
N_ROWS_PER_PART = 8000

logger = make_logger("claims")


@attrs.frozen
class Row:
    """State of a key.

    ``offset`` and ``index`` locate the finish item in the stream; ``http_status``
    is the status of the recorded answer.
    """

    state: int
    claim: bytes
    fingerprint: bytes
    time_s: float
    offset: int = -1
    index: int = 0
    http_status: int = 0


@attrs.frozen
class Outcome:
    """Result of an item; ``row`` is the row of its key afterwards."""

    status: Status
    row: Row | None = None
    changes: bool = False


class ClaimTable:
    """Applies the data records of a slot; implements ``leases.GuardedData``.

    Parameters
    ----------
    window_s : float
        Time for which a key is retained.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.rows: dict[bytes, bytes] = {}
        self.now_s = 0.0
        self.n_records = 0
        self.watched: dict[str, list[Outcome] | None] = {}

    def find(self, key: bytes) -> Row | None:
        """Return the row of a key, or None."""
        packed = self.rows.get(key)
        return None if packed is None else Row(*ROW_FORMAT.unpack(packed))

    def evaluate(self, item: ClaimItem) -> Outcome:
        """Return the outcome that an item would have now, without applying it."""
        row = self.find(item.key)
        if item.kind == "claim":
            return _evaluate_claim(row, item, self.now_s)
        if item.kind == "finish":
            return _evaluate_finish(row, item, self.now_s)
        return _evaluate_release(row, item, self.now_s)

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Apply a batch from the log, and record its outcomes if it is watched."""
        self.n_records += 1
        self.now_s = max(self.now_s, time_s)
        self._expire()
        try:
            batch = msgspec.json.decode(payload, type=ClaimBatch)
        except msgspec.MsgspecError as error:
            logger.warning(
                "Skipped the undecodable batch at offset {}: {}.", offset, error
            )
            return
        outcomes = [
            self._apply(item, offset, index) for index, item in enumerate(batch.items)
        ]
        if self.watched.get(batch.batch_id, ()) is None:
            self.watched[batch.batch_id] = outcomes

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Replace all rows with those of a snapshot."""
        self.rows = {}
        self.n_records = 0
        size = KEY_BYTES + ROW_FORMAT.size
        for data in parts:
            part = msgspec.json.decode(data, type=TablePart)
            self.now_s = part.now_s
            for start in range(0, len(part.rows), size):
                key = part.rows[start : start + KEY_BYTES]
                self.rows[key] = part.rows[start + KEY_BYTES : start + size]

    def make_parts(self) -> list[TablePart]:
        """Return all rows as parts of a snapshot."""
        self.n_records = 0
        return [
            TablePart(now_s=self.now_s, rows=rows) for rows in self._pack_parts()
        ] or [TablePart(now_s=self.now_s, rows=b"")]

    def count_states(self) -> dict[str, int]:
        """Return the number of rows by state."""
        counts = [0, 0, 0]
        for packed in self.rows.values():
            counts[packed[0]] += 1
        return dict(zip(("granted", "finished", "released"), counts, strict=True))

    def _pack_parts(self) -> Iterator[bytes]:
        items = [key + packed for key, packed in self.rows.items()]
        for start in range(0, len(items), N_ROWS_PER_PART):
            yield b"".join(items[start : start + N_ROWS_PER_PART])

    def _apply(self, item: ClaimItem, offset: int, index: int) -> Outcome:
        outcome = self.evaluate(item)
        if not outcome.changes or outcome.row is None:
            return outcome
        row = outcome.row
        if item.kind == "finish":
            http_status = item.answer.status if item.answer else 0
            row = attrs.evolve(row, offset=offset, index=index, http_status=http_status)
        old = self.find(item.key)
        if old is not None and old.time_s != row.time_s:
            del self.rows[item.key]
        self.rows[item.key] = ROW_FORMAT.pack(*attrs.astuple(row))
        return attrs.evolve(outcome, row=row)

    def _expire(self) -> None:
        while self.rows:
            key = next(iter(self.rows))
            row = self.find(key)
            if row is None or row.time_s >= self.now_s - self.window_s:
                return
            del self.rows[key]


def _evaluate_claim(row: Row | None, item: ClaimItem, now_s: float) -> Outcome:
    granted = Row(GRANTED, item.claim, item.fingerprint, now_s)
    if row is None:
        return Outcome("granted", granted, changes=True)
    if row.state == RELEASED:
        if row.claim == item.claim:
            return Outcome("barred", row)
        return Outcome("granted", granted, changes=True)
    if row.fingerprint not in (item.fingerprint, NO_FINGERPRINT):
        return Outcome("key_reused", row)
    if row.state == FINISHED:
        return Outcome("finished", row)
    if row.claim == item.claim:
        return Outcome("granted", row)
    return Outcome("in_progress", row)


def _evaluate_finish(row: Row | None, item: ClaimItem, now_s: float) -> Outcome:
    if row is None:
        row = Row(FINISHED, item.claim, item.fingerprint, now_s)
        return Outcome("done", row, changes=True)
    if row.claim != item.claim:
        return Outcome("ignored", row)
    if row.state == FINISHED:
        return Outcome("done", row)
    return Outcome("done", attrs.evolve(row, state=FINISHED), changes=True)


def _evaluate_release(row: Row | None, item: ClaimItem, now_s: float) -> Outcome:
    if row is None:
        row = Row(RELEASED, item.claim, item.fingerprint, now_s)
        return Outcome("done", row, changes=True)
    if row.claim != item.claim or row.state == FINISHED:
        return Outcome("ignored", row)
    if row.state == RELEASED:
        return Outcome("done", row)
    return Outcome("done", attrs.evolve(row, state=RELEASED), changes=True)
