"""Charges: the usage of each organisation, recorded in the log exactly once.

Every instance sums up its finished requests and appends the sums at intervals.
If the answer to an append was lost, the log is searched for the batch's id before
anything else is appended, so that no batch is recorded twice. Readers also skip
batch ids that they have already seen.
"""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import attrs
import msgspec

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.platform import (
    LogAnswerLostError,
    LogTruncatedError,
    LogUnavailableError,
)

if TYPE_CHECKING:
    from lagoonring.kernel import Application
    from lagoonring.platform import Log

LOG_STREAM = "charges"
APPEND_INTERVAL_S = 10.0

logger = make_logger("charges")


@attrs.define
class Usage:
    """Usage of one entry by one organisation; ``cost`` is at the entry's prices."""

    n_requests: int = 0
    n_tokens: int = 0
    cost: float = 0.0


@attrs.frozen(kw_only=True)
class ChargeBatch:
    """A record of the log stream ``charges``, with usage by ``organisation/entry``."""

    batch_id: str
    instance: str
    usage: dict[str, Usage]


class ChargesService(BaseService):
    """Sums up usage and appends it to the log at intervals.

    Parameters
    ----------
    app : Application
        Provides the service ``log``.
    instance : str
        Name of this instance, recorded in each batch.
    """

    name = "charges"

    def __init__(self, app: Application, instance: str) -> None:
        self.app = app
        self.instance = instance
        self.usage: dict[str, Usage] = {}
        self.pending: ChargeBatch | None = None
        self.from_offset = 0

    async def start(self) -> None:
        """Start the task that appends at intervals."""
        self.app.spawn("charges", self._run)

    async def drain(self, grace_s: float) -> None:
        """Append the remaining usage."""
        await self.flush()

    def add(self, organisation: str, entry: str, n_tokens: int, cost: float) -> None:
        """Add one finished request to the usage."""
        usage = self.usage.setdefault(f"{organisation}/{entry}", Usage())
        usage.n_requests += 1
        usage.n_tokens += n_tokens
        usage.cost += cost

    async def flush(self) -> bool:
        """Append the pending usage; return whether all of it is in the log."""
        log = self.app.find("log")
        try:
            if self.pending and await self._is_appended(log, self.pending):
                self.pending = None
            if self.pending is None and not self.usage:
                return True
            if self.pending is None:
                self.pending = self._next_batch()
            record = msgspec.json.encode(self.pending).decode()
            self.from_offset = await log.append(LOG_STREAM, record) + 1
        except (LogUnavailableError, LogAnswerLostError) as error:
            logger.warning("Appending charges failed, will retry: {}.", error.code)
            return False
        self.pending = None
        return not self.usage or await self.flush()

    async def _run(self) -> None:
        while True:
            await self.app.clock.sleep(APPEND_INTERVAL_S)
            await self.flush()

    def _next_batch(self) -> ChargeBatch:
        usage = self.usage
        self.usage = {}
        batch_id = uuid.UUID(int=self.app.rng.getrandbits(128), version=4).hex
        return ChargeBatch(batch_id=batch_id, instance=self.instance, usage=usage)

    async def _is_appended(self, log: Log, batch: ChargeBatch) -> bool:
        """Return whether the log holds a batch whose append was not answered."""
        offset = self.from_offset
        while True:
            try:
                page = await log.read(LOG_STREAM, offset)
            except LogTruncatedError as error:
                offset = error.first_offset
                continue
            if any(f'"{batch.batch_id}"' in record.data for record in page.records):
                return True
            offset += len(page.records)
            if not page.records or offset >= page.next_offset:
                return False
