"""``lagoonring-entry``: runs one entry instance.

The command line is read by argparse: typer imports pydantic, which would stay
in the memory of every instance.
"""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from lagoonring import __version__
from lagoonring.cli.exits import EntryExit
from lagoonring.entry.process import run_logged
from lagoonring.errors import LagoonringError
from lagoonring.peers.errors import AddressNotUsableError
from lagoonring.settings import load_settings
from lagoonring.settings.entry_settings import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Sequence

EPILOG = (
    "Exit codes: 0 stopped or valid, 1 failed, 2 faulty settings, 3 an address can't "
    "be listened on. SIGTERM drains and stops, a second one ends the drain."
)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="lagoonring-entry",
        description="Serve callers as one entry instance until SIGTERM.",
        epilog=EPILOG,
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="JSON settings file."
    )
    parser.add_argument(
        "--check", action="store_true", help="Only validate the settings."
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def run(settings: Path, *, is_check: bool) -> EntryExit:
    """Check the settings, then serve unless only the check is wanted."""
    try:
        loaded = load_settings(settings, EntrySettings)
    except LagoonringError as error:
        return _fail(str(error), EntryExit.FAULTY_SETTINGS)
    if is_check:
        print(f"{settings}: valid")
        return EntryExit.STOPPED
    try:
        run_logged(loaded)
    except AddressNotUsableError as error:
        return _fail(str(error), EntryExit.ADDRESS_IN_USE)
    except LagoonringError as error:
        return _fail(str(error), EntryExit.FAILED)
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else str(error)
        return _fail(
            f"Got {reason} for {loaded.host}:{loaded.port}, expected a free "
            "address of this machine. Correct host and port, or end the process that "
            "has it.",
            EntryExit.ADDRESS_IN_USE,
        )
    return EntryExit.STOPPED


def _fail(message: str, code: EntryExit) -> EntryExit:
    print(f"lagoonring-entry: {message}", file=sys.stderr)
    return code


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with its code."""
    options = make_parser().parse_args(arguments)
    sys.exit(int(run(options.settings, is_check=options.check)))
