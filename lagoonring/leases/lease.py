"""A lease ordered by a shared log, with fencing numbers and no shared clocks.

A challenger measures the lease's duration from the time at which it *read* the
newest renewal, on its own monotonic clock, which includes time suspended. The holder
measures from the time before it *sent* that renewal, so the lease ends at the holder
first. If clocks are wrong, log order still decides: a take that refers to an older
epoch or renewal is invalid, and so are records of an epoch that has ended.
"""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec

from lagoonring.leases.errors import LeaseLostError
from lagoonring.leases.options import LeaseOptions
from lagoonring.leases.records import NO_PAYLOAD, Kind, LeaseRecord, encode_record
from lagoonring.leases.stream import AppendResult, GuardedData, LeaseStream
from lagoonring.logs import make_logger
from lagoonring.platform.log import LogAnswerLostError, LogUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import Any

    from lagoonring.kernel import Clock
    from lagoonring.platform.log import Log

MAX_PENDING_TAKES = 8

logger = make_logger("leases")


class Lease:
    """A lease as held or competed for by one instance.

    Parameters
    ----------
    log : Log
        The platform's log.
    stream : str
        Stream that stores the lease and the records that it guards.
    holder : str
        Name of this instance.
    clock : Clock
        Source of monotonic time.
    options : LeaseOptions
        Timing of the lease; must be the same on all instances.
    data : GuardedData or None
        State folded from the records that the lease guards.

    Attributes
    ----------
    epoch : int or None
        Epoch acquired by this instance; None if it does not hold the lease.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        holder: str,
        clock: Clock,
        options: LeaseOptions | None = None,
        *,
        data: GuardedData | None = None,
    ) -> None:
        self.log = log
        self.holder = holder
        self.clock = clock
        self.options = options or LeaseOptions()
        self.stream = LeaseStream(log, stream, clock, data)
        self.epoch: int | None = None
        self.last_renewed_s = 0.0
        self.pending_takes: dict[str, float] = {}
        self.n_sent = 0
        self.mutex = asyncio.Lock()

    @property
    def fencing_number(self) -> int:
        """Offset of the take record, passed to endpoints to reject stale holders.

        Raises
        ------
        LeaseLostError
            If this instance does not hold the lease.
        """
        if self.epoch is None:
            raise self._make_lost_error()
        return self.epoch

    @property
    def current_holder(self) -> str:
        """Name of the holder, as of the last read; empty if the lease is free."""
        state = self.stream.state
        return "" if state.is_released else state.holder

    @property
    def restored_s(self) -> float:
        """Boot time at which the log was found to have lost its newest records."""
        return self.stream.restored_s

    def is_held(self) -> bool:
        """Return whether the lease is held, by this process's monotonic clock."""
        if self.epoch is None or not self._is_own_epoch():
            return False
        held_s = self.clock.boottime() - self.last_renewed_s
        return held_s < self.options.duration_s - self.options.margin_s

    def remaining_s(self) -> float:
        """Return the seconds until the lease ends without another renewal."""
        if not self.is_held():
            return 0.0
        end_s = self.last_renewed_s + self.options.duration_s - self.options.margin_s
        return max(0.0, end_s - self.clock.boottime())

    async def acquire(self, *, extra_wait_s: float = 0.0) -> int | None:
        """Try once to acquire the lease; return the fencing number or None.

        Parameters
        ----------
        extra_wait_s : float
            Extra time that this instance waits before it takes a free lease, so
            that others can take it first.

        Raises
        ------
        LogUnavailableError, LogAnswerLostError
            If the log did not answer; retry later.
        """
        async with self.mutex:
            await self.stream.read_to_end()
            self._adopt_confirmed_take()
            if self.is_held():
                return self.epoch
            self.epoch = None
            if not self._is_free(extra_wait_s):
                return None
            return await self._take()

    async def renew(self) -> None:
        """Extend the lease by its duration.

        Raises
        ------
        LeaseLostError
            If the lease is no longer held.
        LogUnavailableError, LogAnswerLostError
            If the log did not answer; the lease is held until it expires.
        """
        async with self.mutex:
            await self._append("renew", NO_PAYLOAD)

    async def release(self) -> None:
        """Release the lease, so that another instance can acquire it at once."""
        async with self.mutex:
            was_held, epoch, self.epoch = self.is_held(), self.epoch, None
            if not was_held or epoch is None:
                return
            record = LeaseRecord(
                kind="release", token=_new_token(), holder=self.holder, epoch=epoch
            )
            try:
                await self._append_and_confirm(record)
            except (LogUnavailableError, LogAnswerLostError) as error:
                logger.info(
                    "Lease {} not released, will expire: {}", self.stream.stream, error
                )

    async def append(self, data: Any) -> int:
        """Append data in this epoch; return its offset once it is confirmed valid.

        Raises
        ------
        LeaseLostError
            If the lease was lost before; the record has no effect.
        LogUnavailableError
            If the record was not appended.
        LogAnswerLostError
            If it is unknown whether the record was appended; it may become valid
            later, until another record is appended.
        """
        async with self.mutex:
            return await self._append("data", msgspec.Raw(msgspec.json.encode(data)))

    async def append_snapshot(self, make_parts: Callable[[], Sequence[Any]]) -> None:
        """Append a snapshot of the guarded data, so that the log may truncate.

        ``make_parts`` returns all data as folded when it is called. Raises the
        same errors as :meth:`append`; an incomplete snapshot is never used.
        """
        async with self.mutex:
            if not self.is_held():
                raise self._make_lost_error()
            state, at, group = self.stream.state, self.stream.next_offset, _new_token()
            parts = make_parts()
            for index, part in enumerate(parts):
                record = LeaseRecord(
                    kind="snapshot",
                    token=_new_token(),
                    holder=self.holder,
                    epoch=self.fencing_number,
                    state=state,
                    at=at,
                    payload=msgspec.Raw(msgspec.json.encode(part)),
                    group=group,
                    part=index,
                    n_parts=len(parts),
                )
                await self._write(record)

    async def _append(self, kind: Kind, payload: msgspec.Raw) -> int:
        if not self.is_held():
            raise self._make_lost_error()
        record = LeaseRecord(
            kind=kind,
            token=_new_token(),
            holder=self.holder,
            epoch=self.fencing_number,
            state=self.stream.state if kind == "renew" else None,
            at=self.stream.next_offset if kind == "renew" else -1,
            number=self._next_number() if kind == "data" else -1,
            payload=payload,
        )
        return await self._write(record)

    async def _write(self, record: LeaseRecord) -> int:
        sent_s = self.clock.boottime()
        result = await self._append_and_confirm(record)
        if not result.counts:
            raise self._make_lost_error()
        self.last_renewed_s = max(self.last_renewed_s, sent_s)
        return result.offset

    def _next_number(self) -> int:
        self.n_sent += 1
        return self.n_sent

    async def _take(self) -> int | None:
        record = LeaseRecord(
            kind="take",
            token=_new_token(),
            holder=self.holder,
            state=self.stream.state,
            at=self.stream.next_offset,
        )
        self._add_pending_take(record.token)
        result = await self._append_and_confirm(record, is_take=True)
        self._adopt_confirmed_take()
        if not result.counts or not self.is_held():
            return None
        logger.info("Acquired lease {} in epoch {}.", self.stream.stream, self.epoch)
        return self.epoch

    async def _append_and_confirm(
        self, record: LeaseRecord, *, is_take: bool = False
    ) -> AppendResult:
        append_results = self.stream.append_results
        append_results[record.token] = None
        try:
            await self._append_and_read(encode_record(record))
            return self._get_result(record)
        finally:
            if not is_take:
                del append_results[record.token]

    async def _append_and_read(self, data: str) -> None:
        try:
            offset = await self.log.append(self.stream.stream, data)
        except LogAnswerLostError:
            offset = None
        try:
            if offset is None:
                await self.stream.read_to_end()
            else:
                await self.stream.read_past(offset)
        except LogUnavailableError as error:
            raise self._make_answer_lost_error() from error

    def _make_answer_lost_error(self) -> LogAnswerLostError:
        return LogAnswerLostError(
            f"Got no record of an append to {self.stream.stream}, expected it.",
            remedy="Append again only what is idempotent.",
        )

    def _get_result(self, record: LeaseRecord) -> AppendResult:
        result = self.stream.append_results[record.token]
        if result is not None:
            return result
        raise self._make_answer_lost_error()

    def _add_pending_take(self, token: str) -> None:
        self.pending_takes[token] = self.clock.boottime()
        while len(self.pending_takes) > MAX_PENDING_TAKES:
            oldest = next(iter(self.pending_takes))
            del self.pending_takes[oldest]
            self.stream.append_results.pop(oldest, None)

    def _adopt_confirmed_take(self) -> None:
        """Adopt the epoch of a pending take that was read back as valid."""
        for token, sent_s in list(self.pending_takes.items()):
            result = self.stream.append_results.get(token)
            if result is None:
                continue
            del self.pending_takes[token]
            del self.stream.append_results[token]
            if result.counts and result.offset == self.stream.state.epoch:
                self.epoch = result.offset
                self.last_renewed_s = sent_s

    def _is_own_epoch(self) -> bool:
        state = self.stream.state
        return state.is_known and not state.is_released and state.epoch == self.epoch

    def _is_free(self, extra_wait_s: float) -> bool:
        state = self.stream.state
        silent_s = self.clock.boottime() - self.stream.renewal_seen_s
        if state.is_known and state.is_released:
            return silent_s >= extra_wait_s
        return silent_s >= self.options.duration_s + extra_wait_s

    def _make_lost_error(self) -> LeaseLostError:
        state = self.stream.state
        return LeaseLostError(self.stream.stream, state.holder, state.epoch)


def _new_token() -> str:
    return uuid.uuid4().hex
