"""Calls that move runs between the engines of a soak, and what engines keep of them."""

from __future__ import annotations

import asyncio
import enum

import attrs
import msgspec

from lagoonring.soak.endpoints import Run


class CallOutcome(enum.StrEnum):
    """What becomes of a call that moves a run."""

    DONE = "done"
    LATE = "late"  # executed, answered late
    LOST = "lost"  # executed, never answered
    NOT_EXECUTED = "not executed"  # nor answered
    DELAYED = "delayed"  # executed seconds later, never answered
    NOT_FOUND = "not found"  # executed, answered as if there was no such run
    NO_ROOM = "no room"  # stopped, but not copied


UNKNOWN_OUTCOMES = (CallOutcome.LOST, CallOutcome.NOT_EXECUTED, CallOutcome.DELAYED)
COPY_OUTCOMES = (*UNKNOWN_OUTCOMES, CallOutcome.LATE, CallOutcome.NO_ROOM)


class MoveBody(msgspec.Struct):
    """Body of a call that moves a run."""

    id: str
    target: str
    last: bool = False


@attrs.frozen(kw_only=True)
class MoveCall:
    """A call that moves a run, as an engine received it; ``at_s`` is monotonic."""

    request_id: str
    endpoint: str
    target: str
    is_last: bool
    outcome: CallOutcome
    at_s: float


@attrs.define(kw_only=True, eq=False)
class RunningStream:
    """A stream in progress: the events sent, and whether it was told to stop.

    ``is_closed`` says that its engine ends.
    """

    run: Run
    n_sent: int
    is_moving: bool = False
    is_closed: bool = False
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define(kw_only=True, eq=False)
class KvCopy:
    """The memory of a run, at the engines that list its handle.

    ``is_stopped`` says that the run has been stopped, so that the source, too, may
    continue it.
    """

    handle: str
    run: Run
    source: str
    target: str
    made_s: float
    is_stopped: bool = False
    is_used: bool = False
