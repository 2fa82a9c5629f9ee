"""``lagoonring config``: validate, apply, show and trace the catalogue."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from lagoonring.catalogue import CatalogueContent
from lagoonring.catalogue.checks import find_reference_faults
from lagoonring.cli.client import ask
from lagoonring.cli.exits import Exit
from lagoonring.cli.tables import show, show_json, show_time
from lagoonring.settings import convert, find_faults, to_plain

config = typer.Typer(no_args_is_help=True, help="The catalogue.")

AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
CatalogueFile = Annotated[Path, typer.Argument(help="The catalogue as JSON.")]


@config.command()
def validate(file: CatalogueFile) -> None:
    """Check a catalogue file without an instance; every fault is listed."""
    _read_catalogue(file)
    typer.echo(f"{file}: valid")


@config.command()
def apply(
    context: typer.Context,
    file: CatalogueFile,
    note: Annotated[str, typer.Option(help="Why, for the history.")] = "",
    edit_id: Annotated[
        str, typer.Option(help="Repeat an edit whose fate is unknown under its id.")
    ] = "",
    keep: Annotated[
        bool, typer.Option("--keep", help="Keep items that the file lacks.")
    ] = False,
) -> None:
    """Make the catalogue what the file says; only differences are sent."""
    wanted = _read_catalogue(file)
    shown = ask(context.obj, "GET", "/admin/config")
    changes = find_changes(shown["content"], to_plain(wanted), is_keeping=keep)
    if not changes:
        typer.echo(f"revision {shown['revision']}: nothing to change")
        return
    edit_id = edit_id or uuid.uuid4().hex
    typer.echo(f"edit {edit_id}: {len(changes)} changes", err=True)
    order = {
        "edit_id": edit_id,
        "base_revision": shown["revision"],
        "changes": changes,
        "note": note,
    }
    applied = ask(context.obj, "POST", "/admin/config", content=order)
    typer.echo(f"revision {applied['revision']}: in force")


@config.command(name="show")
def show_config(context: typer.Context) -> None:
    """Print the catalogue in force."""
    show_json(ask(context.obj, "GET", "/admin/config"))


@config.command()
def history(
    context: typer.Context,
    n: Annotated[int, typer.Option("-n", help="How many edits.")] = 20,
    as_json: AsJson = False,
) -> None:
    """Show the newest edits and what became of them."""
    params = {"n": str(n)}
    rows = ask(context.obj, "GET", "/admin/config/history", params=params)
    for row in rows:
        row["time"] = show_time(row["time_s"])
    columns = ["revision", "time", "author", "status", "items", "note"]
    show(rows, columns, as_json=as_json)


def find_changes(
    present: dict[str, Any], wanted: dict[str, Any], *, is_keeping: bool
) -> list[dict[str, Any]]:
    """Return the changes that turn one catalogue into another.

    With ``is_keeping`` items that ``wanted`` lacks stay. Moves are orders, not
    contents, so they always stay.
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


def _read_catalogue(file: Path) -> CatalogueContent:
    """Return a checked catalogue, or end the program listing every fault."""
    try:
        data = msgspec.json.decode(file.read_bytes())
    except OSError as error:
        typer.echo(f"Got {error.strerror} for {file}, expected a file.", err=True)
        raise typer.Exit(Exit.USAGE) from error
    except msgspec.DecodeError as error:
        typer.echo(f"Got {file} with {error}, expected JSON.", err=True)
        raise typer.Exit(Exit.FAULTY) from error
    faults = find_faults(data, CatalogueContent)
    if not faults:
        content = convert(data, CatalogueContent)
        faults = find_reference_faults(content)
        if not faults:
            return content
    for fault in faults:
        typer.echo(str(fault), err=True)
    raise typer.Exit(Exit.FAULTY)
