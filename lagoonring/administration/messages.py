"""What operators send and get over the administration API."""

from __future__ import annotations

from typing import Any

import attrs

from lagoonring.catalogue.edits import Change


@attrs.frozen(kw_only=True)
class EditOrder:
    """An edit as an operator sends it; the author is the token's owner."""

    edit_id: str
    base_revision: int
    changes: list[Change]
    note: str = ""


@attrs.frozen(kw_only=True)
class MoveOrder:
    """An order to move an entry to a version within ``deadline_in_s`` seconds.

    The same order may be sent again under its ``move_id``.
    """

    move_id: str
    entry: str
    to_version: str
    deadline_in_s: float


@attrs.frozen(kw_only=True)
class AppliedEdit:
    """An edit is in force from this revision on."""

    revision: int


@attrs.frozen(kw_only=True)
class ConfigView:
    """The catalogue in force, as plain JSON."""

    revision: int
    content: dict[str, Any]


@attrs.frozen(kw_only=True)
class EditView:
    """An edit in the log, and whether it was applied."""

    revision: int
    time_s: float
    author: str
    status: str
    items: list[str]
    note: str = ""


@attrs.frozen(kw_only=True)
class MemberView:
    """A member as this instance sees it."""

    instance: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    state: str
