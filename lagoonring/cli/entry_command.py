"""``lagoonring-entry``: runs one entry instance."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from lagoonring import __version__
from lagoonring.entry.process import run_logged
from lagoonring.errors import LagoonringError
from lagoonring.settings import load_settings
from lagoonring.settings.entry_settings import EntrySettings

FAULTY_SETTINGS_EXIT = 2

command = typer.Typer(add_completion=False)


def _show_version(is_wanted: bool) -> None:
    if is_wanted:
        typer.echo(__version__)
        raise typer.Exit


@command.command()
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
        if check:
            typer.echo(f"{settings}: valid")
            return
        run_logged(loaded)
    except LagoonringError as error:
        typer.echo(f"lagoonring-entry: {error}", err=True)
        raise typer.Exit(FAULTY_SETTINGS_EXIT) from error


def main() -> None:
    """Run the command line."""
    command()
