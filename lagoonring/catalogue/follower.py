"""Follower that replays the stream ``config`` into the catalogue state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.catalogue.edits import STREAM, ConfigRecord, Snapshot, decode_record
from lagoonring.catalogue.state_machine import (
    CatalogueState,
    Verdict,
    fold,
    restore_snapshot,
)
from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.platform.log import LogTruncatedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.catalogue.metrics import CatalogueMetrics
    from lagoonring.platform.log import Log, Page, Record

    OnVerdict = Callable[[ConfigRecord, Verdict], None]

N_RECORDS_PER_READ = 32

logger = make_logger("catalogue")


class NoSnapshotError(LagoonringError, LookupError):
    """The log is truncated and contains no usable snapshot."""

    code = "no_snapshot"
    status = 503


class ConfigFollower:
    """Reads the stream and maintains the state of the catalogue.

    Parameters
    ----------
    log : Log
        Log of the platform.
    on_verdict : callable
        Called with each decoded record and its verdict.
    metrics : CatalogueMetrics
        Receives counts of the edits read and of skipped records.

    Attributes
    ----------
    state : CatalogueState
        State before the record at ``state.next_offset``.
    is_started : bool
        Whether the state was read from the log or a snapshot. Before that it is
        empty and must not be used.
    snapshot_offset : int
        Highest ``next_offset`` of the snapshots read; -1 if none.
    """

    def __init__(
        self, log: Log, on_verdict: OnVerdict, metrics: CatalogueMetrics
    ) -> None:
        self.log = log
        self.on_verdict = on_verdict
        self.metrics = metrics
        self.state = CatalogueState()
        self.is_started = False
        self.snapshot_offset = -1
        self.first_offset = 0
        self.is_log_behind = False

    async def poll(self, wait_s: float) -> int:
        """Read and apply the next records; return their number.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        NoSnapshotError
            If the next record was truncated and the log has no newer snapshot.
        """
        try:
            page = await self._read_next(wait_s)
        except LogTruncatedError:
            await self._restore_newest_snapshot()
            return 1
        self._update_bounds(page)
        self.is_started = True
        for record in page.records:
            self._fold(record)
        return len(page.records)

    def restore(self, snapshot: Snapshot) -> bool:
        """Restore a snapshot if it is newer than the state; return whether it was.

        Raises
        ------
        FaultyDocumentError
            If its content is not valid for this version.
        """
        if self.is_started and snapshot.next_offset <= self.state.next_offset:
            return False
        self.state = restore_snapshot(snapshot)
        self.is_started = True
        self.metrics.revision.set(self.state.revision)
        return True

    async def _read_next(self, wait_s: float) -> Page:
        from_offset = self.state.next_offset
        page = await self._read(from_offset, wait_s)
        # A log may return its oldest records instead of a truncation error.
        if page.first_offset > from_offset:
            raise LogTruncatedError(STREAM, from_offset, page.first_offset)
        return page

    async def _restore_newest_snapshot(self) -> None:
        newest = await self._find_snapshot()
        if newest is None or not self.restore(newest):
            raise NoSnapshotError(
                f"Got first offset {self.first_offset} of stream {STREAM} without a "
                f"usable snapshot, expected offset {self.state.next_offset} or a "
                "snapshot.",
                remedy="Wait for a peer that has the content; if none is left, "
                "append the content as a new edit.",
            )
        logger.info("Restored the snapshot at offset {}.", newest.next_offset)

    async def _find_snapshot(self) -> Snapshot | None:
        page = await self._read_first()
        newest: Snapshot | None = None
        while page.records:
            for record in page.records:
                snapshot = _read_snapshot(record)
                if snapshot is not None and _is_newer_than(snapshot, newest):
                    newest = snapshot
            page = await self._read(page.records[-1].offset + 1)
        self._update_bounds(page)
        if newest is None or newest.next_offset < self.first_offset:
            return None
        self.snapshot_offset = max(self.snapshot_offset, newest.next_offset)
        return newest

    async def _read_first(self) -> Page:
        try:
            return await self._read(0)
        except LogTruncatedError as error:
            self.first_offset = error.first_offset
            return await self._read(error.first_offset)

    async def _read(self, from_offset: int, wait_s: float = 0.0) -> Page:
        # Small pages, since a record may be hundreds of kilobytes.
        return await self.log.read(
            STREAM, from_offset, limit=N_RECORDS_PER_READ, wait_s=wait_s
        )

    def _update_bounds(self, page: Page) -> None:
        self.first_offset = page.first_offset
        is_short = page.next_offset < self.state.next_offset
        if is_short and not self.is_log_behind:
            logger.error(
                "The log ends at offset {}, before offset {}, the next to read.",
                page.next_offset,
                self.state.next_offset,
            )
        self.is_log_behind = is_short

    def _fold(self, record: Record) -> None:
        if record.offset < self.state.next_offset:
            return
        decoded = decode_record(record.data)
        if decoded is None:
            self._skip_record(record, "malformed or of an unknown format")
            return
        snapshot = decoded.snapshot
        if snapshot is not None and snapshot.next_offset <= record.offset:
            self.snapshot_offset = max(self.snapshot_offset, snapshot.next_offset)
        try:
            self.state, verdict = fold(self.state, decoded, record.offset)
        except Exception as error:
            self._skip_record(record, repr(error))
            return
        self.metrics.revision.set(self.state.revision)
        if decoded.edit is not None:
            self.metrics.edits.labels(verdict.status).inc()
        self.on_verdict(decoded, verdict)

    def _skip_record(self, record: Record, reason: str) -> None:
        self.metrics.skipped.inc()
        logger.warning("Skipped the record at offset {}: {}.", record.offset, reason)
        self.state = attrs.evolve(self.state, next_offset=record.offset + 1)


def _read_snapshot(record: Record) -> Snapshot | None:
    decoded = decode_record(record.data)
    if decoded is None or decoded.snapshot is None:
        return None
    snapshot = decoded.snapshot
    if snapshot.next_offset > record.offset:
        return None
    try:
        restore_snapshot(snapshot)
    except LagoonringError as error:
        logger.warning("Ignored the snapshot at offset {}: {}", record.offset, error)
        return None
    return snapshot


def _is_newer_than(snapshot: Snapshot, other: Snapshot | None) -> bool:
    return other is None or snapshot.next_offset > other.next_offset
