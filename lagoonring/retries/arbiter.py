"""The home of a fingerprint: decides which attempts may start.

While nothing is known against a fingerprint, equal requests may be in progress
on two endpoints; more are sent to one of the two. After a crash only one may be
in progress at all. So one fingerprint brings down two endpoints at most, as
long as all ask the same home.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.retries.messages import (
    BUSY,
    GRANTED,
    PINNED,
    QUARANTINED,
    WHOLE,
    AttemptAnswer,
    AttemptAsk,
    AttemptEnd,
    Suspicion,
)

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.retries.options import RetriesOptions
    from lagoonring.retries.quarantine import QuarantineTable, Verdict

N_ENDPOINTS_MOST = 2


@attrs.define(eq=False)
class Flight:
    """A granted attempt; ``expires_s`` is monotonic."""

    endpoint: str
    expires_s: float


class Arbiter:
    """Grants of the fingerprints and endpoints whose home this instance is."""

    def __init__(
        self, table: QuarantineTable, clock: Clock, options: RetriesOptions
    ) -> None:
        self.table = table
        self.clock = clock
        self.options = options
        self.flights: dict[str, dict[str, Flight]] = {}
        self.completed: dict[str, None] = {}

    def ask(self, ask: AttemptAsk) -> tuple[AttemptAnswer, list[Verdict]]:
        """Decide on an attempt; also return what its news decided."""
        if ask.is_exclusive:
            return self._ask_exclusive(ask), []
        verdicts = self.table.merge(ask.key, ask.suspicion)
        record = self.table.get(ask.key)
        suspicion = record.as_suspicion() if record else Suspicion()
        if record is not None and record.is_condemned:
            return AttemptAnswer(state=QUARANTINED, suspicion=suspicion), verdicts
        flights = self._flights(ask.key)
        flights.pop(ask.grant_id, None)
        if record is not None and record.is_suspected:
            if flights:
                return AttemptAnswer(state=BUSY, suspicion=suspicion), verdicts
            self._grant(ask)
            answer = AttemptAnswer(endpoint=ask.endpoint, suspicion=suspicion)
            return answer, verdicts
        if ask.key in self.completed:
            return AttemptAnswer(endpoint=ask.endpoint), verdicts
        in_use = {flight.endpoint for flight in flights.values()}
        if ask.endpoint in in_use or len(in_use) < N_ENDPOINTS_MOST:
            self._grant(ask)
            return AttemptAnswer(endpoint=ask.endpoint), verdicts
        pinned = min(in_use)
        self._grant(attrs.evolve(ask, endpoint=pinned))
        return AttemptAnswer(state=PINNED, endpoint=pinned), verdicts

    def end(self, end: AttemptEnd) -> list[Verdict]:
        """Note the end of a granted attempt; return what it decided."""
        flights = self.flights.get(end.key)
        if flights is not None:
            flights.pop(end.grant_id, None)
            if not flights:
                del self.flights[end.key]
        verdicts = self.table.merge(end.key, end.suspicion)
        if end.result == WHOLE:
            self.note_completed(end.key)
        return verdicts

    def note_completed(self, key: str) -> None:
        """Remember that an equal request has got a whole answer."""
        self.completed.pop(key, None)
        self.completed[key] = None
        if len(self.completed) > self.options.n_fingerprints:
            del self.completed[next(iter(self.completed))]

    def _ask_exclusive(self, ask: AttemptAsk) -> AttemptAnswer:
        flights = self._flights(ask.key)
        if flights and ask.grant_id not in flights:
            return AttemptAnswer(state=BUSY)
        self._grant(ask)
        return AttemptAnswer(state=GRANTED, endpoint=ask.endpoint)

    def _flights(self, key: str) -> dict[str, Flight]:
        flights = self.flights.get(key)
        if not flights:
            return {}
        now_s = self.clock.monotonic()
        for grant_id, flight in list(flights.items()):
            if flight.expires_s <= now_s:
                del flights[grant_id]
        return flights

    def _grant(self, ask: AttemptAsk) -> None:
        if ask.key not in self.flights:
            self._make_room()
        expires_s = self.clock.monotonic() + self.options.grant_s
        flights = self.flights.setdefault(ask.key, {})
        flights[ask.grant_id] = Flight(ask.endpoint, expires_s)

    def _make_room(self) -> None:
        if len(self.flights) >= self.options.n_fingerprints:
            del self.flights[next(iter(self.flights))]
