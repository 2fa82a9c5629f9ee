"""Records of the stream ``config``: edits and snapshots.

Each record is one JSON object, a :class:`ConfigRecord` with either an edit or a
snapshot.
"""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import msgspec

from lagoonring.errors import InvalidInputError

STREAM = "config"
EDIT_LIMIT_BYTES = 256 * 1024
MAX_ID_LENGTH = 64
MAX_AUTHOR_LENGTH = 64
DIGEST_BYTES = 8
MAX_NESTING_LEVELS = 16
INTEGER_LIMIT = 1 << 63


class EditTooLargeError(InvalidInputError):
    """An edit exceeds the size limit of one edit."""

    code = "edit_too_large"
    status = 413


@attrs.frozen(kw_only=True)
class Change:
    """Replacement or removal of one item of a section.

    ``item`` is the complete new item as plain JSON; None removes it.
    """

    section: str
    name: str
    item: dict[str, Any] | None = None

    @property
    def path(self) -> str:
        """Path of the item, for example ``entries.guide``."""
        return f"{self.section}.{self.name}"


@attrs.frozen(kw_only=True)
class Edit:
    """Changes to one or more items, applied atomically.

    ``edit_id`` is chosen by the author's client and makes the edit idempotent;
    ``base_revision`` is the revision that the author based the edit on.
    """

    edit_id: str
    author: str
    base_revision: int
    changes: list[Change]
    note: str = ""


@attrs.frozen
class LastChange:
    """Revision and author of the last change to an item."""

    revision: int
    author: str


@attrs.frozen
class EditResult:
    """Result of a recent edit, kept to answer retries with the same edit id.

    ``revision`` is the new revision or, in a conflict, the conflicting one.
    """

    offset: int
    status: str
    digest: str
    revision: int = -1
    author: str = ""


@attrs.frozen(kw_only=True)
class Snapshot:
    """The catalogue state before the record at ``next_offset``."""

    next_offset: int
    revision: int
    content: dict[str, Any]
    touched: dict[str, LastChange]
    floor_revision: int
    marks: dict[str, EditResult]


@attrs.frozen(kw_only=True)
class ConfigRecord:
    """Record of the stream ``config``; exactly one of the fields is set."""

    edit: Edit | None = None
    snapshot: Snapshot | None = None


def encode_edit(edit: Edit) -> str:
    """Return an edit encoded as a record of the stream.

    Raises
    ------
    EditTooLargeError
        If the record exceeds :data:`EDIT_LIMIT_BYTES`.
    """
    data = msgspec.json.encode(ConfigRecord(edit=edit))
    if len(data) > EDIT_LIMIT_BYTES:
        raise EditTooLargeError(
            f"Got an edit of {len(data)} bytes, expected at most {EDIT_LIMIT_BYTES}.",
            remedy="Split it into several edits.",
        )
    return data.decode()


def encode_snapshot(snapshot: Snapshot) -> str:
    """Return a snapshot encoded as a record of the stream."""
    return msgspec.json.encode(ConfigRecord(snapshot=snapshot)).decode()


def decode_record(data: str) -> ConfigRecord | None:
    """Decode a record; return None if it is malformed or of an unknown format.

    The result depends only on the record, so all readers skip the same records.
    """
    try:
        record = msgspec.json.decode(data, type=ConfigRecord)
        if (record.edit is None) == (record.snapshot is None):
            return None
        if record.edit is not None:
            _check_edit(record.edit, data)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError):
        return None
    return record


def _check_edit(edit: Edit, data: str) -> None:
    if len(data.encode()) > EDIT_LIMIT_BYTES:
        raise ValueError("edit exceeds the size limit")
    if not all(_is_plain(change.item, MAX_NESTING_LEVELS) for change in edit.changes):
        raise ValueError("item is nested too deeply or has an integer out of range")
    digest_changes(edit)


def _is_plain(value: Any, n_levels: int) -> bool:
    if isinstance(value, int):
        return -INTEGER_LIMIT <= value < INTEGER_LIMIT
    if not isinstance(value, dict | list):
        return True
    if n_levels == 0:
        return False
    inner = value.values() if isinstance(value, dict) else value
    return all(_is_plain(item, n_levels - 1) for item in inner)


def digest_changes(edit: Edit) -> str:
    """Return a digest that distinguishes different edits with the same id."""
    data = msgspec.json.encode(edit, order="sorted")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
