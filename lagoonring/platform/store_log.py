"""The log client, which stores each stream as a topic of the platform's store."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from lagoonring.kernel.clock import Clock
from lagoonring.platform.exchange import (
    PlatformAnswerLostError,
    PlatformRejectedError,
    PlatformUnavailableError,
)
from lagoonring.platform.log import (
    MAX_PAGE_RECORDS,
    RECORD_LIMIT_BYTES,
    LogAnswerLostError,
    LogUnavailableError,
    Page,
    Record,
    RecordTooLargeError,
)
from lagoonring.platform.store import StoreClient

if TYPE_CHECKING:
    import aiohttp

TIMEOUT_S = 3.0  # above the log's usual latency; callers retry idempotent calls
RETRY_AFTER_S = 1.0
# The store has no timestamps: each record begins with its writer's wall-clock time.
TIMESTAMP_MS = struct.Struct(">Q")


class LogClient:
    """Implements `lagoonring.platform.log.Log` with a topic of the store per stream.

    Parameters
    ----------
    url : str
        Root URL of the store.
    session : aiohttp.ClientSession
        Owned by the caller.
    clock : Clock or None
        Source of the records' timestamps.
    timeout_s : float
        Timeout of a call, in addition to the time that it waits for records.
    """

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        *,
        clock: Clock | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self.client = StoreClient(url, session, timeout_s=timeout_s)
        self.clock = clock or Clock()

    async def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset.

        Raises
        ------
        LogUnavailableError
            If the record was not appended.
        LogAnswerLostError
            If it may have been, or may still be; read the stream to find out, by an
            id in the record.
        RecordTooLargeError
            If it exceeds the log's size limit.
        """
        content = data.encode()
        if len(content) > RECORD_LIMIT_BYTES:
            raise RecordTooLargeError(
                f"Got a record of {len(content)} bytes, "
                f"expected at most {RECORD_LIMIT_BYTES}.",
                remedy="Split it into several records.",
            )
        record = encode_record(content, self.clock.time())
        try:
            return await self.client.append(stream, [record])
        except PlatformAnswerLostError as error:
            raise LogAnswerLostError(
                error.message, remedy=error.remedy, retry_after_s=RETRY_AFTER_S
            ) from error
        except (PlatformUnavailableError, PlatformRejectedError) as error:
            raise LogUnavailableError(
                error.message, remedy=error.remedy, retry_after_s=RETRY_AFTER_S
            ) from error

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = MAX_PAGE_RECORDS,
        wait_s: float = 0.0,
    ) -> Page:
        """Return records from an offset on.

        Raises
        ------
        LogTruncatedError
            If ``from_offset`` has been truncated.
        LogUnavailableError
            If the store did not answer.
        """
        try:
            page = await self.client.read(stream, from_offset, wait_s=wait_s)
        except (PlatformUnavailableError, PlatformRejectedError) as error:
            raise LogUnavailableError(
                error.message, remedy=error.remedy, retry_after_s=RETRY_AFTER_S
            ) from error
        records = [
            decode_record(page.offset + index, content)
            for index, content in enumerate(page.records[:limit])
        ]
        return Page(records, page.first, max(page.end, from_offset))


def encode_record(content: bytes, time_s: float) -> bytes:
    """Return a record in its stored form: the writer's time and the content."""
    return TIMESTAMP_MS.pack(int(time_s * 1000)) + content


def decode_record(offset: int, content: bytes) -> Record:
    """Decode a stored record; one too short for a timestamp becomes an empty record."""
    if len(content) < TIMESTAMP_MS.size:
        return Record(offset, 0.0, "")
    (time_ms,) = TIMESTAMP_MS.unpack_from(content)
    data = content[TIMESTAMP_MS.size :].decode(errors="replace")
    return Record(offset, time_ms / 1000, data)
