"""A lease by log order, with fencing numbers and without shared clocks.

The challenger waits by its own steady clock, which goes on while the machine is
suspended, from when it *saw* the newest renewal; the holder counts from before it
*sent* it, so the holder gives up first. Should clocks mislead both, log order still
decides: a take that names an older epoch or renewal is void, and so are records of
an epoch that ended.
"""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec

from lagoonring.leases.errors import LeaseLostError
from lagoonring.leases.options import LeaseOptions
from lagoonring.leases.records import NO_PAYLOAD, Kind, LeaseRecord, encode_record
from lagoonring.leases.stream import GuardedData, LeaseStream, Sighting
from lagoonring.logs import make_logger
from lagoonring.platform.log import LogAnswerLostError, LogUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import Any

    from lagoonring.kernel import Clock
    from lagoonring.platform.log import Log

N_TAKES_REMEMBERED = 8

logger = make_logger("leases")


class Lease:
    """One instance's side of a lease.

    Parameters
    ----------
    log : Log
        The platform's log.
    stream : str
        Stream of the lease and of the records that it guards.
    holder : str
        Name of this instance.
    clock : Clock
        Source of monotonic time.
    options : LeaseOptions
        Times of the lease; the same at all instances.
    data : GuardedData or None
        Folds the records that the lease guards.

    Attributes
    ----------
    epoch : int or None
        The epoch that this instance took; None if it holds none.
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
        self.takes: dict[str, float] = {}
        self.mutex = asyncio.Lock()

    @property
    def fencing_number(self) -> int:
        """Offset of the take-over, for orders to endpoints.

        Raises
        ------
        LeaseLostError
            If this instance does not hold the lease.
        """
        if self.epoch is None:
            raise self._lost()
        return self.epoch

    @property
    def current_holder(self) -> str:
        """Name of the holder as far as the stream was read; empty if free."""
        state = self.stream.state
        return "" if state.is_released else state.holder

    def is_held(self) -> bool:
        """Whether the lease is held, by this process's steady clock."""
        if self.epoch is None or not self._is_current():
            return False
        held_s = self.clock.boottime() - self.last_renewed_s
        return held_s < self.options.duration_s - self.options.margin_s

    def remaining_s(self) -> float:
        """Seconds for which the lease is held without another renewal."""
        if not self.is_held():
            return 0.0
        end_s = self.last_renewed_s + self.options.duration_s - self.options.margin_s
        return max(0.0, end_s - self.clock.boottime())

    async def acquire(self, *, extra_wait_s: float = 0.0) -> int | None:
        """Try once to take the lease; return the fencing number or None.

        Parameters
        ----------
        patience_s : float
            How much longer than others this instance leaves a free lease alone.

        Raises
        ------
        LogUnavailableError, LogAnswerLostError
            If the log did not answer; try again.
        """
        async with self.mutex:
            await self.stream.read_to_end()
            self._adopt_own_take()
            if self.is_held():
                return self.epoch
            self.epoch = None
            if not self._is_free(extra_wait_s):
                return None
            return await self._take()

    async def renew(self) -> None:
        """Prolong the lease.

        Raises
        ------
        LeaseLostError
            If it is not held any more.
        LogUnavailableError, LogAnswerLostError
            If the log did not answer; it is held until its time is over.
        """
        async with self.mutex:
            await self._append("renew", NO_PAYLOAD)

    async def release(self) -> None:
        """Let another instance take the lease at once."""
        async with self.mutex:
            was_held, epoch, self.epoch = self.is_held(), self.epoch, None
            if not was_held or epoch is None:
                return
            record = LeaseRecord(
                kind="release", token=_new_token(), holder=self.holder, epoch=epoch
            )
            try:
                await self._append_and_find(record)
            except (LogUnavailableError, LogAnswerLostError) as error:
                logger.info("Lease {} ends by time: {}", self.stream.stream, error)

    async def append(self, data: Any) -> int:
        """Append data of this epoch, and return its offset once it counts.

        Raises
        ------
        LeaseLostError
            If the lease was lost before; the record does not count.
        LogUnavailableError
            If the record was not appended.
        LogAnswerLostError
            If its fate is not known; it may yet count.
        """
        async with self.mutex:
            return await self._append("data", msgspec.Raw(msgspec.json.encode(data)))

    async def append_snapshot(self, make_parts: Callable[[], Sequence[Any]]) -> None:
        """Append the guarded data as a snapshot, so that older records may go.

        ``make_parts`` returns the whole data as folded when it is called.
        Raises as :meth:`append` does; an incomplete snapshot is never used.
        """
        async with self.mutex:
            if not self.is_held():
                raise self._lost()
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
            raise self._lost()
        record = LeaseRecord(
            kind=kind,
            token=_new_token(),
            holder=self.holder,
            epoch=self.fencing_number,
            state=self.stream.state if kind == "renew" else None,
            at=self.stream.next_offset if kind == "renew" else -1,
            payload=payload,
        )
        return await self._write(record)

    async def _write(self, record: LeaseRecord) -> int:
        sent_s = self.clock.boottime()
        sighting = await self._append_and_find(record)
        if not sighting.counts:
            raise self._lost()
        self.last_renewed_s = max(self.last_renewed_s, sent_s)
        return sighting.offset

    async def _take(self) -> int | None:
        record = LeaseRecord(
            kind="take",
            token=_new_token(),
            holder=self.holder,
            state=self.stream.state,
            at=self.stream.next_offset,
        )
        self._remember_take(record.token)
        sighting = await self._append_and_find(record, is_take=True)
        self._adopt_own_take()
        if not sighting.counts or not self.is_held():
            return None
        logger.info("Took lease {} with epoch {}.", self.stream.stream, self.epoch)
        return self.epoch

    async def _append_and_find(
        self, record: LeaseRecord, *, is_take: bool = False
    ) -> Sighting:
        sightings = self.stream.sightings
        sightings[record.token] = None
        try:
            await self._append_and_read(encode_record(record))
            return self._get_sighting(record)
        finally:
            if not is_take:
                del sightings[record.token]

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
            raise self._fate_unknown() from error

    def _fate_unknown(self) -> LogAnswerLostError:
        return LogAnswerLostError(
            f"Got no record of an append to {self.stream.stream}, expected it.",
            remedy="Append again only what is idempotent.",
        )

    def _get_sighting(self, record: LeaseRecord) -> Sighting:
        sighting = self.stream.sightings[record.token]
        if sighting is not None:
            return sighting
        raise self._fate_unknown()

    def _remember_take(self, token: str) -> None:
        self.takes[token] = self.clock.boottime()
        while len(self.takes) > N_TAKES_REMEMBERED:
            oldest = next(iter(self.takes))
            del self.takes[oldest]
            self.stream.sightings.pop(oldest, None)

    def _adopt_own_take(self) -> None:
        """Notice a take of this process that came to count, perhaps late."""
        for token, sent_s in list(self.takes.items()):
            sighting = self.stream.sightings.get(token)
            if sighting is None:
                continue
            del self.takes[token]
            del self.stream.sightings[token]
            if sighting.counts and sighting.offset == self.stream.state.epoch:
                self.epoch = sighting.offset
                self.last_renewed_s = sent_s

    def _is_current(self) -> bool:
        state = self.stream.state
        return state.is_known and not state.is_released and state.epoch == self.epoch

    def _is_free(self, extra_wait_s: float) -> bool:
        state = self.stream.state
        silent_s = self.clock.boottime() - self.stream.seen_s
        if state.is_known and state.is_released:
            return silent_s >= extra_wait_s
        return silent_s >= self.options.duration_s + extra_wait_s

    def _lost(self) -> LeaseLostError:
        state = self.stream.state
        return LeaseLostError(self.stream.stream, state.holder, state.epoch)


def _new_token() -> str:
    return uuid.uuid4().hex
