"""Status of version moves as shown to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.catalogue.entries import Move
    from lagoonring.moves.comparison import Comparison
    from lagoonring.moves.messages import MoveRecord

ORDERED_PHASE = "ordered"


@attrs.frozen(kw_only=True)
class MoveStatus:
    """Status of a move, with the number of compared results of both versions."""

    name: str
    entry: str
    phase: str
    share: float
    from_version: str
    to_version: str
    deadline_s: float
    reason: str
    n_old: int
    n_new: int
    finding: str


def describe(
    record: MoveRecord, *, comparison: Comparison | None, finding: str
) -> MoveStatus:
    """Return the status of a move; ``comparison`` is that of its entry, if any."""
    n_old = n_new = 0
    if comparison is not None and comparison.record.key == record.key:
        n_old, n_new = comparison.count_results()
    return MoveStatus(
        name=record.name,
        entry=record.entry,
        phase=record.phase,
        share=record.share,
        from_version=record.from_version,
        to_version=record.to_version,
        deadline_s=record.deadline_s,
        reason=record.reason,
        n_old=n_old,
        n_new=n_new,
        finding=finding,
    )


def describe_ordered(name: str, move: Move) -> MoveStatus:
    """Return the status of a move that no lease holder has started yet."""
    return MoveStatus(
        name=name,
        entry=move.entry,
        phase=ORDERED_PHASE,
        share=0.0,
        from_version=move.from_version,
        to_version=move.to_version,
        deadline_s=move.deadline_s,
        reason="waits for an instance to take it on",
        n_old=0,
        n_new=0,
        finding="",
    )
