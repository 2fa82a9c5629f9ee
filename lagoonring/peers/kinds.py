"""Kinds of rows: their scope and how they are replicated."""

from __future__ import annotations

import enum

import attrs

from lagoonring.peers.errors import UnknownKindError


class Scope(enum.Enum):
    """Scope within which rows of a kind are replicated."""

    DATA_CENTRE = "data_centre"
    FLEET = "fleet"


@attrs.frozen(kw_only=True)
class RowKind:
    """A kind of rows.

    ``code`` identifies the kind in frames. Rows are pushed at once if ``is_urgent``,
    and written at most every ``coalesce_s`` if ``is_coalesced``.
    """

    code: int
    name: str
    scope: Scope = Scope.FLEET
    is_urgent: bool = False
    is_coalesced: bool = False


ALL_KINDS = (
    RowKind(code=1, name="endpoint_load", scope=Scope.DATA_CENTRE, is_coalesced=True),
    RowKind(code=2, name="demand", scope=Scope.DATA_CENTRE, is_coalesced=True),
    RowKind(code=3, name="failing", scope=Scope.DATA_CENTRE),
    RowKind(code=4, name="leaving", is_urgent=True),
    RowKind(code=5, name="verdict", is_urgent=True),
    RowKind(code=6, name="quarantine", is_urgent=True),
    RowKind(code=7, name="config"),
    RowKind(code=8, name="summary", is_coalesced=True),
    RowKind(code=9, name="member_leaving", is_urgent=True),
    RowKind(code=10, name="adopted", is_urgent=True),
    RowKind(code=10, name="adopted", is_urgent=True),
    RowKind(code=11, name="version_counts", is_coalesced=True),
)
KINDS_BY_NAME = {kind.name: kind for kind in ALL_KINDS}
KINDS_BY_CODE = {kind.code: kind for kind in ALL_KINDS}


def find_kind(name: str) -> RowKind:
    """Return the row kind with the given name.

    Raises
    ------
    UnknownKindError
        If there is no such kind.
    """
    try:
        return KINDS_BY_NAME[name]
    except KeyError:
        known = ", ".join(sorted(KINDS_BY_NAME))
        raise UnknownKindError(
            f"Got row kind {name!r}, expected one of: {known}.",
            remedy="Use a known kind, or add one to lagoonring/peers/kinds.py.",
        ) from None
