"""Records of planned work during a soak."""

from __future__ import annotations

import enum

import attrs


class WorkKind(enum.StrEnum):
    """The kinds of planned work."""

    STOP = "SIGTERM"
    RELOAD = "SIGHUP"
    CHANGE = "configuration"


@attrs.frozen(kw_only=True)
class PlannedWork:
    """Planned work on one process, or on all if ``pid`` is None; monotonic times."""

    kind: WorkKind
    at_s: float
    pid: int | None = None
