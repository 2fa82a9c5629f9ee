"""The audit trail: a stream of the platform's log.

Records are queued and appended in order by one task, so that no operator waits
for it. While the log is out they stay queued; the queue is bounded, and what it
drops is counted in the next record.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from lagoonring.audit.messages import STREAM, AuditRecord
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.platform import LogAnswerLostError, LogTruncatedError
from lagoonring.platform.log import LogUnavailableError

if TYPE_CHECKING:
    from lagoonring.kernel import Application

N_QUEUED_MOST = 1000
RETRY_S = 1.0
PAGE_RECORDS = 200

logger = make_logger("audit")


class AuditService(BaseService):
    """Writes and reads the audit trail.

    Parameters
    ----------
    app : Application
        Finds ``log``; gives clock and random source.
    instance : str
        Named in every record.
    """

    name = "audit"

    def __init__(self, app: Application, instance: str) -> None:
        self.app = app
        self.instance = instance
        self.queue: deque[AuditRecord] = deque()
        self.n_dropped = 0
        self.added = asyncio.Event()
        self.written = asyncio.Event()
        self.written.set()

    async def start(self) -> None:
        """Begin to append."""
        self.app.spawn("audit", self._run)

    async def drain(self, grace_s: float) -> None:
        """Wait until the queue has been appended."""
        try:
            async with asyncio.timeout(min(grace_s, 2 * RETRY_S)):
                await self.written.wait()
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
        """Add a record to the trail."""
        if len(self.queue) >= N_QUEUED_MOST:
            self.queue.popleft()
            self.n_dropped += 1
        self.queue.append(
            AuditRecord(
                audit_id=f"{self.app.rng.getrandbits(64):016x}",
                time_s=self.app.clock.time(),
                instance=self.instance,
                actor=actor,
                action=action,
                target=target,
                outcome=outcome,
                detail=detail,
            )
        )
        self.written.clear()
        self.added.set()

    async def read(
        self, *, n_most: int = PAGE_RECORDS, actor: str = "", action: str = ""
    ) -> list[AuditRecord]:
        """Return the newest records, oldest first, each id once."""
        log = self.app.find("log")
        found: dict[str, AuditRecord] = {}
        offset = 0
        while True:
            try:
                page = await log.read(STREAM, offset)
            except LogTruncatedError as error:
                offset = error.first_offset
                continue
            if offset == 0 and page.next_offset > PAGE_RECORDS * 10:
                offset = max(page.first_offset, page.next_offset - PAGE_RECORDS * 10)
                continue
            for record in page.records:
                entry = _decode(record.data)
                if entry is None or (actor and entry.actor != actor):
                    continue
                if not action or entry.action.startswith(action):
                    found.setdefault(entry.audit_id, entry)
            offset += len(page.records)
            if not page.records or offset >= page.next_offset:
                return list(found.values())[-n_most:]

    async def _run(self) -> None:
        log = self.app.find("log")
        while True:
            if not self.queue:
                self.written.set()
                self.added.clear()
                await self.added.wait()
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


def _decode(data: str) -> AuditRecord | None:
    try:
        return msgspec.json.decode(data, type=AuditRecord)
    except msgspec.MsgspecError:
        return None
