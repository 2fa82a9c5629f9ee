"""``lagoonring-soak``: random faults on real processes, by seed."""

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
from lagoonring.soak.run import run_soak

EPILOG = "Exit codes: 0 all promises kept, 1 one was broken, 2 wrong usage."
SEEDS = 1_000_000

command = typer.Typer(
    add_completion=False, epilog=EPILOG, pretty_exceptions_enable=False
)


@command.command()
def soak(
    seed: Annotated[
        int | None, typer.Option(help="First seed; a fresh one by default.")
    ] = None,
    minutes: Annotated[
        float, typer.Option(min=0.0, help="Play seeds one after the other this long.")
    ] = 0.0,
    seconds: Annotated[
        float, typer.Option(min=1.0, help="Length of the faults of each seed.")
    ] = 20.0,
    instances: Annotated[
        int, typer.Option(min=1, max=20, help="Instances of each data centre.")
    ] = 2,
    folder: Annotated[
        Path | None, typer.Option(help="Where logs are kept; a new one by default.")
    ] = None,
) -> None:
    """Play faults on instances that run as processes, and check the promises."""
    first = random.SystemRandom().randrange(SEEDS) if seed is None else seed
    root = folder or Path(tempfile.mkdtemp(prefix="lagoonring-soak-"))
    # Connections that break under a stand-in are what is played here.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    end_s = time.monotonic() + 60 * minutes
    n_broken = 0
    number = first
    while True:
        place = root / str(number)
        place.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            run_soak(number, seconds, place, n_per_data_centre=instances)
        )
        n_broken += bool(result.violations)
        typer.echo(
            f"seed {number}: {len(result.faults)} faults, {result.n_good} of "
            f"{result.n_sent} answered, {len(result.violations)} broken"
        )
        for item in result.violations[:10]:
            typer.echo(f"  {item.guarantee}: {item.detail}")
        number += 1
        if time.monotonic() >= end_s:
            break
    typer.echo(f"{number - first} seeds from {first}, {n_broken} broke; logs: {root}")
    raise typer.Exit(Exit.FAILED if n_broken else Exit.DONE)


def main() -> None:
    """Run the command line."""
    command()


if __name__ == "__main__":
    main()
