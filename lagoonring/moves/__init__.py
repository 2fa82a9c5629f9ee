"""Version moves: start beside, judge, ramp, finish or undo."""

from __future__ import annotations

from lagoonring.moves.messages import MoveNotice, MoveRecord
from lagoonring.moves.options import JudgeOptions, MovesOptions
from lagoonring.moves.split import is_on_new
from lagoonring.moves.status import MoveStatus

__all__ = [
    "JudgeOptions",
    "MoveNotice",
    "MoveRecord",
    "MoveStatus",
    "MovesOptions",
    "is_on_new",
]
