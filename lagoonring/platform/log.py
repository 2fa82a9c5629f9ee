"""What the product needs of an append-only log: records, errors, protocol.

A stream is a sequence of records with offsets from 0; the service forgets old
records. `lagoonring.platform.store_log` is the client.
"""

from __future__ import annotations

from typing import Protocol

import attrs

from lagoonring.errors import (
    AnswerLostError,
    InvalidInputError,
    LagoonringError,
    UnavailableError,
)

MAX_PAGE_RECORDS = 500
RECORD_LIMIT_BYTES = 1 << 20


class LogUnavailableError(UnavailableError):
    """The log did not take the request; it had no effect."""

    code = "log_unavailable"


class LogAnswerLostError(AnswerLostError):
    """The append may have taken effect; its answer was lost."""

    code = "log_answer_lost"


class LogTruncatedError(LagoonringError, LookupError):
    """The records asked for have been forgotten."""

    code = "log_truncated"
    status = 410

    def __init__(self, stream: str, from_offset: int, first_offset: int) -> None:
        self.first_offset = first_offset
        super().__init__(
            f"Got offset {from_offset} of stream {stream}, "
            f"expected {first_offset} or later.",
            remedy="Begin at a snapshot, or at the first offset kept.",
        )


class RecordTooLargeError(InvalidInputError):
    """A record exceeds the log's limit."""

    code = "record_too_large"


@attrs.frozen
class Record:
    """A record of a stream; ``time_s`` is the log's clock, epoch seconds."""

    offset: int
    time_s: float
    data: str


@attrs.frozen
class Page:
    """Consecutive records and the stream's bounds when they were read."""

    records: list[Record]
    first_offset: int
    next_offset: int


class Log(Protocol):
    """What the rest of the system needs of a log; tests pass a stand-in."""

    async def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset."""

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = MAX_PAGE_RECORDS,
        wait_s: float = 0.0,
    ) -> Page:
        """Return records from an offset, waiting for the first if asked to."""
