"""Moves, counts of versions, and instances that carry moves on."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec

from lagoonring.catalogue import Move
from lagoonring.moves.counts import CellCounts, VersionCounts
from lagoonring.moves.messages import MoveRecord


def make_move(**fields: Any) -> Move:
    """Return an order to move ``guide`` to version 2 by 2000 s."""
    move = Move(entry="guide", to_version="2", deadline_s=2_000.0)
    return attrs.evolve(move, **fields)


def make_record(**fields: Any) -> MoveRecord:
    """Return a record of a move of ``guide`` from version 1 to 2."""
    record = MoveRecord(
        key="m-1",
        name="m",
        entry="guide",
        from_version="1",
        to_version="2",
        deadline_s=2_000.0,
        phase="loading",
    )
    return attrs.evolve(record, **fields)


def make_payload(value: Any) -> msgspec.Raw:
    """Return a value as the stream holds it."""
    return msgspec.Raw(msgspec.json.encode(value))


def make_counts(
    *, share: float, bad: tuple[int, int], started_s: float = 0.0
) -> VersionCounts:
    """Return totals of one cell with failures of old and new version."""
    cell = CellCounts(
        n_old=1000, n_new=20, bad_old=[bad[0], 0, 0], bad_new=[bad[1], 0, 0]
    )
    return VersionCounts(
        move="m", started_s=started_s, share=share, cells={"plan|0": cell}
    )
