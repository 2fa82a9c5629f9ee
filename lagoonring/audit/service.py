"""Audit trail, kept as a stream of the platform's log.

One task appends queued records in order, so operators do not wait for the log.
Records stay queued while the log is unavailable. The queue is bounded; the number
of dropped records is recorded once the queue is empty.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from lagoonring.audit.messages import STREAM, AuditRecord
from lagoonring.audit.reader import DecisionReader
from lagoonring.decoding import decode_json
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.platform import LogAnswerLostError, LogTruncatedError
from lagoonring.platform.log import LogUnavailableError

if TYPE_CHECKING:
    from lagoonring.kernel import Application

MAX_QUEUED = 1000
RETRY_S = 1.0
DEFAULT_LIMIT = 200
MAX_RECORDS_READ = 2000
MAX_TEXT_LENGTH = 500

logger = make_logger("audit")


class AuditService(BaseService):
    """Writes and reads the audit trail.

    Parameters
    ----------
    app : Application
        Provides ``log``, clock and random generator.
    instance : str
        Name of this instance, part of each record.
    """

    name = "audit"

    def __init__(self, app: Application, instance: str) -> None:
        self.app = app
        self.instance = instance
        self.queue: deque[AuditRecord] = deque()
        self.n_dropped = 0
        self.decisions = DecisionReader(app)
        self.record_added = asyncio.Event()
        self.queue_flushed = asyncio.Event()
        self.queue_flushed.set()

    async def start(self) -> None:
        """Start the task that appends queued records."""
        self.app.spawn("audit", self._append_queued)

    async def drain(self, grace_s: float) -> None:
        """Wait until the queue is appended, for ``grace_s`` or two retries at most."""
        try:
            async with asyncio.timeout(min(grace_s, 2 * RETRY_S)):
                await self.queue_flushed.wait()
        except TimeoutError:
            logger.warning("Audit records not written: {}.", len(self.queue))

    def record(
        self,
        actor: str,
        action: str,
        target: str = "",
        *,
        outcome: str = "done",
        detail: str = "",
    ) -> None:
        """Queue a record for the audit trail; long texts are truncated."""
        if len(self.queue) >= MAX_QUEUED:
            self.queue.popleft()
            self.n_dropped += 1
        self.queue.append(
            AuditRecord(
                audit_id=f"{self.app.rng.getrandbits(64):016x}",
                time_s=self.app.clock.time(),
                instance=self.instance,
                actor=_truncate(actor),
                action=_truncate(action),
                target=_truncate(target),
                outcome=outcome,
                detail=_truncate(detail),
            )
        )
        self.queue_flushed.clear()
        self.record_added.set()

    async def read(
        self, *, limit: int = DEFAULT_LIMIT, actor: str = "", action: str = ""
    ) -> list[AuditRecord]:
        """Return the newest records without duplicates, oldest first.

        Decisions of moves and fleets are included. The search covers the newest
        :data:`MAX_RECORDS_READ` records of the audit stream and the newest decisions
        of the other streams.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        """
        records = await self._read_trail()
        records += await self.decisions.read()
        matching = [
            record
            for record in records
            if record.action.startswith(action) and actor in ("", record.actor)
        ]
        matching.sort(key=lambda record: record.time_s)
        return matching[-limit:]

    async def _read_trail(self) -> list[AuditRecord]:
        log = self.app.find("log")
        found: dict[str, AuditRecord] = {}
        offset = 0
        is_first = True
        while True:
            try:
                page = await log.read(STREAM, offset)
            except LogTruncatedError as error:
                offset = error.first_offset
                continue
            oldest = max(page.first_offset, page.next_offset - MAX_RECORDS_READ)
            if is_first and offset < oldest:
                is_first = False
                offset = oldest
                continue
            is_first = False
            for record in page.records:
                entry = _decode(record.data)
                if entry is not None:
                    found.setdefault(entry.audit_id, entry)
            offset += len(page.records)
            if not page.records or offset >= page.next_offset:
                return list(found.values())

    async def _append_queued(self) -> None:
        log = self.app.find("log")
        while True:
            if not self.queue:
                self.queue_flushed.set()
                self.record_added.clear()
                await self.record_added.wait()
            record = self.queue[0]
            try:
                await log.append(STREAM, msgspec.json.encode(record).decode())
            except (LogUnavailableError, LogAnswerLostError):
                await self.app.clock.sleep(RETRY_S)
                continue
            if self.queue and self.queue[0] is record:
                self.queue.popleft()
            if self.n_dropped and not self.queue:
                n_dropped, self.n_dropped = self.n_dropped, 0
                self.record("system", "audit.dropped", detail=f"{n_dropped} records")


def _truncate(text: str) -> str:
    """Return a text of bounded length, so that the record fits in the log."""
    if len(text) <= MAX_TEXT_LENGTH:
        return text
    return f"{text[:MAX_TEXT_LENGTH]}... ({len(text)} characters)"


def _decode(data: str) -> AuditRecord | None:
    try:
        return decode_json(data, AuditRecord)
    except msgspec.MsgspecError:
        return None
