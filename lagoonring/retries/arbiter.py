"""Decides, at the home instance of a fingerprint, which attempts may start.

Until a fingerprint is suspected, equal requests may be in progress on two
endpoints; further ones are sent to one of the two. After a crash, only one
attempt may be in progress. A fingerprint therefore crashes at most two endpoints,
provided that all instances ask the same home.
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
    AttemptEnd,
    AttemptQuery,
    Suspicion,
)

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.retries.options import RetriesOptions
    from lagoonring.retries.quarantine import QuarantineTable, Verdict

MAX_ENDPOINTS = 2


@attrs.define(eq=False)
class InFlightAttempt:
    """A granted attempt; ``expires_s`` is the monotonic time of its expiry."""

    endpoint: str
    expires_s: float


class Arbiter:
    """Grants attempts for the keys whose home is this instance.

    A key is a fingerprint or an endpoint that is used exclusively.
    """

    def __init__(
        self, table: QuarantineTable, clock: Clock, options: RetriesOptions
    ) -> None:
        self.table = table
        self.clock = clock
        self.options = options
        self.in_flight: dict[str, dict[str, InFlightAttempt]] = {}
        self.completed: dict[str, None] = {}

    def decide(self, query: AttemptQuery) -> tuple[AttemptAnswer, list[Verdict]]:
        """Decide on an attempt.

        Returns the answer, and the verdicts that follow from the suspicion that
        the query carries.
        """
        if query.is_exclusive:
            return self._decide_exclusive(query), []
        verdicts = self.table.merge(query.key, query.suspicion)
        record = self.table.get(query.key)
        suspicion = record.as_suspicion() if record else Suspicion()
        if record is not None and record.is_quarantined:
            return AttemptAnswer(state=QUARANTINED, suspicion=suspicion), verdicts
        in_flight = self._unexpired(query.key)
        in_flight.pop(query.grant_id, None)
        if record is not None and record.is_suspected:
            if in_flight:
                return AttemptAnswer(state=BUSY, suspicion=suspicion), verdicts
            self._grant(query)
            answer = AttemptAnswer(endpoint=query.endpoint, suspicion=suspicion)
            return answer, verdicts
        if query.key in self.completed:
            return AttemptAnswer(endpoint=query.endpoint), verdicts
        in_use = {attempt.endpoint for attempt in in_flight.values()}
        if query.endpoint in in_use or len(in_use) < MAX_ENDPOINTS:
            self._grant(query)
            return AttemptAnswer(endpoint=query.endpoint), verdicts
        pinned = min(in_use)
        self._grant(attrs.evolve(query, endpoint=pinned))
        return AttemptAnswer(state=PINNED, endpoint=pinned), verdicts

    def end(self, end: AttemptEnd) -> list[Verdict]:
        """Record the end of a granted attempt; return the resulting verdicts."""
        in_flight = self.in_flight.get(end.key)
        if in_flight is not None:
            in_flight.pop(end.grant_id, None)
            if not in_flight:
                del self.in_flight[end.key]
        verdicts = self.table.merge(end.key, end.suspicion)
        if end.result == WHOLE:
            self.record_completion(end.key)
        return verdicts

    def record_completion(self, key: str) -> None:
        """Record that a request with this fingerprint got a complete answer."""
        self.completed.pop(key, None)
        self.completed[key] = None
        if len(self.completed) > self.options.n_fingerprints:
            del self.completed[next(iter(self.completed))]

    def _decide_exclusive(self, query: AttemptQuery) -> AttemptAnswer:
        in_flight = self._unexpired(query.key)
        if in_flight and query.grant_id not in in_flight:
            return AttemptAnswer(state=BUSY)
        self._grant(query)
        return AttemptAnswer(state=GRANTED, endpoint=query.endpoint)

    def _unexpired(self, key: str) -> dict[str, InFlightAttempt]:
        in_flight = self.in_flight.get(key)
        if not in_flight:
            return {}
        now_s = self.clock.monotonic()
        for grant_id, attempt in list(in_flight.items()):
            if attempt.expires_s <= now_s:
                del in_flight[grant_id]
        return in_flight

    def _grant(self, query: AttemptQuery) -> None:
        if query.key not in self.in_flight:
            self._make_room()
        expires_s = self.clock.monotonic() + self.options.grant_s
        in_flight = self.in_flight.setdefault(query.key, {})
        in_flight[query.grant_id] = InFlightAttempt(query.endpoint, expires_s)

    def _make_room(self) -> None:
        if len(self.in_flight) >= self.options.n_fingerprints:
            del self.in_flight[next(iter(self.in_flight))]
