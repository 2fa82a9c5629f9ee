"""Comparison of the versions of one move: own totals and the sequential test."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lagoonring.moves.counts import (
    CountsRow,
    ResultCounter,
    Sample,
    VersionCounts,
    pack,
)
from lagoonring.moves.judge import Judge

if TYPE_CHECKING:
    from lagoonring.moves.messages import MoveRecord
    from lagoonring.moves.options import JudgeOptions


class Comparison:
    """Counts own results and compares the versions by those of all instances.

    Parameters
    ----------
    record : MoveRecord
        The move; replaced as its phase changes.
    targets_s : tuple of float
        Class targets of first token and between tokens, in seconds.
    started_s : float
        Epoch seconds; distinguishes these totals from those of an earlier process.
    options : JudgeOptions
        Margins and limits.
    """

    def __init__(
        self,
        record: MoveRecord,
        *,
        targets_s: tuple[float, float],
        started_s: float,
        options: JudgeOptions,
    ) -> None:
        self.record = record
        self.counts = VersionCounts(move=record.key, started_s=started_s)
        self.counter = ResultCounter(
            self.counts,
            targets_s=targets_s,
            n_routes=options.n_routes,
            n_reference=options.n_reference,
        )
        self.judge = Judge(record.key, options)
        self.published = b""

    def compares(self, version: str) -> bool:
        """Return whether a version is one of the two that are compared."""
        return version in (self.record.from_version, self.record.to_version)

    def add(self, sample: Sample) -> None:
        """Count a result of this instance."""
        self.counter.add(sample)

    def merge(self, origin: str, counts: VersionCounts) -> None:
        """Merge an instance's totals."""
        self.judge.merge(origin, counts)

    def next_row(self) -> CountsRow | None:
        """Return the totals to publish, or None if unchanged since the last call."""
        row = pack(self.counts)
        data = msgspec.msgpack.encode(row)
        if data == self.published:
            return None
        self.published = data
        return row

    def n_published_bytes(self) -> int:
        """Return the size, in bytes, of the last published totals."""
        return len(self.published)

    def count_results(self) -> tuple[int, int]:
        """Return the result counts of old and new version.

        They cover all instances whose totals are known here.
        """
        n_old = n_new = 0
        for _, cells in self.judge.totals.values():
            n_old += sum(cell.n_old for cell in cells.values())
            n_new += sum(cell.n_new for cell in cells.values())
        return n_old, n_new
