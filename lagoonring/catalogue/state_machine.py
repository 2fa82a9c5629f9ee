"""Deterministic state machine that each reader runs over the stream ``config``.

The new state depends only on the old state, the record and its offset, so all
readers reach the same state. An edit based on revision ``r`` is refused if one of
its items changed after ``r``. Concurrent edits of different items are both applied.
"""

from __future__ import annotations

import itertools
from typing import Any, Literal

import attrs
import msgspec

from lagoonring.catalogue.checks import find_reference_faults
from lagoonring.catalogue.edits import (
    MAX_AUTHOR_LENGTH,
    MAX_ID_LENGTH,
    Change,
    ConfigRecord,
    Edit,
    EditResult,
    LastChange,
    Snapshot,
    digest_changes,
)
from lagoonring.catalogue.entries import (
    CatalogueContent,
    Endpoint,
    Entry,
    FleetGoal,
    Move,
    Operator,
    Organisation,
    ServiceClass,
)
from lagoonring.settings.checker import Fault, convert, find_faults, to_plain
from lagoonring.settings.validators import NAME_PATTERN

SECTIONS: dict[str, type] = {
    "organisations": Organisation,
    "operators": Operator,
    "classes": ServiceClass,
    "entries": Entry,
    "endpoints": Endpoint,
    "moves": Move,
    "fleet": FleetGoal,
}
CONTENT_LIMIT_BYTES = 640 * 1024
ITEM_OVERHEAD_BYTES = 64
MAX_MARKS = 1000
MAX_REMOVED = 1000

Status = Literal["applied", "conflict", "invalid", "duplicate", "snapshot"]


@attrs.frozen
class CatalogueState:
    """State of a reader before the record at ``next_offset``.

    Attributes
    ----------
    revision : int
        Offset of the last edit applied; -1 before the first.
    touched : dict
        Last change of each item by path, including recently removed items.
    floor_revision : int
        Highest revision of a removal that was dropped from ``touched``. An item
        without a recorded change may have been removed up to this revision, so
        edits of it that are based on an earlier one conflict.
    marks : dict
        Results of recent edits by edit id, oldest first.
    n_bytes : int
        Size of the content as counted against ``CONTENT_LIMIT_BYTES``.
    """

    content: CatalogueContent = attrs.field(factory=CatalogueContent)
    revision: int = -1
    next_offset: int = 0
    touched: dict[str, LastChange] = attrs.field(factory=dict)
    floor_revision: int = -1
    marks: dict[str, EditResult] = attrs.field(factory=dict)
    n_bytes: int = 0


@attrs.frozen
class Verdict:
    """Result of applying a record.

    ``revision`` is the new revision of an applied edit or, in a conflict, the one
    that changed the item at ``path``. ``first`` is the result of the earlier edit
    with the same id.
    """

    status: Status
    revision: int = -1
    author: str = ""
    path: str = ""
    faults: tuple[Fault, ...] = ()
    first: EditResult | None = None


def fold(
    state: CatalogueState, record: ConfigRecord, offset: int
) -> tuple[CatalogueState, Verdict]:
    """Apply the record at ``offset``; return the new state and the verdict."""
    state = attrs.evolve(state, next_offset=offset + 1)
    if record.edit is None:
        return state, Verdict("snapshot")
    edit = record.edit
    candidate, verdict = evaluate_edit(state, edit, offset)
    if verdict.status == "duplicate":
        return state, verdict
    mark = EditResult(
        offset, verdict.status, digest_changes(edit), verdict.revision, verdict.author
    )
    return attrs.evolve(candidate, marks=_add_result(state, edit, mark)), verdict


def evaluate_edit(
    state: CatalogueState, edit: Edit, offset: int
) -> tuple[CatalogueState, Verdict]:
    """Return the state after an edit at ``offset`` and the verdict on it."""
    mark = state.marks.get(edit.edit_id)
    if mark is not None:
        return state, _evaluate_repeat(edit, mark)
    faults = _find_edit_faults(edit, offset)
    if faults:
        return state, Verdict("invalid", faults=tuple(faults))
    conflict = _find_conflict(state, edit)
    if conflict is not None:
        return state, conflict
    faults = _find_item_faults(edit)
    if faults:
        return state, Verdict("invalid", faults=tuple(faults))
    content = _change_content(state.content, edit.changes)
    n_bytes = state.n_bytes + _count_added_bytes(state, content, edit)
    faults = find_reference_faults(content)
    if n_bytes > CONTENT_LIMIT_BYTES:
        faults.append(_content_too_large(n_bytes))
    if faults:
        return state, Verdict("invalid", faults=tuple(faults))
    touched, floor_revision = _record_changes(state, content, edit, offset)
    changed = attrs.evolve(
        state,
        content=content,
        revision=offset,
        touched=touched,
        floor_revision=floor_revision,
        n_bytes=n_bytes,
    )
    return changed, Verdict("applied", revision=offset)


def take_snapshot(state: CatalogueState) -> Snapshot:
    """Return the state as a snapshot."""
    return Snapshot(
        next_offset=state.next_offset,
        revision=state.revision,
        content=to_plain(state.content),
        touched=state.touched,
        floor_revision=state.floor_revision,
        marks=state.marks,
    )


def restore_snapshot(snapshot: Snapshot) -> CatalogueState:
    """Return the state stored in a snapshot.

    Raises
    ------
    FaultyDocumentError
        If its content is not a valid catalogue for this version.
    """
    content = convert(snapshot.content, CatalogueContent, name="snapshot")
    sizes = (
        _count_bytes(name, item)
        for section in SECTIONS
        for name, item in getattr(content, section).items()
    )
    return CatalogueState(
        content=content,
        revision=snapshot.revision,
        next_offset=snapshot.next_offset,
        touched=snapshot.touched,
        floor_revision=snapshot.floor_revision,
        marks=snapshot.marks,
        n_bytes=sum(sizes),
    )


def _find_edit_faults(edit: Edit, offset: int) -> list[Fault]:
    faults = []
    if not 0 < len(edit.edit_id) <= MAX_ID_LENGTH:
        faults.append(_wrong_length("edit_id", edit.edit_id, MAX_ID_LENGTH))
    if not 0 < len(edit.author) <= MAX_AUTHOR_LENGTH:
        faults.append(_wrong_length("author", edit.author, MAX_AUTHOR_LENGTH))
    if not -1 <= edit.base_revision < offset:
        remedy = "Name the revision that the edit was based on."
        expected = f"-1 to {offset - 1}"
        faults.append(Fault("base_revision", str(edit.base_revision), expected, remedy))
    if not edit.changes:
        remedy = "Add a change."
        faults.append(Fault("changes", "no change", "at least one", remedy))
    return faults


def _find_item_faults(edit: Edit) -> list[Fault]:
    faults: list[Fault] = []
    paths = set()
    for change in edit.changes:
        if change.section not in SECTIONS:
            known = ", ".join(SECTIONS)
            remedy = "Name a section of the catalogue."
            faults.append(Fault(change.path, repr(change.section), known, remedy))
            continue
        if not NAME_PATTERN.fullmatch(change.name):
            expected = "a name of 1 to 63 of a-z 0-9 . _ -"
            faults.append(
                Fault(change.path, repr(change.name), expected, "Choose another name.")
            )
        if change.path in paths:
            remedy = "Merge the changes of this item."
            faults.append(Fault(change.path, "two changes", "one", remedy))
        paths.add(change.path)
        if change.item is not None:
            inner = find_faults(change.item, SECTIONS[change.section])
            faults.extend(_nest_fault(change.path, fault) for fault in inner)
    return faults


def _nest_fault(path: str, fault: Fault) -> Fault:
    return attrs.evolve(fault, path=f"{path}.{fault.path}" if fault.path else path)


def _evaluate_repeat(edit: Edit, mark: EditResult) -> Verdict:
    if mark.digest != digest_changes(edit):
        remedy = "Choose a new edit_id for a new edit."
        got = f"the id of another edit, at offset {mark.offset}"
        fault = Fault("edit_id", got, "an unused id", remedy)
        return Verdict("duplicate", faults=(fault,), first=mark)
    return Verdict("duplicate", revision=mark.revision, author=mark.author, first=mark)


def _find_conflict(state: CatalogueState, edit: Edit) -> Verdict | None:
    for change in edit.changes:
        last_change = state.touched.get(change.path)
        if last_change is None and edit.base_revision < state.floor_revision:
            return Verdict("conflict", state.floor_revision, "", change.path)
        if last_change is not None and last_change.revision > edit.base_revision:
            return Verdict(
                "conflict", last_change.revision, last_change.author, change.path
            )
    return None


def _change_content(
    content: CatalogueContent, changes: list[Change]
) -> CatalogueContent:
    sections: dict[str, dict[str, Any]] = {}
    for change in changes:
        items = sections.get(change.section)
        if items is None:
            items = dict(getattr(content, change.section))
            sections[change.section] = items
        if change.item is None:
            items.pop(change.name, None)
        else:
            items[change.name] = convert(change.item, SECTIONS[change.section])
    return attrs.evolve(content, **sections)


def _count_added_bytes(
    state: CatalogueState, content: CatalogueContent, edit: Edit
) -> int:
    n_added = 0
    for change in edit.changes:
        before = getattr(state.content, change.section).get(change.name)
        after = getattr(content, change.section).get(change.name)
        n_added -= _count_bytes(change.name, before)
        n_added += _count_bytes(change.name, after)
    return n_added


def _count_bytes(name: str, item: Any) -> int:
    if item is None:
        return 0
    n_name_bytes = 2 * len(name) + MAX_AUTHOR_LENGTH + ITEM_OVERHEAD_BYTES
    return len(msgspec.json.encode(item)) + n_name_bytes


def _record_changes(
    state: CatalogueState, content: CatalogueContent, edit: Edit, offset: int
) -> tuple[dict[str, LastChange], int]:
    touched = dict(state.touched)
    for change in edit.changes:
        touched.pop(change.path, None)
        touched[change.path] = LastChange(offset, edit.author)
    n_items = sum(len(getattr(content, section)) for section in SECTIONS)
    n_excess = len(touched) - n_items - MAX_REMOVED
    if n_excess <= 0:
        return touched, state.floor_revision
    removed = (path for path in touched if not _is_in_content(content, path))
    floor_revision = state.floor_revision
    for path in list(itertools.islice(removed, n_excess)):
        floor_revision = max(floor_revision, touched.pop(path).revision)
    return touched, floor_revision


def _is_in_content(content: CatalogueContent, path: str) -> bool:
    section, _, name = path.partition(".")
    return name in getattr(content, section)


def _add_result(
    state: CatalogueState, edit: Edit, mark: EditResult
) -> dict[str, EditResult]:
    if not 0 < len(edit.edit_id) <= MAX_ID_LENGTH:
        return state.marks
    marks = dict(state.marks)
    marks[edit.edit_id] = mark
    while len(marks) > MAX_MARKS:
        del marks[next(iter(marks))]
    return marks


def _content_too_large(n_bytes: int) -> Fault:
    got = f"a content of {n_bytes} bytes"
    expected = f"at most {CONTENT_LIMIT_BYTES}"
    return Fault("", got, expected, "Remove items that are no longer used.")


def _wrong_length(path: str, value: str, max_length: int) -> Fault:
    expected = f"1 to {max_length} characters"
    return Fault(path, f"{len(value)} characters", expected, "Correct the value.")
