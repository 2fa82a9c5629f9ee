"""Folds the records of a stream ``fleet-DATA_CENTRE``."""

from __future__ import annotations

import msgspec

from lagoonring.fleet.messages import DemandNote, FleetRecord, FleetSnapshot, Intent
from lagoonring.logs import make_logger

N_CLOSED_KEPT = 500
ORDER = ("wanted", "draining", "stopping", "closed")
N_INTENTS_PER_PART = 500

logger = make_logger("fleet")


class FleetLedger:
    """The newest record of each intent, and of the demand.

    States only go forward, so a record that an outage made come late or twice
    changes nothing.
    """

    def __init__(self) -> None:
        self.intents: dict[str, Intent] = {}
        self.demand: DemandNote | None = None
        self.n_since_snapshot = 0

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Fold a record that counts."""
        try:
            record = msgspec.json.decode(payload, type=FleetRecord)
        except msgspec.MsgspecError as error:
            logger.error("Skipped a record at {}: {}", offset, error)
            return
        self.n_since_snapshot += 1
        if record.demand is not None:
            self.demand = record.demand
        if record.intent is not None:
            self._keep(record.intent)

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Replace everything by a snapshot."""
        self.intents.clear()
        self.demand = None
        self.n_since_snapshot = 0
        for part in parts:
            snapshot = msgspec.json.decode(part, type=FleetSnapshot)
            self.demand = snapshot.demand or self.demand
            for intent in snapshot.intents:
                self._keep(intent)

    def get_parts(self) -> list[FleetSnapshot]:
        """Return everything, as the parts of a snapshot."""
        intents = list(self.intents.values())
        starts = range(0, max(1, len(intents)), N_INTENTS_PER_PART)
        parts = [
            FleetSnapshot(intents=intents[start : start + N_INTENTS_PER_PART])
            for start in starts
        ]
        return [*parts, FleetSnapshot(demand=self.demand)]

    def open_intents(self) -> list[Intent]:
        """Return the intents that are not closed."""
        return [item for item in self.intents.values() if item.state != "closed"]

    def _keep(self, intent: Intent) -> None:
        before = self.intents.get(intent.token)
        if before is not None:
            if ORDER.index(intent.state) < ORDER.index(before.state):
                return
            del self.intents[intent.token]
        self.intents[intent.token] = intent
        closed = [item for item in self.intents.values() if item.state == "closed"]
        for item in closed[:-N_CLOSED_KEPT]:
            del self.intents[item.token]
