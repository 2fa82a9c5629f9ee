"""Orders of version moves: what is checked before one goes into the catalogue.

The holder of the moves judges each order again when it takes it on; what is
refused here is what would be refused there.
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
    """The deadline of a move is too far away."""

    code = "deadline_too_far"
    status = 400


class UnknownMoveError(LagoonringError, LookupError):
    """No move has the name asked for."""

    code = "unknown_move"
    status = 404


class MoveIdUsedError(LagoonringError):
    """Another move has the name."""

    code = "move_id_used"
    status = 409


class MoveInProgressError(LagoonringError):
    """Another move of the entry is in progress."""

    code = "move_in_progress"
    status = 409


class VersionInForceError(LagoonringError):
    """The entry has the version already."""

    code = "version_in_force"
    status = 409


class MoveEndedError(LagoonringError):
    """The move has ended and can't be cancelled."""

    code = "move_ended"
    status = 409


def is_repeated(
    order: MoveOrder,
    content: CatalogueContent,
    moves: Iterable[MoveStatus],
    author: str,
) -> bool:
    """Return whether the same order is in the catalogue and has not ended.

    Raises
    ------
    MoveIdUsedError
        If another order has its name, or the move has ended.
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
    """Return how far the move in the catalogue is; "" if that is not known.

    An earlier order of the same name had another deadline.
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
    """Refuse an order that the holder of the moves would refuse.

    Raises
    ------
    DeadlineTooFarError
        If it is more than :data:`DEADLINE_MOST_S` away.
    DeadlineTooNearError
        If loading, trial, ramp and a possible undo don't fit.
    VersionInForceError
        If the entry has the version already.
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
    """Return the change that puts an order into the catalogue."""
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
        If the catalogue has no such move.
    MoveEndedError
        If it was finished, undone or refused.
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
