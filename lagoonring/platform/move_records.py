"""Keeps the statuses and the ends of moves in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
import xxhash

from lagoonring.decoding import DECODE_ERRORS
from lagoonring.logs import make_logger
from lagoonring.platform import documents
from lagoonring.platform.store import STATUS_TOPIC, StoreClient, encode_keyed_record
from lagoonring.serving.move_reports import MoveEnd

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lagoonring.serving.moves import MoveState

TOPIC = "keyed.lagoonring-moves"

logger = make_logger("moves")


@attrs.frozen
class StoredMoves:
    """Implements `lagoonring.serving.move_reports.MoveRecords` in the store."""

    store: StoreClient

    async def write_status(self, service: str, target: str, state: MoveState) -> None:
        """Replace the status of a service's move, which operators read."""
        value = documents.encode_move_status(target, state)
        await self.store.append_keyed(STATUS_TOPIC, documents.move_key(service), value)

    async def read_statuses(self) -> dict[str, tuple[str, MoveState]]:
        """Return the target and state last written, by service."""
        snapshot = await self.store.read_newest(STATUS_TOPIC)
        statuses = {}
        for record in snapshot.records:
            service = documents.moved_service(record.key)
            if not service or record.value is None:
                continue
            try:
                statuses[service] = documents.decode_move_status(record.value)
            except documents.UnreadableDocumentError as error:
                logger.warning(
                    "Could not decode the status of a move.",
                    extra={"service": service, "error": str(error)},
                )
        return statuses

    async def write_end(self, end: MoveEnd, older: Sequence[MoveEnd]) -> None:
        """Record an end, and drop older ones of the service."""
        records = [encode_keyed_record(_key(one), b"") for one in older]
        records.append(encode_keyed_record(_key(end), msgspec.json.encode(end)))
        await self.store.append(TOPIC, records)

    async def read_ends(self) -> list[MoveEnd]:
        """Return all ends that can be decoded."""
        snapshot = await self.store.read_newest(TOPIC)
        ends = []
        for record in snapshot.records:
            try:
                ends.append(msgspec.json.decode(record.value or b"", type=MoveEnd))
            except DECODE_ERRORS as error:
                logger.warning(
                    "Could not decode the end of a move.", extra={"error": str(error)}
                )
        return ends


def _key(end: MoveEnd) -> str:
    # Hashed, since a key is limited to 255 bytes.
    return f"{xxhash.xxh64_hexdigest(end.service.encode())}@{end.offset}"
