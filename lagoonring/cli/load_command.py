"""``lagoonring-load``: seeded load tests of a running deployment, and reports."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import attrs
import typer

from lagoonring import __version__
from lagoonring.cli.exits import Exit
from lagoonring.errors import LagoonringError
from lagoonring.load import (
    LoadSettings,
    compare,
    describe,
    read_report,
    run_load,
    summarise,
    write_report,
)
from lagoonring.load.results import write_trimmed
from lagoonring.settings import load_settings

EPILOG = (
    "Exit codes: 0 done, 1 a check found faults, 2 wrong usage, 3 faulty settings "
    "or report."
)

command = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    epilog=EPILOG,
    pretty_exceptions_enable=False,
)


def _show_version(is_wanted: bool) -> None:
    if is_wanted:
        typer.echo(__version__)
        raise typer.Exit


@command.callback()
def show_version(
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
    """Run load tests on a deployment, check every answer and write reports."""


@command.command()
def run(
    settings: Annotated[Path, typer.Option(help="JSON settings file.")],
    out: Annotated[Path, typer.Option(help="Folder for the report.")],
    seed: Annotated[
        int | None, typer.Option(help="Overrides the seed in the file.")
    ] = None,
    policy: Annotated[
        str, typer.Option(help="Routing policy of the deployment, for the report.")
    ] = "",
) -> None:
    """Run a load test on a running deployment and write a report."""
    try:
        loaded = load_settings(settings, LoadSettings)
    except LagoonringError as error:
        raise _fail(error) from error
    if policy:
        loaded = attrs.evolve(loaded, policy=policy)
    chosen = loaded.seed if seed is None else seed
    data = asyncio.run(run_load(loaded, chosen, _show_progress))
    report = summarise(data)
    histograms = {
        "/".join(key): histogram.encode().decode()
        for key, histogram in data.recorder.histograms.items()
    }
    write_report(out, report, histograms)
    typer.echo(describe(report))
    if report.checks.n_faults:
        raise typer.Exit(Exit.FAILED)


@command.command(name="compare")
def compare_runs(
    first: Annotated[Path, typer.Argument(help="Folder of a run.")],
    second: Annotated[Path, typer.Argument(help="Folder of another run.")],
) -> None:
    """Compare two runs side by side."""
    try:
        typer.echo(compare(read_report(first), read_report(second)))
    except LagoonringError as error:
        raise _fail(error) from error


@command.command()
def report(
    folder: Annotated[Path, typer.Argument(help="Folder of a run.")],
    trimmed: Annotated[
        Path | None, typer.Option(help="Also write a short report.json here.")
    ] = None,
) -> None:
    """Write report.html for a run."""
    from lagoonring.load.page import write_page

    try:
        typer.echo(write_page(folder))
        if trimmed is not None:
            write_trimmed(trimmed, read_report(folder))
    except LagoonringError as error:
        raise _fail(error) from error


def _show_progress(line: str) -> None:
    typer.echo(f"load: {line}", err=True)


def _fail(error: LagoonringError) -> typer.Exit:
    typer.echo(f"lagoonring-load: {error}", err=True)
    return typer.Exit(Exit.FAULTY)


def main() -> None:
    """Run the load command."""
    command()
