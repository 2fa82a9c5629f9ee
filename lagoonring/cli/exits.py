"""Exit codes of the programs."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """What a program's exit code says.

    ``REFUSED`` covers conflicts and missing permission, ``UNREACHABLE`` an
    instance or platform that does not answer, ``UNKNOWN`` an order whose fate
    must be looked up before it is given again.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    FAULTY = 3
    REFUSED = 4
    UNREACHABLE = 5
    UNKNOWN = 6
