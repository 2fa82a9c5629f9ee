"""Version moves: run the new version beside the old, compare, ramp, finish or undo."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.lazy import load_lazily

if TYPE_CHECKING:
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

__getattr__ = load_lazily(
    __name__,
    {
        "messages": (
            "MoveNotice",
            "MoveRecord",
        ),
        "options": (
            "JudgeOptions",
            "MovesOptions",
        ),
        "split": ("is_on_new",),
        "status": ("MoveStatus",),
    },
)
