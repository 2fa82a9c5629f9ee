"""``lagoonring-standin``: stand-ins for external systems, in one process."""

from __future__ import annotations

import asyncio
import signal
import sys
from importlib.metadata import version as version_of
from pathlib import Path

import typer

from lagoonring.errors import LagoonringError
from lagoonring.logs import JsonLinesHandler
from lagoonring.settings import load_settings
from lagoonring.standins.kinds import build_all, start_all, stop_all
from lagoonring.standins.options import StandinSettings

FAULTY_SETTINGS_EXIT = 2
PORT_IN_USE_EXIT = 3

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def _show_version(is_requested: bool) -> None:
    if is_requested:
        typer.echo(f"lagoonring-standin {version_of('lagoonring')}")
        raise typer.Exit()


@app.command()
def run(
    settings: Path = typer.Option(..., help="JSON file with the stand-ins to run."),
    check: bool = typer.Option(
        False, "--check", help="Validate the settings and exit."
    ),
    version: bool = typer.Option(
        False,
        "--version",
        callback=_show_version,
        is_eager=True,
        help="Print the version.",
    ),
) -> None:
    """Run stand-ins of the platform and of endpoints until SIGTERM."""
    try:
        checked = load_settings(settings, StandinSettings)
        standins = build_all(checked)
    except LagoonringError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(FAULTY_SETTINGS_EXIT) from error
    if check:
        typer.echo(f"Settings are valid: {len(checked.standins)} stand-ins.")
        return
    with JsonLinesHandler(sys.stderr, checked.log_level).applicationbound():
        try:
            asyncio.run(_serve(standins))
        except OSError as error:
            typer.echo(
                f"Got {error}, expected free ports. Change a port in {settings}.",
                err=True,
            )
            raise typer.Exit(PORT_IN_USE_EXIT) from error


async def _serve(standins: list) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await start_all(standins)
    await stopping.wait()
    await stop_all(standins)


def main() -> None:
    """Run the stand-in command."""
    app()


if __name__ == "__main__":
    main()
