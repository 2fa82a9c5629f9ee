"""Saves usage counts in the platform's store until they are reported."""

from __future__ import annotations

import attrs
import msgspec

from lagoonring.decoding import DECODE_ERRORS
from lagoonring.logs import make_logger
from lagoonring.platform.log import (
    LogTruncatedError,
    assigned_offset,
    generation_of,
    make_offset,
)
from lagoonring.platform.store import StoreClient, decode_keyed_record
from lagoonring.serving.usage import UsageRow, merge_rows

TOPIC = "keyed.lagoonring-usage"
N_KEYS = 4  # windows reuse the keys in turn, which bounds the topic's size
N_LATE_RECORDS = 24  # two are saved a second, and executed up to some seconds late

logger = make_logger("usage")


@attrs.frozen
class _SavedWindow:
    window: int
    rows: list[UsageRow]


@attrs.frozen
class StoredUsage:
    """Implements `lagoonring.serving.reporting.SavedUsage` in the store."""

    store: StoreClient

    async def write(self, window: int, rows: list[UsageRow]) -> None:
        """Save a window's counts, replacing those saved before under its key."""
        value = msgspec.msgpack.encode(_SavedWindow(window, rows))
        await self.store.append_keyed(TOPIC, str(window % N_KEYS), value)

    async def read(self) -> dict[int, list[UsageRow]]:
        """Return the counts of all saved windows that can be decoded.

        The newest record of a key may be an earlier save whose answer was lost and that
        the store executed late, so the records before it are read as well.
        """
        snapshot = await self.store.read_newest(TOPIC)
        values = [record.value for record in snapshot.records]
        values += await self._read_before(snapshot.end)
        found: dict[int, list[UsageRow]] = {}
        for value in values:
            try:
                saved = msgspec.msgpack.decode(value or b"", type=_SavedWindow)
            except DECODE_ERRORS as error:
                logger.warning(
                    "Could not decode saved usage.", extra={"error": str(error)}
                )
                continue
            found.setdefault(saved.window, []).extend(saved.rows)
        return {window: merge_rows(rows) for window, rows in found.items()}

    async def _read_before(self, end: int) -> list[bytes | None]:
        """Return the values of the last records before an offset that are retained."""
        offset = make_offset(
            generation_of(end), max(assigned_offset(end) - N_LATE_RECORDS, 0)
        )
        values: list[bytes | None] = []
        while offset < end:
            try:
                page = await self.store.read(TOPIC, offset)
            except LogTruncatedError as error:
                if error.first_offset <= offset:
                    break
                offset = error.first_offset
                continue
            values += [decode_keyed_record(raw, 0).value for raw in page.records]
            if not page.records:
                break
            offset = page.offset + len(page.records)
        return values
