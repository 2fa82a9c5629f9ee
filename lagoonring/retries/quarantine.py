"""Table of the requests that are suspected of, or quarantined for, crashes.

A fingerprint is suspected after one crash of an endpoint that was running it,
and quarantined after a second one, unless the latter is weak evidence. A
complete answer clears a suspected fingerprint; so does the quarantine of another
fingerprint that explains all of its crashes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.retries.messages import (
    CAUSE_ENDPOINT,
    CAUSE_REQUEST,
    Crash,
    Suspicion,
)

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.retries.options import RetriesOptions

INCIDENT_WINDOW_S = 5.0
MAX_CRASHES = 4
MIN_CRASHES_FOR_QUARANTINE = 2
MASS_FAILURE_WINDOW_S = 10.0
MAX_CRASHED_ENDPOINTS = 64
MIN_ENDPOINTS_IN_MASS_FAILURE = 3


@attrs.define(eq=False)
class FingerprintRecord:
    """Crashes and state of a fingerprint; ``expires_s`` is monotonic."""

    expires_s: float
    crashes: list[Crash] = attrs.field(factory=list)
    cleared_s: float = 0.0
    is_quarantined: bool = False

    @property
    def is_suspected(self) -> bool:
        """Return whether there is a crash that has not been cleared."""
        return bool(self.crashes)

    def as_suspicion(self) -> Suspicion:
        """Return the record in the form that peers receive."""
        return Suspicion(crashes=list(self.crashes), cleared_s=self.cleared_s)


@attrs.frozen
class Verdict:
    """Decision on the cause of crashes with a fingerprint in progress.

    ``cause`` is ``request`` if a request crashed the endpoints and empty if the
    endpoints themselves are the cause.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    cause: str


class QuarantineTable:
    """Bounded table of fingerprints with crashes, merged from all instances."""

    def __init__(self, clock: Clock, options: RetriesOptions) -> None:
        self.clock = clock
        self.options = options
        self.records: dict[str, FingerprintRecord] = {}
        self.last_crash_s: dict[str, float] = {}

    def get(self, fingerprint: str) -> FingerprintRecord | None:
        """Return the record of a fingerprint unless it has expired."""
        record = self.records.get(fingerprint)
        if record is None or record.expires_s > self.clock.monotonic():
            return record
        del self.records[fingerprint]
        return None

    def is_mass_failure(self) -> bool:
        """Return whether several endpoints have crashed recently.

        A single request can't explain that; the loss of a data centre is more
        likely.
        """
        since_s = self.clock.time() - MASS_FAILURE_WINDOW_S
        n_down = sum(time_s > since_s for time_s in self.last_crash_s.values())
        return n_down >= MIN_ENDPOINTS_IN_MASS_FAILURE

    def record_crash(self, fingerprint: str, crash: Crash) -> list[Verdict]:
        """Record a crash; return the resulting verdicts."""
        return self.merge(fingerprint, Suspicion(crashes=[crash]))

    def record_completion(self, fingerprint: str) -> list[Verdict]:
        """Clear a fingerprint after a complete answer; return the verdicts."""
        record = self.get(fingerprint)
        if record is None or record.is_quarantined or not record.crashes:
            return []
        last_s = record.crashes[-1].time_s
        return self._clear(fingerprint, record, max(last_s, self.clock.time()))

    def merge(self, fingerprint: str, update: Suspicion) -> list[Verdict]:
        """Merge crashes and clearances into a record; return the verdicts."""
        record = self.get(fingerprint)
        if record is None:
            if not update.crashes and not update.cleared_s:
                return []
            record = self._add_record(fingerprint)
        if record.is_quarantined:
            return []
        verdicts = []
        if update.cleared_s > record.cleared_s:
            verdicts += self._clear(fingerprint, record, update.cleared_s)
        is_changed = False
        for crash in update.crashes:
            if crash.time_s > record.cleared_s:
                self._record_endpoint_crash(crash)
                is_changed |= _add_crash(record.crashes, crash)
        if not is_changed:
            return verdicts
        record.expires_s = self.clock.monotonic() + self.options.suspect_s
        if _warrants_quarantine(record.crashes):
            verdicts += self._quarantine(fingerprint, record)
        return verdicts

    def _record_endpoint_crash(self, crash: Crash) -> None:
        """Record the time of an endpoint's latest crash."""
        self.last_crash_s.pop(crash.endpoint, None)
        self.last_crash_s[crash.endpoint] = crash.time_s
        if len(self.last_crash_s) > MAX_CRASHED_ENDPOINTS:
            del self.last_crash_s[next(iter(self.last_crash_s))]

    def _add_record(self, fingerprint: str) -> FingerprintRecord:
        if len(self.records) >= self.options.n_fingerprints:
            self._make_room()
        record = FingerprintRecord(self.clock.monotonic() + self.options.suspect_s)
        self.records[fingerprint] = record
        return record

    def _make_room(self) -> None:
        """Drop all expired records, or else the oldest that is not quarantined.

        If all are quarantined, the oldest of them is dropped.
        """
        now_s = self.clock.monotonic()
        expired = [key for key, item in self.records.items() if item.expires_s <= now_s]
        for key in expired:
            del self.records[key]
        if expired:
            return
        oldest = next(iter(self.records))
        for key, record in self.records.items():
            if not record.is_quarantined:
                oldest = key
                break
        del self.records[oldest]

    def _clear(
        self, fingerprint: str, record: FingerprintRecord, cleared_s: float
    ) -> list[Verdict]:
        """Clear crashes up to a time; return the verdicts.

        A crash that no other suspected fingerprint explains is attributed to
        the endpoint.
        """
        cleared = [item for item in record.crashes if item.time_s <= cleared_s]
        record.cleared_s = cleared_s
        record.crashes = [item for item in record.crashes if item.time_s > cleared_s]
        unexplained = tuple(crash for crash in cleared if not self._has_suspect(crash))
        return (
            [Verdict(fingerprint, unexplained, CAUSE_ENDPOINT)] if unexplained else []
        )

    def _has_suspect(self, crash: Crash) -> bool:
        return any(_is_explained(crash, item.crashes) for item in self.records.values())

    def _quarantine(self, fingerprint: str, record: FingerprintRecord) -> list[Verdict]:
        record.is_quarantined = True
        record.expires_s = self.clock.monotonic() + self.options.quarantine_s
        verdicts = [Verdict(fingerprint, tuple(record.crashes), CAUSE_REQUEST)]
        for key, other in self.records.items():
            if other.is_quarantined or not other.crashes:
                continue
            crashes = tuple(other.crashes)
            if all(_is_explained(crash, record.crashes) for crash in crashes):
                other.cleared_s = max(crash.time_s for crash in crashes)
                other.crashes = []
                verdicts.append(Verdict(key, crashes, CAUSE_REQUEST))
        return verdicts


def _add_crash(crashes: list[Crash], crash: Crash) -> bool:
    """Add a crash unless its incident is known; return whether anything changed.

    Strong evidence replaces weak evidence of the same incident.
    """
    for index, known in enumerate(crashes):
        if _is_same_incident(known, crash):
            if crash.is_strong and not known.is_strong:
                crashes[index] = crash
                return True
            return False
    crashes.append(crash)
    crashes.sort(key=lambda item: item.time_s)
    del crashes[:-MAX_CRASHES]
    return True


def _is_same_incident(one: Crash, other: Crash) -> bool:
    if one.endpoint != other.endpoint:
        return False
    return abs(one.time_s - other.time_s) < INCIDENT_WINDOW_S


def _is_explained(crash: Crash, by: list[Crash]) -> bool:
    return any(_is_same_incident(crash, other) for other in by)


def _warrants_quarantine(crashes: list[Crash]) -> bool:
    return len(crashes) >= MIN_CRASHES_FOR_QUARANTINE and crashes[-1].is_strong
