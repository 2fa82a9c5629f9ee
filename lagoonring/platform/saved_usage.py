"""Saves usage counts in the platform's store until they are reported."""

from __future__ import annotations

import attrs
import msgspec

from lagoonring.decoding import DECODE_ERRORS
from lagoonring.logs import make_logger
from lagoonring.platform.store import StoreClient
from lagoonring.serving.usage import UsageRow

TOPIC = "keyed.lagoonring-usage"
N_KEYS = 4  # windows reuse the keys in turn, which bounds the topic's size

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
        """Return the counts of all saved windows that can be decoded."""
        snapshot = await self.store.read_newest(TOPIC)
        found = {}
        for record in snapshot.records:
            try:
                saved = msgspec.msgpack.decode(record.value or b"", type=_SavedWindow)
            except DECODE_ERRORS as error:
                logger.warning(
                    "Could not decode saved usage.", extra={"error": str(error)}
                )
                continue
            found[saved.window] = saved.rows
        return found
