"""Keeps counts of usage in the platform's store until they are reported."""

from __future__ import annotations

import attrs
import msgspec

from lagoonring.logs import make_logger
from lagoonring.platform.store import StoreClient
from lagoonring.serving.usage import UsageRow

TOPIC = "keyed.lagoonring-usage"
N_SLOTS = 4  # windows take turns in as many keys, so that the topic stays small

logger = make_logger("usage")


@attrs.frozen
class _Saved:
    window: int
    rows: list[UsageRow]


@attrs.frozen
class StoredUsage:
    """See `lagoonring.serving.reporting.SavedUsage`."""

    store: StoreClient

    async def write(self, window: int, rows: list[UsageRow]) -> None:
        """Keep a window's counts in place of those kept before."""
        value = msgspec.msgpack.encode(_Saved(window, rows))
        await self.store.append_keyed(TOPIC, str(window % N_SLOTS), value)

    async def read(self) -> dict[int, list[UsageRow]]:
        """Return the counts of the windows kept."""
        snapshot = await self.store.read_newest(TOPIC)
        found = {}
        for record in snapshot.records:
            try:
                saved = msgspec.msgpack.decode(record.value or b"", type=_Saved)
            except msgspec.MsgspecError as error:
                logger.warning(
                    "Saved usage can't be read.", extra={"error": str(error)}
                )
                continue
            found[saved.window] = saved.rows
        return found
