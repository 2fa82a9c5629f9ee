"""The platform's store as the log that leases and other parts write to."""

from __future__ import annotations

import struct

import attrs

from lagoonring.kernel import Clock
from lagoonring.platform.exchange import (
    PlatformAnswerLostError,
    PlatformRejectedError,
    PlatformUnavailableError,
)
from lagoonring.platform.log import (
    READ_LIMIT,
    LogAnswerLostError,
    LogUnavailableError,
    Page,
    Record,
)
from lagoonring.platform.store import StoreClient

# The store keeps no times: each record begins with its writer's wall clock.
TIME_MS = struct.Struct(">Q")


@attrs.frozen
class StoreLog:
    """A topic per stream; see `lagoonring.platform.log.Log`."""

    client: StoreClient
    clock: Clock

    async def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset.

        Raises
        ------
        LogUnavailableError
            If the record was not appended.
        LogAnswerLostError
            If it may have been, or may be later.
        """
        record = TIME_MS.pack(int(self.clock.time() * 1000)) + data.encode()
        try:
            return await self.client.append(stream, [record])
        except PlatformAnswerLostError as error:
            raise LogAnswerLostError(error.message, remedy=error.remedy) from error
        except (PlatformUnavailableError, PlatformRejectedError) as error:
            raise LogUnavailableError(error.message, remedy=error.remedy) from error

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = READ_LIMIT,
        wait_s: float = 0.0,
    ) -> Page:
        """Return records from an offset on.

        Raises
        ------
        LogTruncatedError
            If the store has forgotten ``from_offset``.
        LogUnavailableError
            If the store did not answer.
        """
        try:
            page = await self.client.read(stream, from_offset, wait_s=wait_s)
        except (PlatformUnavailableError, PlatformRejectedError) as error:
            raise LogUnavailableError(error.message, remedy=error.remedy) from error
        records = [
            _decode(from_offset + index, content)
            for index, content in enumerate(page.records[:limit])
        ]
        return Page(records, page.first, max(page.end, from_offset))


def _decode(offset: int, content: bytes) -> Record:
    if len(content) < TIME_MS.size:
        return Record(offset, 0.0, "")
    (time_ms,) = TIME_MS.unpack_from(content)
    data = content[TIME_MS.size :].decode(errors="replace")
    return Record(offset, time_ms / 1000, data)
