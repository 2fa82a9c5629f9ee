"""Which requests are suspected of crashing endpoints, and which are sure to.

A fingerprint is suspected after one crash. After a second one it is condemned,
unless the second is weak evidence. A whole answer clears a suspect; so does the
condemnation of another fingerprint that explains all of its crashes.
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
CRASHES_KEPT = 4
N_CRASHES_CONDEMNING = 2
WAVE_S = 10.0
DOWNS_KEPT = 64
N_ENDPOINTS_IN_WAVE = 3


@attrs.define(eq=False)
class Record:
    """What is known of a fingerprint; ``expires_s`` is monotonic."""

    expires_s: float
    crashes: list[Crash] = attrs.field(factory=list)
    cleared_s: float = 0.0
    is_condemned: bool = False

    @property
    def is_suspected(self) -> bool:
        """Whether there is a crash that nothing has cleared."""
        return bool(self.crashes)

    def as_suspicion(self) -> Suspicion:
        """Return the record as told to peers."""
        return Suspicion(crashes=list(self.crashes), cleared_s=self.cleared_s)


@attrs.frozen
class Verdict:
    """What a change decided about crashes with a fingerprint in progress.

    ``cause`` is ``request`` if a request brought the endpoints down, empty if
    the endpoints are to blame.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    cause: str


class QuarantineTable:
    """Bounded table of fingerprints with crashes, merged from all instances."""

    def __init__(self, clock: Clock, options: RetriesOptions) -> None:
        self.clock = clock
        self.options = options
        self.records: dict[str, Record] = {}
        self.downs: dict[str, float] = {}

    def get(self, fingerprint: str) -> Record | None:
        """Return the record of a fingerprint unless it has expired."""
        record = self.records.get(fingerprint)
        if record is None or record.expires_s > self.clock.monotonic():
            return record
        del self.records[fingerprint]
        return None

    def is_wave(self) -> bool:
        """Return whether several endpoints have gone down just now.

        One request can't explain that, so a lost data centre is likelier.
        """
        since_s = self.clock.time() - WAVE_S
        n_down = sum(time_s > since_s for time_s in self.downs.values())
        return n_down >= N_ENDPOINTS_IN_WAVE

    def note_crash(self, fingerprint: str, crash: Crash) -> list[Verdict]:
        """Take a crash in; return what it decided."""
        return self.merge(fingerprint, Suspicion(crashes=[crash]))

    def note_whole(self, fingerprint: str) -> list[Verdict]:
        """Clear a fingerprint after a whole answer; return what it decided."""
        record = self.get(fingerprint)
        if record is None or record.is_condemned or not record.crashes:
            return []
        last_s = record.crashes[-1].time_s
        return self._clear(fingerprint, record, max(last_s, self.clock.time()))

    def merge(self, fingerprint: str, news: Suspicion) -> list[Verdict]:
        """Take what a peer knows in; return what it decided."""
        record = self.get(fingerprint)
        if record is None:
            if not news.crashes and not news.cleared_s:
                return []
            record = self._add(fingerprint)
        if record.is_condemned:
            return []
        verdicts = []
        if news.cleared_s > record.cleared_s:
            verdicts += self._clear(fingerprint, record, news.cleared_s)
        is_changed = False
        for crash in news.crashes:
            if crash.time_s > record.cleared_s:
                self._note_down(crash)
                is_changed |= _add_crash(record.crashes, crash)
        if not is_changed:
            return verdicts
        record.expires_s = self.clock.monotonic() + self.options.suspect_s
        if _is_condemning(record.crashes):
            verdicts += self._condemn(fingerprint, record)
        return verdicts

    def _note_down(self, crash: Crash) -> None:
        """Remember which endpoints went down last."""
        self.downs.pop(crash.endpoint, None)
        self.downs[crash.endpoint] = crash.time_s
        if len(self.downs) > DOWNS_KEPT:
            del self.downs[next(iter(self.downs))]

    def _add(self, fingerprint: str) -> Record:
        if len(self.records) >= self.options.n_fingerprints:
            self._make_room()
        record = Record(self.clock.monotonic() + self.options.suspect_s)
        self.records[fingerprint] = record
        return record

    def _make_room(self) -> None:
        """Drop what has expired, else the oldest that is not condemned."""
        now_s = self.clock.monotonic()
        expired = [key for key, item in self.records.items() if item.expires_s <= now_s]
        for key in expired:
            del self.records[key]
        if expired:
            return
        oldest = next(iter(self.records))
        for key, record in self.records.items():
            if not record.is_condemned:
                oldest = key
                break
        del self.records[oldest]

    def _clear(
        self, fingerprint: str, record: Record, cleared_s: float
    ) -> list[Verdict]:
        """Drop crashes; the endpoint is to blame once no suspect is left."""
        dropped = [item for item in record.crashes if item.time_s <= cleared_s]
        record.cleared_s = cleared_s
        record.crashes = [item for item in record.crashes if item.time_s > cleared_s]
        blamed = tuple(crash for crash in dropped if not self._has_suspect(crash))
        return [Verdict(fingerprint, blamed, CAUSE_ENDPOINT)] if blamed else []

    def _has_suspect(self, crash: Crash) -> bool:
        return any(_is_explained(crash, item.crashes) for item in self.records.values())

    def _condemn(self, fingerprint: str, record: Record) -> list[Verdict]:
        record.is_condemned = True
        record.expires_s = self.clock.monotonic() + self.options.quarantine_s
        verdicts = [Verdict(fingerprint, tuple(record.crashes), CAUSE_REQUEST)]
        for key, other in self.records.items():
            if other.is_condemned or not other.crashes:
                continue
            crashes = tuple(other.crashes)
            if all(_is_explained(crash, record.crashes) for crash in crashes):
                other.cleared_s = max(crash.time_s for crash in crashes)
                other.crashes = []
                verdicts.append(Verdict(key, crashes, CAUSE_REQUEST))
        return verdicts


def _add_crash(crashes: list[Crash], crash: Crash) -> bool:
    """Add a crash unless it tells of an incident that is known."""
    for index, known in enumerate(crashes):
        if _is_same_incident(known, crash):
            if crash.is_strong and not known.is_strong:
                crashes[index] = crash
                return True
            return False
    crashes.append(crash)
    crashes.sort(key=lambda item: item.time_s)
    del crashes[:-CRASHES_KEPT]
    return True


def _is_same_incident(one: Crash, other: Crash) -> bool:
    if one.endpoint != other.endpoint:
        return False
    return abs(one.time_s - other.time_s) < INCIDENT_WINDOW_S


def _is_explained(crash: Crash, by: list[Crash]) -> bool:
    return any(_is_same_incident(crash, other) for other in by)


def _is_condemning(crashes: list[Crash]) -> bool:
    return len(crashes) >= N_CRASHES_CONDEMNING and crashes[-1].is_strong
