"""Request and response bodies of the administration API."""

from __future__ import annotations

from typing import Any

import attrs

from lagoonring.catalogue.edits import Change


@attrs.frozen(kw_only=True)
class EditOrder:
    """Request to edit the catalogue; the author is the owner of the token."""

    edit_id: str
    base_revision: int
    changes: list[Change]
    note: str = ""


@attrs.frozen(kw_only=True)
class MoveOrder:
    """Request to move an entry to a version within ``deadline_in_s`` seconds.

    An order may be retried with the same ``move_id``.
    """

    move_id: str
    entry: str
    to_version: str
    deadline_in_s: float


@attrs.frozen(kw_only=True)
class AppliedEdit:
    """Response to an edit: the revision from which on it is in force."""

    revision: int


@attrs.frozen(kw_only=True)
class ConfigView:
    """Content of the catalogue in force, as plain JSON, and its revision."""

    revision: int
    content: dict[str, Any]


@attrs.frozen(kw_only=True)
class EditView:
    """Edit in the log, with the status of its verdict."""

    revision: int
    time_s: float
    author: str
    status: str
    items: list[str]
    note: str = ""


@attrs.frozen(kw_only=True)
class MemberView:
    """Cluster member with its state as seen by this instance."""

    instance: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    state: str
