"""``lagoonring``: the command for operators."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Annotated, Any
from urllib.parse import quote

import typer

from lagoonring import __version__
from lagoonring.cli.client import Connection, get_with_retries, request_or_exit
from lagoonring.cli.config_commands import config
from lagoonring.cli.exits import EPILOG
from lagoonring.cli.move_commands import move
from lagoonring.cli.tables import show, show_json, show_line, show_time

if TYPE_CHECKING:
    from collections.abc import Iterator

FOLLOW_INTERVAL_S = 1.0
INTERRUPTED_EXIT = 130
MAX_ROWS_FOLLOWED = 1000
COLUMNS = ["time", "actor", "action", "target", "outcome", "detail", "instance"]

command = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    epilog=EPILOG,
    pretty_exceptions_enable=False,
)
command.add_typer(config, name="config")
command.add_typer(move, name="move")

AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def _show_version(is_wanted: bool) -> None:
    if is_wanted:
        typer.echo(__version__)
        raise typer.Exit


@command.callback()
def connect(
    context: typer.Context,
    url: Annotated[
        str,
        typer.Option(envvar="LAGOONRING_URL", help="Base URL of any entry instance."),
    ] = "http://127.0.0.1:8700",
    token: Annotated[
        str, typer.Option(envvar="LAGOONRING_TOKEN", help="Operator token.")
    ] = "",
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            help="Print the version.",
            callback=_show_version,
            is_eager=True,
        ),
    ] = False,
) -> None:
    """Operate lagoonring through the administration API of an entry instance."""
    context.obj = Connection(url, token)


@command.command(epilog=EPILOG)
def fleet(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the desired instances of the fleet in the instance's data centre."""
    rows = request_or_exit(context.obj, "GET", "/admin/fleet")
    columns = sorted({name for row in rows for name in row})
    show(rows, columns, as_json=as_json)


@command.command(epilog=EPILOG)
def peers(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the members of the instance's data centre and contacts in others."""
    rows = request_or_exit(context.obj, "GET", "/admin/peers")
    columns = ["instance", "data_centre", "region", "address", "incarnation", "state"]
    show(rows, columns, as_json=as_json)


@command.command(epilog=EPILOG)
def why(
    context: typer.Context,
    request_id: Annotated[
        str, typer.Argument(help="Value of the header X-Request-Id of the answer.")
    ],
    as_json: AsJson = False,
) -> None:
    """Show each decision about a recent request."""
    trace = request_or_exit(
        context.obj, "GET", f"/admin/requests/{quote(request_id, safe='')}"
    )
    if as_json:
        show_json(trace)
        return
    for name, value in trace.items():
        if name != "decisions":
            typer.echo(f"{name}: {value}")
    for number, decision in enumerate(trace["decisions"], start=1):
        typer.echo(f"{number}. {decision}")


@command.command(epilog=EPILOG)
def audit(
    context: typer.Context,
    actor: Annotated[
        str, typer.Option(help="Show only this operator or component.")
    ] = "",
    action: Annotated[
        str, typer.Option(help="Show only actions with this prefix.")
    ] = "",
    n: Annotated[int, typer.Option("-n", help="Number of records.")] = 50,
    follow: Annotated[
        bool, typer.Option("--follow", "-f", help="Keep printing new records.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Show the newest records of the audit trail, including moves and fleets.

    With --follow and --json, prints one record per line.
    """
    params = {"actor": actor, "action": action, "n": str(n)}
    if follow:
        for row in _follow(context.obj, n, {**params, "n": str(MAX_ROWS_FOLLOWED)}):
            show_line(row, COLUMNS, as_json=as_json)
    rows = request_or_exit(context.obj, "GET", "/admin/audit", params=params)
    _add_times(rows)
    show(rows, COLUMNS, as_json=as_json)


def _follow(
    connection: Connection, n_first: int, params: dict[str, str]
) -> Iterator[dict[str, Any]]:
    """Yield the newest records, then new ones forever, without duplicates."""
    rows = request_or_exit(connection, "GET", "/admin/audit", params=params)
    seen = {row["audit_id"] for row in rows[: -n_first or None]}
    while True:
        new = [row for row in rows if row["audit_id"] not in seen]
        _add_times(new)
        yield from new
        seen = {row["audit_id"] for row in rows}
        time.sleep(FOLLOW_INTERVAL_S)
        rows = get_with_retries(connection, "/admin/audit", params=params)


def _add_times(rows: list[dict[str, Any]]) -> None:
    for row in rows:
        row["time"] = show_time(row["time_s"])


def main() -> None:
    """Run the operator command."""
    try:
        command()
    except KeyboardInterrupt:
        raise SystemExit(INTERRUPTED_EXIT) from None
