"""``lagoonring-soak``: seeded fault injection into real processes."""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

from lagoonring.cli.exits import Exit
from lagoonring.soak.deployment import OTHER_SUFFIX
from lagoonring.soak.faults import KINDS
from lagoonring.soak.run import SoakResult, run_soak

EPILOG = "Exit codes: 0 no promise broken, 1 a promise broken, 2 wrong usage."
MAX_FIRST_SEED = 1_000_000

command = typer.Typer(
    add_completion=False, epilog=EPILOG, pretty_exceptions_enable=False
)


@command.command()
def soak(
    seed: Annotated[
        int | None, typer.Option(help="First seed; random by default.")
    ] = None,
    minutes: Annotated[
        float, typer.Option(min=0.0, help="Run further seeds for this long.")
    ] = 0.0,
    seconds: Annotated[
        float, typer.Option(min=1.0, help="Duration of fault injection for each seed.")
    ] = 20.0,
    instances: Annotated[
        int,
        typer.Option(min=1, max=20, help="Number of instances in each data centre."),
    ] = 2,
    without: Annotated[
        str, typer.Option(help="Kinds of faults to leave out, separated by commas.")
    ] = "",
    only: Annotated[
        str, typer.Option(help="Kinds of faults to inject; all by default.")
    ] = "",
    other_python: Annotated[
        Path | None,
        typer.Option(help="Python of another installed build, for every second one."),
    ] = None,
    folder: Annotated[
        Path | None,
        typer.Option(help="Folder for logs; a new temporary one by default."),
    ] = None,
) -> None:
    """Inject faults into instances run as processes, and check the promises."""
    left_out, chosen = _split(without), _split(only) or set(KINDS)
    unknown = (left_out | chosen) - set(KINDS)
    if unknown:
        raise typer.BadParameter(
            f"Got {', '.join(sorted(unknown))}, expected kinds of faults. "
            f"Choose from {', '.join(sorted(KINDS))}."
        )
    if other_python is not None and not other_python.is_file():
        raise typer.BadParameter(
            f"Got {other_python}, expected the Python of another installed build. "
            "Give the path of the one in its virtual environment."
        )
    kinds = [name for name in KINDS if name in chosen - left_out]
    if not kinds:
        raise typer.BadParameter("Got no kind of fault that is left, expected one.")
    first = random.SystemRandom().randrange(MAX_FIRST_SEED) if seed is None else seed
    root = folder or Path(tempfile.mkdtemp(prefix="lagoonring-soak-"))
    # Connections broken at a stand-in are injected faults, so they are not logged.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    end_s = time.monotonic() + 60 * minutes
    n_broken = 0
    number = first
    while True:
        seed_folder = root / str(number)
        seed_folder.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            run_soak(
                number,
                seconds,
                seed_folder,
                n_per_data_centre=instances,
                kinds=kinds,
                other_python=other_python,
            )
        )
        n_broken += bool(result.violations)
        typer.echo(
            f"seed {number}: {len(result.faults)} faults, {result.n_good} of "
            f"{result.n_sent} answered, {len(result.violations)} broken"
            f"{_describe_other(result) if other_python else ''}"
        )
        if result.stops:
            stops = ", ".join(f"{n} {name}" for name, n in result.stops.items())
            typer.echo(
                f"  runs stopped: {stops}; {result.n_moved} went on, "
                f"{result.n_cut} streams cut"
            )
        if result.n_relayed:
            typer.echo(
                f"  {result.n_relayed} requests relayed, {result.n_relayed_moved} of "
                "them moved and went on"
            )
        for item in result.violations[:10]:
            typer.echo(f"  {item.guarantee}: {item.detail}")
        number += 1
        if time.monotonic() >= end_s:
            break
    typer.echo(f"{number - first} seeds from {first}, {n_broken} broke; logs: {root}")
    raise typer.Exit(Exit.FAILED if n_broken else Exit.DONE)


def _describe_other(result: SoakResult) -> str:
    """Return how many promises instances of another build broke."""
    n_other = sum(OTHER_SUFFIX in item.detail for item in result.violations)
    return f", {n_other} of these at instances of the other build"


def _split(text: str) -> set[str]:
    return {name for name in text.split(",") if name}


def main() -> None:
    """Run the soak command."""
    command()


if __name__ == "__main__":
    main()
