"""Client of the platform's append-only log service.

A stream is a sequence of records with offsets from 0; the service forgets old
records. HTTP interface::

    POST /streams/{stream}            body: one record, UTF-8
                                      answer: {"offset": 7}
    GET  /streams/{stream}?from=0&limit=100&wait_ms=0
                                      answer: {"records": [{"offset", "time_s",
                                      "data"}], "first_offset", "next_offset"}

``410`` says that ``from`` is older than ``first_offset``; ``503`` that the
service is out or over its rate and the request had no effect.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import aiohttp
import attrs
import msgspec

from lagoonring.errors import (
    AnswerLostError,
    InvalidInputError,
    LagoonringError,
    UnavailableError,
)
from lagoonring.platform.exchange import PlatformClient

APPEND_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 3.0
READ_LIMIT = 500
RECORD_LIMIT_BYTES = 1 << 20
RETRY_AFTER_S = 1.0


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


@attrs.frozen
class Appended:
    """The answer to an append."""

    offset: int


class Log(Protocol):
    """What the rest of the system needs of a log; tests pass a stand-in."""

    async def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset."""

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = READ_LIMIT,
        wait_s: float = 0.0,
    ) -> Page:
        """Return records from an offset, waiting for the first if asked to."""


class LogClient(PlatformClient):
    """The log over HTTP."""

    async def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset.

        Raises
        ------
        LogUnavailableError
            If the record was not appended.
        LogAnswerLostError
            If it may have been; look for it by an id inside the record.
        """
        body = data.encode()
        if len(body) > RECORD_LIMIT_BYTES:
            raise RecordTooLargeError(
                f"Got a record of {len(body)} bytes, "
                f"expected at most {RECORD_LIMIT_BYTES}.",
                remedy="Split it into several records.",
            )
        timeout = aiohttp.ClientTimeout(total=APPEND_TIMEOUT_S)
        try:
            async with self.session.post(
                f"{self.url}/streams/{stream}", data=body, timeout=timeout
            ) as answer:
                content = await answer.read()
                _raise_unless_ok(answer.status, stream)
                return msgspec.json.decode(content, type=Appended).offset
        except aiohttp.ClientConnectorError as error:
            raise _unavailable(stream, str(error)) from error
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as error:
            raise LogAnswerLostError(
                f"Got no answer to an append to stream {stream}: {error!r}.",
                remedy="Read the stream for the record before appending again.",
                retry_after_s=RETRY_AFTER_S,
            ) from error

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = READ_LIMIT,
        wait_s: float = 0.0,
    ) -> Page:
        """Return records from an offset, waiting ``wait_s`` for the first.

        Raises
        ------
        LogTruncatedError
            If the log has forgotten ``from_offset``.
        LogUnavailableError
            If the log did not answer.
        """
        params = {
            "from": str(from_offset),
            "limit": str(limit),
            "wait_ms": str(int(wait_s * 1000)),
        }
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S + wait_s)
        try:
            async with self.session.get(
                f"{self.url}/streams/{stream}", params=params, timeout=timeout
            ) as answer:
                content = await answer.read()
                if answer.status == 410:
                    page = msgspec.json.decode(content, type=Page)
                    raise LogTruncatedError(stream, from_offset, page.first_offset)
                _raise_unless_ok(answer.status, stream)
                return msgspec.json.decode(content, type=Page)
        except (
            TimeoutError,
            asyncio.IncompleteReadError,
            aiohttp.ClientError,
            msgspec.MsgspecError,
        ) as error:
            raise _unavailable(stream, repr(error)) from error


def _raise_unless_ok(status: int, stream: str) -> None:
    if status == 503:
        raise _unavailable(stream, "status 503")
    if status != 200:
        raise LogAnswerLostError(
            f"Got status {status} for stream {stream}, expected 200.",
            remedy="Read the stream before appending again.",
            retry_after_s=RETRY_AFTER_S,
        )


def _unavailable(stream: str, reason: str) -> LogUnavailableError:
    return LogUnavailableError(
        f"Got {reason} for stream {stream}, expected an answer of the log.",
        remedy="Try again when the platform's log is back.",
        retry_after_s=RETRY_AFTER_S,
    )
