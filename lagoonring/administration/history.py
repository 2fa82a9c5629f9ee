"""History of the catalogue, read from the edits retained in the log."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lagoonring.administration.messages import EditView
from lagoonring.catalogue.edits import STREAM, decode_record
from lagoonring.catalogue.state_machine import CatalogueState, fold, restore_snapshot
from lagoonring.platform import LogTruncatedError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from lagoonring.catalogue.edits import ConfigRecord
    from lagoonring.platform import Log, Record


async def read_history(log: Log, *, limit: int) -> list[EditView]:
    """Return the newest edits and their verdicts, oldest first.

    If the log is truncated, the state is restored from the first snapshot retained,
    and later edits are evaluated from there.
    """
    edits: deque[EditView] = deque(maxlen=limit)
    state = CatalogueState()
    async for record in _read_all(log):
        content = decode_record(record.data)
        if content is None:
            continue
        if content.snapshot and content.snapshot.next_offset > state.next_offset:
            state = restore_snapshot(content.snapshot)
        if record.offset < state.next_offset:
            continue
        state, verdict = fold(state, content, record.offset)
        if content.edit is not None:
            edits.append(_make_view(record, content, verdict.status))
    return list(edits)


async def _read_all(log: Log) -> AsyncIterator[Record]:
    offset = 0
    while True:
        try:
            page = await log.read(STREAM, offset)
        except LogTruncatedError as error:
            offset = error.first_offset
            continue
        for record in page.records:
            yield record
        offset += len(page.records)
        if not page.records or offset >= page.next_offset:
            return


def _make_view(record: Record, content: ConfigRecord, status: str) -> EditView:
    edit = content.edit
    assert edit is not None
    return EditView(
        revision=record.offset,
        time_s=record.time_s,
        author=edit.author,
        status=status,
        items=[change.path for change in edit.changes],
        note=edit.note,
    )
