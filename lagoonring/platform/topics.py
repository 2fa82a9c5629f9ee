"""Keyed topics of the platform's store, read through the store's only client."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.platform.store import KeyedRecord, StoreClient, decode_keyed_record

if TYPE_CHECKING:
    from lagoonring.platform.store import Snapshot


@attrs.frozen
class KeyedTopic:
    """A keyed topic; implements `lagoonring.serving.feeds.KeyedLog`."""

    client: StoreClient
    topic: str

    async def read(
        self, offset: int, *, wait_s: float = 0.0
    ) -> tuple[list[KeyedRecord], int]:
        """Return records from an offset on, and the next offset to read."""
        page = await self.client.read(self.topic, offset, wait_s=wait_s)
        records = [
            decode_keyed_record(record, page.offset + index)
            for index, record in enumerate(page.records)
        ]
        return records, page.offset + len(records)

    async def read_newest(self) -> Snapshot:
        """Return the newest record of each key."""
        return await self.client.read_newest(self.topic)
