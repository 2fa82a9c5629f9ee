"""``lagoonring-entry``: runs one entry instance.

The arguments are parsed by argparse, since typer imports pydantic, which would take
up memory in every instance.
"""

from __future__ import annotations

import argparse
import os
import signal
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
    "be listened on. SIGTERM drains and stops; a second SIGTERM ends the drain."
)


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(
        prog="lagoonring-entry",
        description="Serve callers as one entry instance until SIGTERM.",
        epilog=EPILOG,
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="JSON settings file."
    )
    parser.add_argument(
        "--check", action="store_true", help="Validate the settings and exit."
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def run(settings: Path, *, is_check: bool) -> EntryExit:
    """Validate the settings and, unless ``is_check`` is set, serve until stopped."""
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
            "address of this machine. Correct host and port, or stop the process that "
            "uses it.",
            EntryExit.ADDRESS_IN_USE,
        )
    return EntryExit.STOPPED


def _fail(message: str, code: EntryExit) -> EntryExit:
    print(f"lagoonring-entry: {message}", file=sys.stderr)
    return code


def main(arguments: Sequence[str] | None = None) -> None:
    """Parse the arguments, run the instance and exit with a code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # settings are read at the start only
    options = make_parser().parse_args(arguments)
    sys.exit(int(run(options.settings, is_check=options.check)))
