"""Exit codes of the programs."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """Exit codes of the operator command, also used by the load and soak commands.

    ``FAULTY`` means invalid input, with every fault listed. ``REFUSED`` covers
    conflicts, missing permission, unknown names and moves that were undone.
    ``UNREACHABLE`` means that an instance or the platform did not answer and nothing
    was changed. ``UNKNOWN`` means that an order may have been accepted.
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
    """Exit codes of the commands that run an instance."""

    STOPPED = 0
    FAILED = 1
    FAULTY_SETTINGS = 2
    ADDRESS_IN_USE = 3
