"""Interface of the append-only log: records, errors and protocol.

A stream is a sequence of records with offsets from 0; the service truncates old
records. `lagoonring.platform.store_log` is the client.

After an outage the service may return from a copy that lacks the newest records, and
assign their offsets again. Each such return begins a new generation, which makes up
the high bits of all offsets: they never go back, and a read from an offset of an
earlier generation is answered as if its records had been truncated.
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
GENERATION_BITS = 32  # below them are the offsets that the service assigns


def make_offset(generation: int, assigned: int) -> int:
    """Return the offset of a record, given the one that the service assigned."""
    return (generation << GENERATION_BITS) + assigned


def generation_of(offset: int) -> int:
    """Return the generation in which an offset was assigned."""
    return offset >> GENERATION_BITS


def assigned_offset(offset: int) -> int:
    """Return the offset as the service assigned it."""
    return offset & ((1 << GENERATION_BITS) - 1)


class LogUnavailableError(UnavailableError):
    """The log did not accept the request; it had no effect."""

    code = "log_unavailable"


class LogAnswerLostError(AnswerLostError):
    """The append may have succeeded; its answer was lost."""

    code = "log_answer_lost"


class LogTruncatedError(LagoonringError, LookupError):
    """The requested records have been truncated."""

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
    """A record exceeds the log's size limit."""

    code = "record_too_large"


@attrs.frozen
class Record:
    """A record of a stream; ``time_s`` is its timestamp in epoch seconds."""

    offset: int
    time_s: float
    data: str


@attrs.frozen
class Page:
    """Consecutive records, and the stream's bounds at the time of the read."""

    records: list[Record]
    first_offset: int
    next_offset: int


class Log(Protocol):
    """Interface of the log as the rest of the system uses it; tests pass a stand-in."""

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
        """Return records from an offset, waiting up to ``wait_s`` for the first."""
