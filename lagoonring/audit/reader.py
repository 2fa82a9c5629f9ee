"""Reader of automatic decisions, from the streams of moves and fleets.

Each decision is appended to a stream guarded by a lease. The streams are replayed
as their holders replay them, so records written after a lease was lost are left
out.
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
    """Newest decisions of one stream, updated at each read.

    Parameters
    ----------
    app : Application
        Provides ``log``.
    stream : str
        Name of the stream.
    describe : callable
        Returns the audit record for a record's id, time and payload, or None.
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
        """Add a record that was written under a valid lease."""
        record_shown = self.describe(f"{self.stream}:{offset}", time_s, payload)
        if record_shown is not None:
            self.decisions.append(record_shown)

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Ignore snapshots, which contain a state but no decisions with times."""


def describe_move(
    audit_id: str, time_s: float, payload: msgspec.Raw
) -> AuditRecord | None:
    """Return the audit record for a record of the stream ``moves``."""
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
    """Return the audit record for a record of a stream ``fleet-DATA_CENTRE``."""
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
    """Reads the decisions of moves and of the fleets of all data centres.

    Parameters
    ----------
    app : Application
        Provides ``log`` and, if present, ``catalogue``.
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
        """Return all streams, including those of fleets whose goals were removed."""
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
