"""Reads what the system did by itself: the records of moves and of fleets.

Their holders write each decision into a stream guarded by a lease. The streams
are folded as the holders fold them, so that a record of an instance that had
lost its lease is not shown.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec

from lagoonring.audit.messages import AuditRecord
from lagoonring.fleet.messages import FleetRecord, Intent
from lagoonring.leases import LeaseStream
from lagoonring.moves.messages import MoveRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application

MOVES_STREAM = "moves"
FLEET_PREFIX = "fleet-"
ACTOR = "system"
MAX_DECISIONS = 200


class DecisionStream:
    """The newest decisions of one stream, read on at each call.

    Parameters
    ----------
    app : Application
        Finds ``log``.
    stream : str
        Name of the stream.
    describe : callable
        From a record's id, time and payload to what operators are shown.
    """

    def __init__(
        self,
        app: Application,
        stream: str,
        describe: Callable[[str, float, msgspec.Raw], AuditRecord | None],
    ) -> None:
        self.stream = stream
        self.describe = describe
        self.decisions: deque[AuditRecord] = deque(maxlen=MAX_DECISIONS)
        self.lock = asyncio.Lock()
        self.follower = LeaseStream(app.find("log"), stream, app.clock, self)

    async def read(self) -> list[AuditRecord]:
        """Return the newest decisions, oldest first."""
        async with self.lock:
            await self.follower.read_to_end()
        return list(self.decisions)

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Keep a record that counts."""
        record_shown = self.describe(f"{self.stream}:{offset}", time_s, payload)
        if record_shown is not None:
            self.decisions.append(record_shown)

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Snapshots tell the state, not when it came about."""


def describe_move(
    audit_id: str, time_s: float, payload: msgspec.Raw
) -> AuditRecord | None:
    """Return what a record of the stream ``moves`` says."""
    record = _decode(payload, MoveRecord)
    if record is None:
        return None
    target = f"moves.{record.name}"
    versions = f"{record.entry} {record.from_version} to {record.to_version}"
    reason = f": {record.reason}" if record.reason else ""
    if record.is_final and record.step > 0:
        reason = ": the version given up is unloaded"
    return AuditRecord(
        audit_id=audit_id,
        time_s=time_s,
        instance=record.holder,
        actor=ACTOR,
        action=f"move.{record.phase}",
        target=target,
        outcome="refused" if record.phase == "refused" else "done",
        detail=f"{versions}, share {record.share:g}{reason}",
    )


def describe_fleet(
    audit_id: str, time_s: float, payload: msgspec.Raw
) -> AuditRecord | None:
    """Return what a record of a stream ``fleet-DATA_CENTRE`` says."""
    record = _decode(payload, FleetRecord)
    if record is None or record.intent is None:
        return None
    intent: Intent = record.intent
    place = f"{intent.data_centre} {intent.instance_class} {intent.market}"
    reason = f": {intent.reason}" if intent.reason else ""
    return AuditRecord(
        audit_id=audit_id,
        time_s=time_s,
        instance="",
        actor=ACTOR,
        action=f"fleet.{intent.state}",
        target=f"fleet.{intent.goal} {intent.instance}".rstrip(),
        detail=f"{place}{reason}",
    )


class DecisionReader:
    """Reads the decisions of moves and of all data centres' fleets.

    Parameters
    ----------
    app : Application
        Finds ``log`` and, where there is one, ``catalogue``.
    """

    def __init__(self, app: Application) -> None:
        self.app = app
        self.streams: dict[str, DecisionStream] = {}

    async def read(self) -> list[AuditRecord]:
        """Return the newest decisions of all streams."""
        decisions: list[AuditRecord] = []
        for name in self._stream_names():
            if name not in self.streams:
                is_move = name == MOVES_STREAM
                describe = describe_move if is_move else describe_fleet
                self.streams[name] = DecisionStream(self.app, name, describe)
            decisions += await self.streams[name].read()
        return decisions

    def _stream_names(self) -> list[str]:
        """Return the streams; those of fleets whose goals are gone stay."""
        names = {MOVES_STREAM, *self.streams}
        catalogue = self.app.services.get("catalogue")
        if catalogue is not None:
            for goal in catalogue.content.fleet.values():
                names.add(f"{FLEET_PREFIX}{goal.data_centre}")
        return sorted(names)


def _decode(payload: msgspec.Raw, kind: type) -> Any:
    try:
        return msgspec.json.decode(payload, type=kind)
    except msgspec.MsgspecError:
        return None
