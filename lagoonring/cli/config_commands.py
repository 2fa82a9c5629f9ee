"""``lagoonring config``: validate, apply and show the catalogue and its history."""

from __future__ import annotations

import shlex
import uuid
from pathlib import Path
from typing import Annotated, Any

import attrs
import msgspec
import typer

from lagoonring.catalogue import CatalogueContent
from lagoonring.catalogue.checks import find_reference_faults
from lagoonring.cli.client import (
    CommandError,
    Connection,
    fail,
    request,
    request_or_exit,
)
from lagoonring.cli.exits import EPILOG, Exit
from lagoonring.cli.tables import show, show_json, show_time
from lagoonring.settings import convert, find_faults, to_plain

N_ITEMS_SHOWN = 3
SHOWN_KEYS = {"revision", "content"}

config = typer.Typer(no_args_is_help=True, help="The catalogue.", epilog=EPILOG)

AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
CatalogueFile = Annotated[
    Path, typer.Argument(help="The catalogue as JSON, or what 'config show' printed.")
]


@attrs.frozen
class CheckedCatalogue:
    """Validated catalogue, with its base revision if the file has one."""

    content: CatalogueContent
    revision: int | None


@config.command(epilog=EPILOG)
def validate(file: CatalogueFile, as_json: AsJson = False) -> None:
    """Validate a catalogue file offline, listing every fault."""
    _read_catalogue(file, as_json=as_json)
    if as_json:
        show_json({"valid": True, "faults": []})
        return
    typer.echo(f"{file}: valid")


@config.command(epilog=EPILOG)
def apply(
    context: typer.Context,
    file: CatalogueFile,
    note: Annotated[
        str, typer.Option(help="Reason for the edit, shown in the history.")
    ] = "",
    edit_id: Annotated[
        str, typer.Option(help="Id of an edit to retry whose fate is unknown.")
    ] = "",
    base_revision: Annotated[
        int | None,
        typer.Option(
            help="Revision that the file is based on; later changes of the same items "
            "are a conflict. By default the one in a file that 'config show' "
            "printed, else the one in force."
        ),
    ] = None,
    keep: Annotated[
        bool, typer.Option("--keep", help="Keep items that are not in the file.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Replace the catalogue by the content of a file, sending only the differences.

    Waits until the edit is in force at the instance addressed.
    """
    wanted = _read_catalogue(file, as_json=as_json)
    shown = request_or_exit(context.obj, "GET", "/admin/config")
    changes = find_changes(shown["content"], to_plain(wanted.content), is_keeping=keep)
    if not changes:
        _show_applied(shown["revision"], "nothing to change", 0, as_json=as_json)
        return
    base_revision = wanted.revision if base_revision is None else base_revision
    order = {
        "edit_id": edit_id or uuid.uuid4().hex,
        "base_revision": shown["revision"] if base_revision is None else base_revision,
        "changes": changes,
        "note": note,
    }
    paths = ", ".join(f"{change['section']}.{change['name']}" for change in changes)
    typer.echo(f"edit {order['edit_id']}: {len(changes)} changes: {paths}", err=True)
    typer.echo("waiting until it is in force", err=True)
    applied = _send(context.obj, order, file, is_keeping=keep)
    _show_applied(applied["revision"], "in force", len(changes), as_json=as_json)


def _send(
    connection: Connection, order: dict[str, Any], file: Path, *, is_keeping: bool
) -> Any:
    """Send an edit; if its outcome is unknown, print the command to retry it."""
    try:
        return request(connection, "POST", "/admin/config", content=order)
    except CommandError as error:
        message = error.message
        if error.code == Exit.UNKNOWN:
            arguments = ["lagoonring", "config", "apply", str(file)]
            arguments += ["--edit-id", order["edit_id"]]
            arguments += ["--base-revision", str(order["base_revision"])]
            arguments += ["--note", order["note"]] if order["note"] else []
            arguments += ["--keep"] if is_keeping else []
            message += (
                f"\nThe fate of edit {order['edit_id']} is unknown. It takes effect "
                f"at most once; repeat it with:\n  {shlex.join(arguments)}"
            )
        raise fail(message, error.code) from None


def _show_applied(revision: int, state: str, n_changes: int, *, as_json: bool) -> None:
    if as_json:
        show_json({"revision": revision, "state": state, "n_changes": n_changes})
        return
    typer.echo(f"revision {revision}: {state}")


@config.command(name="show", epilog=EPILOG)
def show_config(context: typer.Context) -> None:
    """Print the catalogue in force as JSON, in the format of 'config apply'."""
    show_json(request_or_exit(context.obj, "GET", "/admin/config"))


@config.command(epilog=EPILOG)
def history(
    context: typer.Context,
    n: Annotated[int, typer.Option("-n", help="Number of edits.")] = 20,
    as_json: AsJson = False,
) -> None:
    """Show the newest edits and their status."""
    params = {"n": str(n)}
    rows = request_or_exit(context.obj, "GET", "/admin/config/history", params=params)
    if as_json:
        show_json(rows)
        return
    for row in rows:
        row["time"] = show_time(row["time_s"])
        row["items"] = _shorten(row["items"])
    columns = ["revision", "time", "author", "status", "items", "note"]
    show(rows, columns, as_json=False)


def find_changes(
    present: dict[str, Any], wanted: dict[str, Any], *, is_keeping: bool
) -> list[dict[str, Any]]:
    """Return the changes that turn the present catalogue into the wanted one.

    If ``is_keeping`` is set, items missing from ``wanted`` are not removed. Moves are
    orders rather than configuration, so they are never removed.
    """
    changes = []
    for section in present.keys() | wanted.keys():
        old = present.get(section, {})
        new = wanted.get(section, {})
        for name, item in new.items():
            if old.get(name) != item:
                changes.append({"section": section, "name": name, "item": item})
        if is_keeping or section == "moves":
            continue
        for name in old.keys() - new.keys():
            changes.append({"section": section, "name": name, "item": None})
    return sorted(changes, key=lambda change: (change["section"], change["name"]))


def _shorten(items: list[str]) -> str:
    shown = ", ".join(items[:N_ITEMS_SHOWN])
    n_more = len(items) - N_ITEMS_SHOWN
    return f"{shown} and {n_more} more" if n_more > 0 else shown


def _read_catalogue(file: Path, *, as_json: bool) -> CheckedCatalogue:
    """Return a validated catalogue, or exit after listing every fault."""
    try:
        data = msgspec.json.decode(file.read_bytes())
    except OSError as error:
        raise fail(
            f"Got {error.strerror} for {file}, expected a readable file. Check the "
            "path.",
            Exit.USAGE,
        ) from error
    except msgspec.DecodeError as error:
        raise fail(
            f"Got {file} with {error}, expected JSON. Correct the file.", Exit.FAULTY
        ) from error
    revision = None
    if isinstance(data, dict) and data.keys() == SHOWN_KEYS:
        revision, data = data["revision"], data["content"]
        if type(revision) is not int:
            raise fail(
                f"Got revision {revision!r} in {file}, expected a whole number. "
                "Print the file again with 'config show'.",
                Exit.FAULTY,
            )
    faults = find_faults(data, CatalogueContent)
    if not faults:
        content = convert(data, CatalogueContent)
        faults = find_reference_faults(content)
        if not faults:
            return CheckedCatalogue(content, revision)
    if as_json:
        show_json({"valid": False, "faults": [attrs.asdict(found) for found in faults]})
    lines = "\n".join(f"  {fault}" for fault in faults)
    raise fail(
        f"Got {file} with {len(faults)} faults, expected none:\n{lines}", Exit.FAULTY
    )
