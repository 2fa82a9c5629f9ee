"""In-memory stand-in for the platform's log, with injected faults.

:class:`LogStandin` implements :class:`lagoonring.platform.log.Log`, so that unit
tests can use it directly; `lagoonring.standins.log_server` serves it over HTTP.
"""

from __future__ import annotations

import asyncio

import attrs

from lagoonring.kernel.clock import Clock
from lagoonring.platform.log import (
    MAX_PAGE_RECORDS,
    LogAnswerLostError,
    LogTruncatedError,
    LogUnavailableError,
    Page,
    Record,
    assigned_offset,
    generation_of,
    make_offset,
)


@attrs.define
class LogFaults:
    """Faults in force; counts go down with each hit, flags stay until changed.

    ``n_lost_answers`` appends take effect but their answer is lost. The answers of
    ``n_late_appends`` are lost too, and they take effect ``late_s`` later. ``delay_s``
    is added before every answer.
    """

    is_out: bool = False
    n_lost_answers: int = 0
    n_late_appends: int = 0
    late_s: float = 3.0
    n_refused_appends: int = 0
    delay_s: float = 0.0


@attrs.define
class StreamState:
    """Retained records of a stream; ``first_offset`` is that of ``records[0]``."""

    records: list[Record] = attrs.field(factory=list)
    first_offset: int = 0
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """Offset of the next record to be appended."""
        return self.first_offset + len(self.records)


class LogStandin:
    """An append-only log with offsets, limited retention and faults.

    Parameters
    ----------
    clock : Clock
        Stamps the records.
    n_kept : int or None
        Number of records retained per stream; None retains all.
    """

    def __init__(self, clock: Clock | None = None, *, n_kept: int | None = None):
        self.clock = clock or Clock()
        self.n_kept = n_kept
        self.streams: dict[str, StreamState] = {}
        self.faults = LogFaults()
        self.n_appends = 0
        self.n_reads = 0
        self.generation = 0
        self.late_appends: set[asyncio.Task[None]] = set()

    async def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset."""
        await self._wait_and_check(stream)
        if self.faults.n_refused_appends > 0:
            self.faults.n_refused_appends -= 1
            raise _make_outage(stream)
        if self.faults.n_late_appends > 0:
            self.faults.n_late_appends -= 1
            late = self._execute_later(stream, data, self.faults.late_s)
            task = asyncio.create_task(late)
            self.late_appends.add(task)
            task.add_done_callback(self.late_appends.discard)
            raise _make_answer_lost(stream)
        offset = self._execute(stream, data)
        if self.faults.n_lost_answers > 0:
            self.faults.n_lost_answers -= 1
            raise _make_answer_lost(stream)
        return offset

    def _execute(self, stream: str, data: str) -> int:
        state = self.streams.setdefault(stream, StreamState())
        offset = make_offset(self.generation, state.next_offset)
        state.records.append(Record(offset, self.clock.time(), data))
        self.n_appends += 1
        if self.n_kept is not None:
            self.forget(stream, before=state.next_offset - self.n_kept)
        state.grown.set()
        state.grown = asyncio.Event()
        return offset

    async def _execute_later(self, stream: str, data: str, late_s: float) -> None:
        await self.clock.sleep(late_s)
        self._execute(stream, data)

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = MAX_PAGE_RECORDS,
        wait_s: float = 0.0,
    ) -> Page:
        """Return records from an offset, waiting up to ``wait_s`` for the first."""
        await self._wait_and_check(stream)
        self.n_reads += 1
        state = self.streams.setdefault(stream, StreamState())
        assigned = assigned_offset(from_offset)
        if wait_s > 0 and assigned == state.next_offset:
            await _wait_for(state.grown, wait_s)
            await self._wait_and_check(stream)
        is_other = from_offset > 0 and generation_of(from_offset) != self.generation
        is_kept = state.first_offset <= assigned <= state.next_offset
        if is_other or not is_kept:
            first = make_offset(self.generation, state.first_offset)
            raise LogTruncatedError(stream, from_offset, first)
        start = assigned - state.first_offset
        records = [
            attrs.evolve(record, offset=make_offset(self.generation, assigned + index))
            for index, record in enumerate(state.records[start : start + limit])
        ]
        is_whole = from_offset == state.first_offset == 0
        first = 0 if is_whole else make_offset(self.generation, state.first_offset)
        return Page(records, first, make_offset(self.generation, state.next_offset))

    def return_older(self, age_s: float) -> None:
        """Lose the records of the last ``age_s`` seconds, and begin a generation."""
        since_s = self.clock.time() - age_s
        for state in self.streams.values():
            state.records = [one for one in state.records if one.time_s <= since_s]
            state.grown.set()
            state.grown = asyncio.Event()
        self.generation += 1

    def next_offset_of(self, stream: str) -> int:
        """Return the offset of the next record to be appended to a stream."""
        return self.streams.setdefault(stream, StreamState()).next_offset

    def forget(self, stream: str, *, before: int) -> None:
        """Drop the records of a stream with offsets lower than ``before``."""
        state = self.streams.setdefault(stream, StreamState())
        n_dropped = min(max(0, before - state.first_offset), len(state.records))
        del state.records[:n_dropped]
        state.first_offset += n_dropped

    async def _wait_and_check(self, stream: str) -> None:
        if self.faults.delay_s > 0:
            await self.clock.sleep(self.faults.delay_s)
        if self.faults.is_out:
            raise _make_outage(stream)


async def _wait_for(event: asyncio.Event, wait_s: float) -> None:
    # asyncio.wait_for can swallow a cancellation that arrives with the event.
    try:
        async with asyncio.timeout(wait_s):
            await event.wait()
    except TimeoutError:
        return


def _make_answer_lost(stream: str) -> LogAnswerLostError:
    return LogAnswerLostError(
        f"Got no answer to an append to stream {stream}.",
        remedy="Read the stream for the record before appending again.",
    )


def _make_outage(stream: str) -> LogUnavailableError:
    return LogUnavailableError(
        f"Got an outage for stream {stream}, expected an answer of the log.",
        remedy="Try again when the platform's log is back.",
        retry_after_s=1.0,
    )
