"""Orders to move a service to another version, and how they stand."""

from __future__ import annotations

import enum

import attrs


class MoveState(enum.Enum):
    """How a move stands."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen(kw_only=True)
class MoveOrder:
    """An operator's order: a service, its new version and the time allowed."""

    service: str
    target: str
    duration_s: float
