"""Recorded answers, read from the log by offset through an LRU cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from lagoonring.claims.records import ClaimBatch, StoredAnswer
from lagoonring.leases.records import decode_record
from lagoonring.platform.log import LogTruncatedError, LogUnavailableError

if TYPE_CHECKING:
    from lagoonring.claims.table import Row
    from lagoonring.platform.log import Log

ENTRY_OVERHEAD_BYTES = 300


class AnswerCache:
    """Least-recently-used cache of recorded answers in front of the log.

    Parameters
    ----------
    log : Log
        The platform's log.
    n_bytes_most : int
        Maximum size of the cache.
    """

    def __init__(self, log: Log, n_bytes_most: int) -> None:
        self.log = log
        self.n_bytes_most = n_bytes_most
        self.n_bytes = 0
        self.answers: OrderedDict[tuple[str, int, int], StoredAnswer] = OrderedDict()

    async def read(self, stream: str, row: Row) -> StoredAnswer:
        """Return the answer that a row refers to.

        The answer has no body if the log has truncated the record or can't be
        reached.
        """
        location = (stream, row.offset, row.index)
        answer = self.answers.get(location)
        if answer is not None:
            self.answers.move_to_end(location)
            return answer
        answer = await self._read_log(stream, row)
        if answer is None:
            return StoredAnswer(status=row.http_status)
        self._store(location, answer)
        return answer

    async def _read_log(self, stream: str, row: Row) -> StoredAnswer | None:
        try:
            page = await self.log.read(stream, row.offset, limit=1)
        except (LogTruncatedError, LogUnavailableError):
            return None
        if not page.records or page.records[0].offset != row.offset:
            return None
        record = decode_record(page.records[0].data)
        if record is None:
            return None
        try:
            batch = msgspec.json.decode(record.payload, type=ClaimBatch)
            return batch.items[row.index].answer
        except (msgspec.MsgspecError, IndexError):
            return None

    def _store(self, location: tuple[str, int, int], answer: StoredAnswer) -> None:
        self.answers[location] = answer
        self.n_bytes += _count_bytes(answer)
        while self.n_bytes > self.n_bytes_most and self.answers:
            _, oldest = self.answers.popitem(last=False)
            self.n_bytes -= _count_bytes(oldest)


def _count_bytes(answer: StoredAnswer) -> int:
    return ENTRY_OVERHEAD_BYTES + len(answer.body or b"")
