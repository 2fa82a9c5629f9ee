"""State folded from the records of a stream ``fleet-DATA_CENTRE``."""

from __future__ import annotations

import msgspec

from lagoonring.fleet.messages import DemandReport, FleetRecord, FleetSnapshot, Intent
from lagoonring.logs import make_logger

MAX_CLOSED_INTENTS = 500
STATE_ORDER = ("wanted", "draining", "stopping", "closed")
N_INTENTS_PER_PART = 500

logger = make_logger("fleet")


class FleetLedger:
    """The newest record of each intent, and the newest demand report.

    Intents only move forward through :data:`STATE_ORDER`, so a record that arrives
    late or twice after an outage changes nothing.
    """

    def __init__(self) -> None:
        self.intents: dict[str, Intent] = {}
        self.demand: DemandReport | None = None
        self.n_since_snapshot = 0

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Apply a record that was appended under a valid lease."""
        try:
            record = msgspec.json.decode(payload, type=FleetRecord)
        except msgspec.MsgspecError as error:
            logger.error("Skipped an unreadable record at offset {}: {}", offset, error)
            return
        self.n_since_snapshot += 1
        if record.demand is not None:
            self.demand = record.demand
        if record.intent is not None:
            self._store(record.intent)

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Replace the state by a snapshot."""
        self.intents.clear()
        self.demand = None
        self.n_since_snapshot = 0
        for part in parts:
            snapshot = msgspec.json.decode(part, type=FleetSnapshot)
            self.demand = snapshot.demand or self.demand
            for intent in snapshot.intents:
                self._store(intent)

    def get_parts(self) -> list[FleetSnapshot]:
        """Return the state as the parts of a snapshot."""
        intents = list(self.intents.values())
        starts = range(0, max(1, len(intents)), N_INTENTS_PER_PART)
        parts = [
            FleetSnapshot(intents=intents[start : start + N_INTENTS_PER_PART])
            for start in starts
        ]
        return [*parts, FleetSnapshot(demand=self.demand)]

    def open_intents(self) -> list[Intent]:
        """Return all intents except closed ones."""
        return [item for item in self.intents.values() if item.state != "closed"]

    def _store(self, intent: Intent) -> None:
        previous = self.intents.get(intent.token)
        if previous is not None:
            if STATE_ORDER.index(intent.state) < STATE_ORDER.index(previous.state):
                return
            del self.intents[intent.token]
        self.intents[intent.token] = intent
        closed = [item for item in self.intents.values() if item.state == "closed"]
        for item in closed[:-MAX_CLOSED_INTENTS]:
            del self.intents[item.token]
