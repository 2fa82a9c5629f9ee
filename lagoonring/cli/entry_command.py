"""``lagoonring-entry``: runs one entry instance."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import typer

from lagoonring import __version__
from lagoonring.cli.exits import EntryExit
from lagoonring.entry.process import run_logged
from lagoonring.errors import LagoonringError
from lagoonring.peers.errors import AddressNotUsableError
from lagoonring.settings import load_settings
from lagoonring.settings.entry_settings import EntrySettings

EPILOG = (
    "Exit codes: 0 stopped or valid, 1 failed, 2 faulty settings, 3 an address can't "
    "be listened on. SIGTERM drains and stops, a second one ends the drain."
)

# Tracebacks with local variables would show keys.
command = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def _show_version(is_wanted: bool) -> None:
    if is_wanted:
        typer.echo(__version__)
        raise typer.Exit


@command.command(epilog=EPILOG)
def run(
    settings: Annotated[Path, typer.Option(help="JSON settings file.")],
    check: Annotated[
        bool, typer.Option("--check", help="Only validate the settings.")
    ] = False,
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
    """Serve callers as one entry instance until SIGTERM."""
    try:
        loaded = load_settings(settings, EntrySettings)
    except LagoonringError as error:
        raise _fail(str(error), EntryExit.FAULTY_SETTINGS) from error
    if check:
        typer.echo(f"{settings}: valid")
        return
    try:
        run_logged(loaded)
    except AddressNotUsableError as error:
        raise _fail(str(error), EntryExit.ADDRESS_IN_USE) from error
    except LagoonringError as error:
        raise _fail(str(error), EntryExit.FAILED) from error
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else str(error)
        raise _fail(
            f"Got {reason} for {loaded.host}:{loaded.port}, expected a free "
            "address of this machine. Correct host and port, or end the process that "
            "has it.",
            EntryExit.ADDRESS_IN_USE,
        ) from error


def _fail(message: str, code: EntryExit) -> typer.Exit:
    typer.echo(f"lagoonring-entry: {message}", err=True)
    return typer.Exit(int(code))


def main() -> None:
    """Run the command line."""
    command()
