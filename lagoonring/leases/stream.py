"""Reads the stream of a lease and folds its state and the guarded data."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from lagoonring.leases.records import (
    NO_PAYLOAD,
    LeaseRecord,
    LeaseState,
    decode_record,
    fold,
    is_overtaken,
    make_unknown_state,
)
from lagoonring.logs import make_logger
from lagoonring.platform.log import LogTruncatedError, generation_of

if TYPE_CHECKING:
    import msgspec

    from lagoonring.kernel import Clock
    from lagoonring.platform.log import Log, Page, Record

READ_BACK_WAIT_S = 1.0
N_RECORDS_PER_READ = 32

logger = make_logger("leases")


class GuardedData(Protocol):
    """State guarded by a lease; the methods are called in log order.

    Data that must survive the log's retention needs snapshots, written by
    :meth:`lagoonring.leases.Lease.append_snapshot` before older records are
    truncated.
    """

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Fold a valid data record."""

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Replace all data with the parts of a snapshot; clear it if there are none."""


@attrs.frozen
class AppendResult:
    """Offset at which an appended record was read back, and whether it is valid."""

    offset: int
    counts: bool


class LeaseStream:
    """Reader of the stream of one lease.

    Parameters
    ----------
    log : Log
        The platform's log.
    stream : str
        Name of the stream.
    clock : Clock
        Source of the time at which a renewal is seen.
    data : GuardedData or None
        State guarded by the lease.

    Attributes
    ----------
    renewal_seen_s : float
        Monotonic time at which the newest renewal was read.
    time_s : float
        Log timestamp of the newest record.
    snapshot_time_s : float
        Log timestamp of the newest snapshot, or of the first record read if
        there was none.
    restored_s : float
        Boot time at which the log was found to have returned from an older copy.
        What was written shortly before may be lost, or known to other readers only.
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
        self.renewal_seen_s = clock.boottime()
        self.time_s = 0.0
        self.snapshot_time_s = 0.0
        self.is_at_end = False
        self.restored_s = float("-inf")
        self.append_results: dict[str, AppendResult | None] = {}

    async def read_next(self, wait_s: float = 0.0) -> int:
        """Read and fold the next records; return their number.

        If the next records were truncated, the restart from a checkpoint counts as
        one record, since more must be read.

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
            await self._restart_from_checkpoint(error.first_offset)
            self.is_at_end = False
            return 1
        self.first_offset = page.first_offset
        for record in page.records:
            if record.offset >= self.next_offset:
                self._fold(record)
        self.is_at_end = self.next_offset >= page.next_offset
        if not self.state.is_known and self._has_checkpoint(page):
            await self._restart_from_checkpoint(self.first_offset)
            self.is_at_end = False
        return len(page.records)

    async def read_to_end(self) -> None:
        """Read up to the current end of the stream."""
        while await self.read_next() and not self.is_at_end:
            continue

    async def read_past(self, offset: int) -> None:
        """Read until the record at ``offset`` has been folded."""
        while self.next_offset <= offset:
            await self.read_next(READ_BACK_WAIT_S)

    async def _read(self, from_offset: int, *, wait_s: float = 0.0) -> Page:
        # Small pages, because a record may have hundreds of kilobytes.
        return await self.log.read(
            self.stream, from_offset, limit=N_RECORDS_PER_READ, wait_s=wait_s
        )

    def _has_checkpoint(self, page: Page) -> bool:
        decoded = (decode_record(record.data) for record in page.records)
        return any(
            record is not None and _is_checkpoint(record, self.first_offset)
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
            logger.warning(
                "Skipped undecodable record of {} at offset {}.",
                self.stream,
                record.offset,
            )
            return
        before = self.state
        self.state, is_valid = fold(before, decoded, record.offset)
        if is_overtaken(before, decoded):
            logger.info(
                "Ignored a record that was appended late.",
                extra={
                    "stream": self.stream,
                    "offset": record.offset,
                    "number": decoded.number,
                    "newest_number": before.number,
                },
            )
        if self.state.renewal != before.renewal:
            self.renewal_seen_s = self.clock.boottime()
        if not self.state.is_known:
            self.renewal_seen_s = self.clock.boottime()
        if is_valid and decoded.kind == "data" and self.data is not None:
            self.data.on_data(record.offset, record.time_s, decoded.payload)
        if decoded.token in self.append_results:
            self.append_results[decoded.token] = AppendResult(record.offset, is_valid)

    async def _restart_from_checkpoint(self, first_offset: int) -> None:
        """Restore the newest state and snapshot that the log still has.

        Without a snapshot, reading restarts at the oldest checkpoint, so that the data
        contains all records that are still there. After a return of the log from an
        older copy, data that were read before are kept: the log has lost them.
        """
        is_restored = generation_of(first_offset) > generation_of(self.next_offset)
        scan = await self._scan_records(first_offset)
        self.renewal_seen_s = self.clock.boottime()
        if is_restored:
            self.restored_s = self.renewal_seen_s
        parts = scan.find_parts(self.first_offset)
        checkpoint = parts[0] if parts else scan.find_checkpoint(self.first_offset)
        if checkpoint is None:
            self.state = make_unknown_state(self.first_offset)
            self.next_offset = self.first_offset
        else:
            assert checkpoint.state is not None
            self.state = checkpoint.state
            self.next_offset = checkpoint.at
        if self.data is not None and (parts or not is_restored):
            if not parts:
                logger.error("No snapshot of {} found; data starts empty.", self.stream)
            self.data.restore([part.payload for part in parts])

    async def _scan_records(self, first_offset: int) -> _CheckpointScan:
        scan = _CheckpointScan()
        self.first_offset = first_offset
        page = await self._read(first_offset)
        while page.records:
            for record in page.records:
                decoded = decode_record(record.data)
                if decoded is not None and decoded.at <= record.offset:
                    scan.add(decoded)
            next_offset = page.records[-1].offset + 1
            page = await self._read(next_offset)
        self.first_offset = max(first_offset, page.first_offset)
        return scan


class _CheckpointScan:
    """Checkpoints and snapshots found while scanning the log.

    A checkpoint is a record that carries a known state.
    """

    def __init__(self) -> None:
        self.checkpoints: list[LeaseRecord] = []
        self.groups: dict[str, dict[int, LeaseRecord]] = {}

    def add(self, record: LeaseRecord) -> None:
        """Keep a record if reading may restart from it."""
        if record.state is None or not record.state.is_known:
            return
        self.checkpoints.append(attrs.evolve(record, payload=NO_PAYLOAD))
        if record.kind != "snapshot":
            return
        group = self.groups.setdefault(record.group, {})
        group[record.part] = record
        if len(group) == record.n_parts:
            self._drop_older(record)

    def find_checkpoint(self, first_offset: int) -> LeaseRecord | None:
        """Return the oldest checkpoint that is usable."""
        usable = [one for one in self.checkpoints if _is_checkpoint(one, first_offset)]
        return min(usable, key=lambda one: one.at, default=None)

    def find_parts(self, first_offset: int) -> list[LeaseRecord]:
        """Return the parts of the newest complete snapshot that is usable.

        Snapshots that refer to records before ``first_offset`` are not usable.
        """
        complete = [
            [group[part] for part in sorted(group)]
            for group in self.groups.values()
            if all(len(group) == record.n_parts for record in group.values())
        ]
        usable = [parts for parts in complete if _is_checkpoint(parts[0], first_offset)]
        return max(usable, key=lambda parts: parts[0].at, default=[])

    def _drop_older(self, record: LeaseRecord) -> None:
        for name, group in list(self.groups.items()):
            if next(iter(group.values())).at < record.at:
                del self.groups[name]


def _is_checkpoint(record: LeaseRecord, first_offset: int) -> bool:
    return (
        record.state is not None and record.state.is_known and record.at >= first_offset
    )
