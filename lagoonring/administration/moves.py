"""Validation of move orders before they are written to the catalogue.

The instance that holds the duty of moves validates each order again before it starts
the move. The checks here refuse the same orders, so that operators get the error.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.catalogue import Move
from lagoonring.catalogue.edits import Change
from lagoonring.errors import LagoonringError
from lagoonring.moves.messages import FINAL_PHASES
from lagoonring.moves.schedule import DeadlineTooNearError, least_time_s
from lagoonring.settings import to_plain

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonring.administration.messages import MoveOrder
    from lagoonring.catalogue import CatalogueContent
    from lagoonring.moves.options import MovesOptions
    from lagoonring.moves.status import MoveStatus


DEADLINE_MOST_S = 31 * 86_400.0


class DeadlineTooFarError(LagoonringError, ValueError):
    """The deadline of a move is further away than permitted."""

    code = "deadline_too_far"
    status = 400


class UnknownMoveError(LagoonringError, LookupError):
    """The catalogue has no move with this name."""

    code = "unknown_move"
    status = 404


class MoveIdUsedError(LagoonringError):
    """The name is that of another move or of one that has ended."""

    code = "move_id_used"
    status = 409


class MoveInProgressError(LagoonringError):
    """Another move of the entry is in progress."""

    code = "move_in_progress"
    status = 409


class VersionInForceError(LagoonringError):
    """The entry is already at the requested version."""

    code = "version_in_force"
    status = 409


class MoveEndedError(LagoonringError):
    """The move has ended and can no longer be cancelled."""

    code = "move_ended"
    status = 409


def is_repeated(
    order: MoveOrder,
    content: CatalogueContent,
    moves: Iterable[MoveStatus],
    author: str,
) -> bool:
    """Return whether the catalogue has the same order and it has not ended.

    Raises
    ------
    MoveIdUsedError
        If another order has the same name, or the move has ended.
    """
    known = content.moves.get(order.move_id)
    if known is None:
        return False
    is_same = (known.entry, known.to_version, known.ordered_by) == (
        order.entry,
        order.to_version,
        author,
    )
    phase = find_phase(order.move_id, content, moves)
    if is_same and not known.cancelled and phase not in FINAL_PHASES:
        return True
    raise MoveIdUsedError(
        f"Got move id {order.move_id[:80]!r}, which is that of a move of "
        f"{known.entry} to {known.to_version}, {phase or 'ordered'}, expected a "
        "new one.",
        remedy="Give another --move-id, or none.",
    )


def find_phase(
    name: str, content: CatalogueContent, moves: Iterable[MoveStatus]
) -> str:
    """Return the phase of a move in the catalogue, or "" if it is unknown.

    Deadlines are compared too, since a status may be that of an earlier order with
    the same name, which had another deadline.
    """
    known = content.moves.get(name)
    for move in moves:
        if known and (move.name, move.deadline_s) == (name, known.deadline_s):
            return move.phase
    return ""


def check_order(
    order: MoveOrder,
    content: CatalogueContent,
    moves: Iterable[MoveStatus],
    options: MovesOptions,
) -> None:
    """Check an order as the holder of the duty of moves does.

    Raises
    ------
    DeadlineTooFarError
        If the deadline is more than :data:`DEADLINE_MOST_S` away.
    DeadlineTooNearError
        If it leaves too little time for loading, trial, ramp and a possible undo.
    VersionInForceError
        If the entry is already at the version.
    MoveInProgressError
        If another move of the entry has not ended.
    """
    least_s = least_time_s(options)
    if order.deadline_in_s > DEADLINE_MOST_S:
        raise DeadlineTooFarError(
            f"Got {order.deadline_in_s:g} s until the deadline, expected at most "
            f"{DEADLINE_MOST_S:.0f} s.",
            remedy="Give an earlier deadline with --within.",
        )
    if order.deadline_in_s < least_s:
        raise DeadlineTooNearError(
            f"Got {order.deadline_in_s:g} s until the deadline, expected at least "
            f"{least_s:.0f} s.",
            remedy="Give a later deadline with --within.",
        )
    entry = content.entries.get(order.entry)
    if entry is not None and entry.version == order.to_version:
        raise VersionInForceError(
            f"Got an order to move {order.entry} to version {order.to_version}, "
            "expected another version than the one in force.",
            remedy="See 'lagoonring config show' for the entry's versions.",
        )
    for other in moves:
        if other.entry == order.entry and other.phase not in FINAL_PHASES:
            raise MoveInProgressError(
                f"Got an order for {order.entry} while move {other.name} is "
                f"{other.phase}, expected none in progress.",
                remedy=f"Wait for it, or run 'lagoonring move cancel {other.name}'.",
            )


def make_move(
    order: MoveOrder, content: CatalogueContent, *, author: str, now_s: float
) -> Change:
    """Return the change that adds a move order to the catalogue."""
    entry = content.entries.get(order.entry)
    move = Move(
        entry=order.entry,
        to_version=order.to_version,
        from_version=entry.version if entry else "",
        deadline_s=now_s + order.deadline_in_s,
        ordered_by=author,
    )
    return Change(section="moves", name=order.move_id, item=to_plain(move))


def make_cancellation(
    name: str, content: CatalogueContent, moves: Iterable[MoveStatus]
) -> Change:
    """Return the change that cancels a move.

    Raises
    ------
    UnknownMoveError
        If the catalogue has no move with this name.
    MoveEndedError
        If the move was finished, undone or refused.
    """
    move = content.moves.get(name)
    if move is None:
        known = ", ".join(sorted(content.moves)) or "none"
        raise UnknownMoveError(
            f"Got move {name[:80]!r}, expected one of: {known}.",
            remedy="See 'lagoonring move status'.",
        )
    phase = find_phase(name, content, moves)
    if phase in FINAL_PHASES:
        raise MoveEndedError(
            f"Got move {name[:80]!r}, which is {phase}, expected one in progress.",
            remedy="To go back to the old version, order a move to it.",
        )
    item = to_plain(attrs.evolve(move, cancelled=True))
    return Change(section="moves", name=name, item=item)
