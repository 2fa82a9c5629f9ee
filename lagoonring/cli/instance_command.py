"""``lagoonring-instance``: runs one instance on the platform.

The arguments are parsed by argparse, since typer imports pydantic, which would take
up memory in every instance.
"""

from __future__ import annotations

import argparse
import gc
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from lagoonring import __version__
from lagoonring.cli.exits import EntryExit
from lagoonring.errors import LagoonringError
from lagoonring.platform.boot import PATH_VARIABLE, load_boot_file

if TYPE_CHECKING:
    from collections.abc import Sequence

METRICS_PORT = 9464
# The platform uses no TLS. Without these, aiohttp would load all certificate
# authorities on import, which takes a tenth of the start time of a process.
NO_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(
        prog="lagoonring-instance",
        description="Serve callers on the platform until SIGTERM.",
        epilog="Exit codes: 0 stopped or valid, 1 failed, 2 faulty settings.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=os.environ.get(PATH_VARIABLE),
        help=f"The platform's settings file; {PATH_VARIABLE} by default.",
    )
    parser.add_argument(
        "--metrics-port", type=int, default=METRICS_PORT, help="TCP port of /metrics."
    )
    parser.add_argument(
        "--check", action="store_true", help="Validate the settings and exit."
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def main(arguments: Sequence[str] | None = None) -> None:
    """Parse the arguments, run the instance and exit with a code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the reload is set up
    options = make_parser().parse_args(arguments)
    if options.settings is None:
        print(f"Got no settings file; set {PATH_VARIABLE} to it.", file=sys.stderr)
        sys.exit(int(EntryExit.FAULTY_SETTINGS))
    try:
        load_boot_file(Path(options.settings))
    except LagoonringError as error:
        print(f"lagoonring-instance: {error}", file=sys.stderr)
        sys.exit(int(EntryExit.FAULTY_SETTINGS))
    if options.check:
        print(f"{options.settings}: valid")
        return
    os.environ.update(NO_CERTIFICATES)
    gc.disable()
    from lagoonring.platform.process import run_logged

    run_logged(Path(options.settings), metrics_port=options.metrics_port)


if __name__ == "__main__":
    main()
