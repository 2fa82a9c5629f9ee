"""``lagoonring move``: order, list, watch and cancel version moves."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING, Annotated, Any
from urllib.parse import quote

import typer

from lagoonring.cli.client import (
    CommandError,
    Connection,
    fail,
    get_with_retries,
    request,
    request_or_exit,
)
from lagoonring.cli.exits import EPILOG, Exit
from lagoonring.cli.tables import show, show_json, show_line, show_time

if TYPE_CHECKING:
    from collections.abc import Iterator

move = typer.Typer(no_args_is_help=True, help="Version moves.", epilog=EPILOG)

WATCH_INTERVAL_S = 1.0
FINISHED = "finished"
REVERTED_PHASES = ("undone", "refused")
COLUMNS = [
    "name",
    "entry",
    "from_version",
    "to_version",
    "phase",
    "share",
    "deadline",
    "reason",
]

AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
MoveId = Annotated[str, typer.Argument(help="Name of the move.")]


@move.command(epilog=EPILOG)
def order(
    context: typer.Context,
    entry: Annotated[str, typer.Argument(help="Entry to move.")],
    version: Annotated[str, typer.Argument(help="Version to move it to.")],
    within: Annotated[float, typer.Option(help="Seconds until the deadline.")] = 3600.0,
    move_id: Annotated[
        str,
        typer.Option(
            help="Name of the move; an order retried under it has no further effect."
        ),
    ] = "",
    as_json: AsJson = False,
) -> None:
    """Order a move, which is finished or undone by the deadline."""
    move_id = move_id or f"{entry}-{version}-{uuid.uuid4().hex[:6]}"
    content = {
        "move_id": move_id,
        "entry": entry,
        "to_version": version,
        "deadline_in_s": within,
    }
    try:
        applied = request(context.obj, "POST", "/admin/moves", content=content)
    except CommandError as error:
        retry_command = f"lagoonring move order {entry} {version} --within {within:g}"
        retry_command = f"{retry_command} --move-id {move_id}"
        raise _fail_order(error, move_id, retry_command) from None
    _show_order(move_id, "ordered", applied["revision"], as_json=as_json)


@move.command(epilog=EPILOG)
def status(context: typer.Context, as_json: AsJson = False) -> None:
    """Show all moves and their progress."""
    rows = request_or_exit(context.obj, "GET", "/admin/moves")
    if not as_json:
        for row in rows:
            row["deadline"] = show_time(row["deadline_s"])
    show(rows, COLUMNS, as_json=as_json)


@move.command(epilog=EPILOG)
def cancel(context: typer.Context, move_id: MoveId, as_json: AsJson = False) -> None:
    """Cancel a move, which then is undone."""
    path = f"/admin/moves/{quote(move_id, safe='')}"
    try:
        applied = request(context.obj, "DELETE", path)
    except CommandError as error:
        retry_command = f"lagoonring move cancel {move_id}"
        raise _fail_order(error, move_id, retry_command) from None
    _show_order(move_id, "cancelled", applied["revision"], as_json=as_json)


@move.command(epilog=EPILOG)
def watch(context: typer.Context, move_id: MoveId, as_json: AsJson = False) -> None:
    """Print each change of a move until it is finished (exit 0) or undone (exit 4).

    With --json, prints one state per line.
    """
    for row in _states(context.obj, move_id):
        show_line(row, ["time", "phase", "progress", "reason"], as_json=as_json)
        if row["phase"] in REVERTED_PHASES:
            raise typer.Exit(Exit.REFUSED)


def _states(connection: Connection, move_id: str) -> Iterator[dict[str, Any]]:
    """Yield the state of a move now and after each change, until it is finished."""
    shown: Any = None
    while True:
        rows = get_with_retries(connection, "/admin/moves")
        row = next((row for row in rows if row.get("name") == move_id), None)
        if row is None:
            names = ", ".join(sorted(row["name"] for row in rows)) or "none"
            raise fail(f"Got move {move_id!r}, expected one of: {names}.", Exit.REFUSED)
        state = (row["phase"], row["share"], row["reason"])
        if state != shown:
            shown = state
            row["time"] = show_time(time.time())
            row["progress"] = f"share {row['share']:.0%}, {row['n_new']} results"
            yield row
        if row["phase"] == FINISHED:
            return
        time.sleep(WATCH_INTERVAL_S)


def _fail_order(error: CommandError, move_id: str, retry_command: str) -> typer.Exit:
    """Print an error; if the outcome is unknown, add the command to retry."""
    message = error.message
    if error.code == Exit.UNKNOWN:
        message += (
            f"\nThe fate of the order for move {move_id} is unknown. Repeating it has "
            f"no further effect:\n  {retry_command}"
        )
    return fail(message, error.code)


def _show_order(name: str, state: str, revision: int, *, as_json: bool) -> None:
    if as_json:
        show_json({"move": name, "state": state, "revision": revision})
        return
    typer.echo(f"move {name}: {state} with revision {revision}")
    if state == "ordered":
        typer.echo(f"watch it with: lagoonring move watch {name}", err=True)
