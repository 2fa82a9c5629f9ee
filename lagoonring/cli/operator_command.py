"""``lagoonring``: the operators' command line."""

from __future__ import annotations

from typing import Annotated

import typer

from lagoonring import __version__
from lagoonring.cli.client import Connection, ask
from lagoonring.cli.config_commands import config
from lagoonring.cli.move_commands import move
from lagoonring.cli.tables import show, show_json, show_time

EPILOG = (
    "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 faulty input, 4 refused or "
    "conflict, 5 not reachable, 6 fate unknown (look it up before repeating)."
)

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
        str, typer.Option(envvar="LAGOONRING_URL", help="Root of any entry instance.")
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
    """Drive lagoonring through the administration API of an entry instance."""
    context.obj = Connection(url, token)


@command.command()
def fleet(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the fleet's goals and instances."""
    rows = ask(context.obj, "GET", "/admin/fleet")
    columns = sorted({name for row in rows for name in row})
    show(rows, columns, as_json=as_json)


@command.command()
def peers(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the members that the instance knows."""
    rows = ask(context.obj, "GET", "/admin/peers")
    columns = ["instance", "data_centre", "region", "address", "incarnation", "state"]
    show(rows, columns, as_json=as_json)


@command.command()
def why(
    context: typer.Context,
    request_id: Annotated[str, typer.Argument(help="Id that came with the answer.")],
    as_json: AsJson = False,
) -> None:
    """Show each decision about a recent request."""
    trace = ask(context.obj, "GET", f"/admin/requests/{request_id}")
    if as_json:
        show_json(trace)
        return
    for name, value in trace.items():
        if name != "decisions":
            typer.echo(f"{name}: {value}")
    for number, decision in enumerate(trace["decisions"], start=1):
        typer.echo(f"{number}. {decision}")


@command.command()
def audit(
    context: typer.Context,
    actor: Annotated[str, typer.Option(help="Only this operator or part.")] = "",
    action: Annotated[str, typer.Option(help="Only actions that begin so.")] = "",
    n: Annotated[int, typer.Option("-n", help="How many records.")] = 50,
    as_json: AsJson = False,
) -> None:
    """Show the newest records of the audit trail."""
    params = {"actor": actor, "action": action, "n": str(n)}
    rows = ask(context.obj, "GET", "/admin/audit", params=params)
    for row in rows:
        row["time"] = show_time(row["time_s"])
    columns = ["time", "actor", "action", "target", "outcome", "detail", "instance"]
    show(rows, columns, as_json=as_json)


def main() -> None:
    """Run the command line."""
    command()
