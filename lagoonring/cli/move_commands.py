"""``lagoonring move``: order, watch and cancel version moves."""

from __future__ import annotations

import time
import uuid
from typing import Annotated, Any

import typer

from lagoonring.cli.client import ask
from lagoonring.cli.exits import Exit
from lagoonring.cli.tables import show

move = typer.Typer(no_args_is_help=True, help="Version moves.")

WATCH_S = 1.0
DONE_PHASES = ("finished",)
UNDONE_PHASES = ("undone", "refused")
COLUMNS = ["name", "entry", "to_version", "phase", "share", "deadline_s", "reason"]

AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]


@move.command()
def order(
    context: typer.Context,
    entry: Annotated[str, typer.Argument(help="Entry to move.")],
    version: Annotated[str, typer.Argument(help="Version to move it to.")],
    within: Annotated[float, typer.Option(help="Seconds until the deadline.")] = 3600.0,
    move_id: Annotated[str, typer.Option(help="Name of the move.")] = "",
) -> None:
    """Order a move; the system finishes or undoes it by the deadline."""
    move_id = move_id or f"{entry}-{version}-{uuid.uuid4().hex[:6]}"
    content = {
        "move_id": move_id,
        "entry": entry,
        "to_version": version,
        "deadline_in_s": within,
    }
    applied = ask(context.obj, "POST", "/admin/moves", content=content)
    typer.echo(f"move {move_id}: ordered with revision {applied['revision']}")


@move.command()
def status(context: typer.Context, as_json: AsJson = False) -> None:
    """Show all moves."""
    show(ask(context.obj, "GET", "/admin/moves"), COLUMNS, as_json=as_json)


@move.command()
def cancel(
    context: typer.Context, move_id: Annotated[str, typer.Argument(help="Its name.")]
) -> None:
    """Cancel a move; it is undone."""
    applied = ask(context.obj, "DELETE", f"/admin/moves/{move_id}")
    typer.echo(f"move {move_id}: cancelled with revision {applied['revision']}")


@move.command()
def watch(
    context: typer.Context, move_id: Annotated[str, typer.Argument(help="Its name.")]
) -> None:
    """Print each change of a move until it is done (exit 0) or undone (exit 4)."""
    shown: Any = None
    while True:
        rows = ask(context.obj, "GET", "/admin/moves")
        row = next((row for row in rows if row.get("name") == move_id), None)
        if row is None:
            typer.echo(
                f"Got no move {move_id}, see 'lagoonring move status'.", err=True
            )
            raise typer.Exit(Exit.REFUSED)
        state = (row.get("phase"), row.get("share"))
        if state != shown:
            shown = state
            typer.echo(f"{move_id}: {state[0]}, share {state[1]}")
        if state[0] in DONE_PHASES:
            return
        if state[0] in UNDONE_PHASES:
            typer.echo(f"{move_id}: {row.get('reason')}")
            raise typer.Exit(Exit.REFUSED)
        time.sleep(WATCH_S)
