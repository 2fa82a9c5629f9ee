"""Reads a lease's stream and folds it, with the data that the lease guards."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from lagoonring.leases.records import (
    NO_PAYLOAD,
    LeaseRecord,
    LeaseState,
    decode_record,
    fold,
    start_unknown,
)
from lagoonring.logs import make_logger
from lagoonring.platform.log import LogTruncatedError

if TYPE_CHECKING:
    import msgspec

    from lagoonring.kernel import Clock
    from lagoonring.platform.log import Log, Page, Record

READ_BACK_WAIT_S = 1.0
N_RECORDS_PER_READ = 32

logger = make_logger("leases")


class GuardedData(Protocol):
    """What a lease guards; the hooks are called in log order.

    Data that must outlive the log's retention has snapshots written by
    :meth:`lagoonring.leases.Lease.append_snapshot` before older records are
    forgotten.
    """

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Fold a record that counts."""

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Replace all data by the parts of a snapshot; by nothing if empty."""


@attrs.frozen
class Sighting:
    """Where a record with a token was found, and whether it counts."""

    offset: int
    counts: bool


class LeaseStream:
    """Follows one stream.

    Parameters
    ----------
    log : Log
        The platform's log.
    stream : str
        Name of the stream.
    clock : Clock
        Tells when a renewal was seen.
    data : GuardedData or None
        What the lease guards.

    Attributes
    ----------
    seen_s : float
        Monotonic time at which the newest renewal was seen.
    time_s : float
        The log's time of the newest record.
    snapshot_time_s : float
        The log's time of the newest snapshot, or of the first record that was
        read if there was none.
    """

    def __init__(
        self, log: Log, stream: str, clock: Clock, data: GuardedData | None = None
    ) -> None:
        self.log = log
        self.stream = stream
        self.clock = clock
        self.data = data
        self.state = LeaseState()
        self.next_offset = 0
        self.first_offset = 0
        self.seen_s = clock.boottime()
        self.time_s = 0.0
        self.snapshot_time_s = 0.0
        self.is_at_end = False
        self.sightings: dict[str, Sighting | None] = {}

    async def read_on(self, wait_s: float = 0.0) -> int:
        """Read and fold the next records; return how many were read.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        """
        try:
            page = await self._read(self.next_offset, wait_s=wait_s)
            if page.first_offset > self.next_offset:
                raise LogTruncatedError(
                    self.stream, self.next_offset, page.first_offset
                )
        except LogTruncatedError as error:
            await self._start_again(error.first_offset)
            self.is_at_end = False
            return 1
        self.first_offset = page.first_offset
        for record in page.records:
            if record.offset >= self.next_offset:
                self._fold(record)
        self.is_at_end = self.next_offset >= page.next_offset
        if not self.state.is_known and self._has_anchor(page):
            await self._start_again(self.first_offset)
            self.is_at_end = False
        return len(page.records)

    async def read_to_end(self) -> None:
        """Read until the end that the stream has now."""
        while await self.read_on() and not self.is_at_end:
            continue

    async def read_past(self, offset: int) -> None:
        """Read until the record at ``offset`` was folded."""
        while self.next_offset <= offset:
            await self.read_on(READ_BACK_WAIT_S)

    async def _read(self, from_offset: int, *, wait_s: float = 0.0) -> Page:
        # Few at a time: a record may have hundreds of kilobytes.
        return await self.log.read(
            self.stream, from_offset, limit=N_RECORDS_PER_READ, wait_s=wait_s
        )

    def _has_anchor(self, page: Page) -> bool:
        decoded = (decode_record(record.data) for record in page.records)
        return any(
            record is not None and _is_anchor(record, self.first_offset)
            for record in decoded
        )

    def _fold(self, record: Record) -> None:
        self.next_offset = record.offset + 1
        self.time_s = max(self.time_s, record.time_s)
        decoded = decode_record(record.data)
        is_snapshot = decoded is not None and decoded.kind == "snapshot"
        if is_snapshot or not self.snapshot_time_s:
            self.snapshot_time_s = self.time_s
        if decoded is None:
            logger.warning("Skipped a record of {} at {}.", self.stream, record.offset)
            return
        before = self.state
        self.state, counts = fold(before, decoded, record.offset)
        if self.state.renewal != before.renewal:
            self.seen_s = self.clock.boottime()
        if not self.state.is_known:
            self.seen_s = self.clock.boottime()
        if counts and decoded.kind == "data" and self.data is not None:
            self.data.on_data(record.offset, record.time_s, decoded.payload)
        if decoded.token in self.sightings:
            self.sightings[decoded.token] = Sighting(record.offset, counts)

    async def _start_again(self, first_offset: int) -> None:
        """Begin at the newest state that the log has kept."""
        newest = await self._find_newest(first_offset)
        self.seen_s = self.clock.boottime()
        parts = newest.find_parts(self.first_offset)
        anchor = parts[0] if parts else newest.anchor
        if anchor is None or not _is_anchor(anchor, self.first_offset):
            self.state = start_unknown(self.first_offset)
            self.next_offset = self.first_offset
        else:
            assert anchor.state is not None
            self.state = anchor.state
            self.next_offset = anchor.at
        if self.data is not None:
            if not parts:
                logger.error("Found no snapshot of {}, began empty.", self.stream)
            self.data.restore([part.payload for part in parts])

    async def _find_newest(self, first_offset: int) -> _Newest:
        newest = _Newest()
        self.first_offset = first_offset
        page = await self._read(first_offset)
        while page.records:
            for record in page.records:
                decoded = decode_record(record.data)
                if decoded is not None and decoded.at <= record.offset:
                    newest.note(decoded)
            next_offset = page.records[-1].offset + 1
            page = await self._read(next_offset)
        self.first_offset = max(first_offset, page.first_offset)
        return newest


class _Newest:
    """The newest anchor and the snapshots met while the log is searched."""

    def __init__(self) -> None:
        self.anchor: LeaseRecord | None = None
        self.groups: dict[str, dict[int, LeaseRecord]] = {}

    def note(self, record: LeaseRecord) -> None:
        """Keep a record if it may serve as a start."""
        if record.state is None or not record.state.is_known:
            return
        if self.anchor is None or record.at > self.anchor.at:
            self.anchor = attrs.evolve(record, payload=NO_PAYLOAD)
        if record.kind != "snapshot":
            return
        group = self.groups.setdefault(record.group, {})
        group[record.part] = record
        if len(group) == record.n_parts:
            self._drop_older(record)

    def find_parts(self, first_offset: int) -> list[LeaseRecord]:
        """Return the parts of the newest whole snapshot that can be used."""
        whole = [
            [group[part] for part in sorted(group)]
            for group in self.groups.values()
            if all(len(group) == record.n_parts for record in group.values())
        ]
        usable = [parts for parts in whole if _is_anchor(parts[0], first_offset)]
        return max(usable, key=lambda parts: parts[0].at, default=[])

    def _drop_older(self, record: LeaseRecord) -> None:
        for name, group in list(self.groups.items()):
            if next(iter(group.values())).at < record.at:
                del self.groups[name]


def _is_anchor(record: LeaseRecord, first_offset: int) -> bool:
    return (
        record.state is not None and record.state.is_known and record.at >= first_offset
    )
