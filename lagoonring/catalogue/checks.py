"""Checks of references between catalogue items and of deadlines."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING

from lagoonring.settings.checker import Fault

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from lagoonring.catalogue.edits import Edit
    from lagoonring.catalogue.entries import CatalogueContent, Entry

N_NAMES_SHOWN = 5


def find_reference_faults(content: CatalogueContent) -> list[Fault]:
    """Return a fault for each dangling reference or invalid range of instances."""
    faults: list[Fault] = []
    faults.extend(_check_entries(content))
    faults.extend(_check_endpoints(content))
    faults.extend(_check_moves(content))
    faults.extend(_check_fleet(content))
    return faults


def find_deadline_faults(edit: Edit, now_s: float) -> list[Fault]:
    """Return a fault for each move in an edit whose deadline has passed.

    The result depends on the current time, so it is checked before an edit is
    appended. Readers of the log never check it, as their states would differ.
    """
    faults = []
    for change in edit.changes:
        if change.section != "moves" or change.item is None:
            continue
        deadline_s = change.item.get("deadline_s")
        if not isinstance(deadline_s, int | float) or change.item.get("cancelled"):
            continue
        if deadline_s <= now_s:
            faults.append(
                Fault(
                    f"{change.path}.deadline_s",
                    f"{deadline_s}",
                    f"a time after {now_s:.0f}",
                    "Give a deadline in the future, in epoch seconds.",
                )
            )
    return faults


def _check_entries(content: CatalogueContent) -> Iterator[Fault]:
    owners = {**content.organisations, **content.operators}
    for name, entry in content.entries.items():
        path = f"entries.{name}"
        if entry.owner not in owners:
            yield _unknown_reference(
                f"{path}.owner", entry.owner, "organisation or operator"
            )
        if entry.service_class not in content.classes:
            where = f"{path}.service_class"
            yield _unknown_reference(
                where, entry.service_class, "class", content.classes
            )
        yield from _check_version(f"{path}.version", entry.version, entry)


def _check_endpoints(content: CatalogueContent) -> Iterator[Fault]:
    for name, endpoint in content.endpoints.items():
        path = f"endpoints.{name}"
        entry = content.entries.get(endpoint.entry)
        if entry is None:
            yield _unknown_reference(
                f"{path}.entry", endpoint.entry, "entry", content.entries
            )
        else:
            yield from _check_version(f"{path}.version", endpoint.version, entry)


def _check_moves(content: CatalogueContent) -> Iterator[Fault]:
    for name, move in content.moves.items():
        path = f"moves.{name}"
        entry = content.entries.get(move.entry)
        if entry is None:
            yield _unknown_reference(
                f"{path}.entry", move.entry, "entry", content.entries
            )
            continue
        yield from _check_version(f"{path}.to_version", move.to_version, entry)
        if move.from_version:
            yield from _check_version(f"{path}.from_version", move.from_version, entry)


def _check_fleet(content: CatalogueContent) -> Iterator[Fault]:
    for name, goal in content.fleet.items():
        path = f"fleet.{name}"
        if goal.entry not in content.entries:
            yield _unknown_reference(
                f"{path}.entry", goal.entry, "entry", content.entries
            )
        if goal.n_least > goal.n_most:
            yield Fault(
                f"{path}.n_least",
                str(goal.n_least),
                f"at most n_most, which is {goal.n_most}",
                "Lower n_least or raise n_most.",
            )


def _check_version(path: str, version: str, entry: Entry) -> Iterator[Fault]:
    if entry.versions and version not in entry.versions:
        yield _unknown_reference(path, version, "version of the entry", entry.versions)


def _unknown_reference(
    path: str, name: str, kind: str, known: Collection[str] = ()
) -> Fault:
    close = difflib.get_close_matches(name, known, n=1)
    names = ", ".join(sorted(known)[:N_NAMES_SHOWN])
    expected = f"an existing {kind}" + (f" such as {names}" if names else "")
    if close:
        return Fault(path, repr(name), expected, f"Did you mean {close[0]!r}?")
    remedy = f"Add the {kind} {name!r} in the same edit, or name another."
    return Fault(path, repr(name), expected, remedy)
