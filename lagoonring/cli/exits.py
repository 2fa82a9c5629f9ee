"""Exit codes of the programs."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """What a program's exit code says.

    ``FAULTY`` is input with faults, each of them listed. ``REFUSED`` covers
    conflicts, missing permission, unknown names and moves that were taken back,
    ``UNREACHABLE`` an instance or platform that does not answer, where nothing
    was changed, ``UNKNOWN`` an order that may have been taken.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    FAULTY = 3
    REFUSED = 4
    UNREACHABLE = 5
    UNKNOWN = 6


EPILOG = (
    "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 faulty input, 4 refused, conflict, "
    "unknown name or undone move, 5 not reachable (nothing changed), 6 fate unknown "
    "(repeat as the message says)."
)


class EntryExit(enum.IntEnum):
    """What the exit code of an entry instance says."""

    STOPPED = 0
    FAILED = 1
    FAULTY_SETTINGS = 2
    ADDRESS_IN_USE = 3
