"""The report of a run, as stored in ``report.json``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.errors import InvalidInputError
from lagoonring.load.checker import BookingFaults
from lagoonring.load.counts import EngineCounts

if TYPE_CHECKING:
    from pathlib import Path

REPORT_FILE = "report.json"
HISTOGRAMS_FILE = "histograms.json"


class UnreadableReportError(InvalidInputError):
    """A folder has no readable report of a run."""

    code = "unreadable_report"


@attrs.frozen(kw_only=True)
class Outcomes:
    """Counts of outcomes of the requests of one kind and organisation."""

    kind: str
    organisation: str
    n: int = 0
    n_whole: int = 0
    n_in_target: int = 0
    n_refused: int = 0
    n_lost: int = 0
    n_unknown: int = 0
    n_unreached: int = 0


@attrs.frozen(kw_only=True)
class Latency:
    """Latency percentiles of one measure, in milliseconds.

    ``measure`` is ``first_token`` or ``whole``, both counted from the planned
    arrival, or ``between_tokens``.
    """

    kind: str
    measure: str
    organisation: str
    n: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    most_ms: float


@attrs.frozen(kw_only=True)
class Checks:
    """Results of the checks: numbers of items checked, and faults, expected to be 0.

    ``n_stands_unread`` is the number of services whose counters could not be read
    at the end, so that their bookings are unchecked.
    """

    n_answers: int = 0
    n_tokens: int = 0
    n_lost: int = 0
    n_tokens_lost: int = 0
    n_tokens_doubled: int = 0
    n_tokens_foreign: int = 0
    n_foreign_answers: int = 0
    n_stands_unread: int = 0
    bookings: BookingFaults = attrs.field(factory=BookingFaults)

    @property
    def n_faults(self) -> int:
        """Total of all values that must be 0, unread stand-ins included."""
        bookings = self.bookings
        return (
            self.n_lost
            + self.n_tokens_lost
            + self.n_tokens_doubled
            + self.n_tokens_foreign
            + self.n_foreign_answers
            + self.n_stands_unread
            + bookings.n_doubled
            + bookings.n_not_run_but_ran
            + bookings.n_done_but_not_run
            + bookings.n_answers_differ
        )


@attrs.frozen(kw_only=True)
class Costs:
    """Costs of the run; ``source`` is ``cloud`` or ``prices``.

    ``per_1000_in_target`` is None if no answer was within its target.
    """

    source: str
    total: float
    per_1000_in_target: float | None


@attrs.frozen(kw_only=True)
class MoveResult:
    """State of a version move at the end of the run.

    ``took_s`` is the time from its first appearance until it had finished, was
    undone or refused, None if it had not ended; ``is_in_time`` says whether it ended
    by its deadline. ``n_old`` and ``n_new`` are the highest numbers of compared
    requests seen on either version.
    """

    name: str
    entry: str
    to_version: str
    phase: str
    reason: str = ""
    took_s: float | None = None
    is_in_time: bool = False
    n_old: int = 0
    n_new: int = 0


@attrs.frozen(kw_only=True)
class ActionResult:
    """An executed action of the schedule; ``status`` is 0 if there was no answer."""

    at_s: float
    name: str
    status: int


@attrs.frozen(kw_only=True)
class SecondResult:
    """Counts and percentiles of the requests planned to arrive in one second."""

    second: int
    n_arrived: int
    n_whole: int
    n_in_target: int
    n_refused: int
    n_lost: int
    first_token_p90_ms: float | None = None
    booking_p90_ms: float | None = None


@attrs.frozen(kw_only=True)
class Report:
    """All results of a run."""

    name: str
    policy: str
    seed: int
    duration_s: float
    took_s: float
    n_entries: int
    n_arrived: int
    outcomes: list[Outcomes]
    latencies: list[Latency]
    checks: Checks
    costs: Costs
    engines: EngineCounts
    n_reattached: int = 0
    n_replayed: int = 0
    n_refusals: int = 0
    codes: dict[str, int] = attrs.field(factory=dict)
    moves: list[MoveResult] = attrs.field(factory=list)
    actions: list[ActionResult] = attrs.field(factory=list)
    seconds: list[SecondResult] = attrs.field(factory=list)

    def find_outcomes(self, kind: str) -> Outcomes:
        """Return the outcomes of a kind over all organisations, zeros if absent."""
        for row in self.outcomes:
            if row.kind == kind and row.organisation == "all":
                return row
        return Outcomes(kind=kind, organisation="all")

    def find_latency(self, kind: str, measure: str) -> Latency | None:
        """Return the latency of a kind over all organisations, None if not measured."""
        for row in self.latencies:
            key = (row.kind, row.measure, row.organisation)
            if key == (kind, measure, "all"):
                return row
        return None


def write_report(folder: Path, report: Report, histograms: dict[str, str]) -> None:
    """Write a report and its histograms into a folder, created if absent."""
    folder.mkdir(parents=True, exist_ok=True)
    _write(folder / REPORT_FILE, report)
    _write(folder / HISTOGRAMS_FILE, histograms)


def trim_report(report: Report) -> Report:
    """Return a report without its seconds and per-organisation latencies."""
    latencies = [row for row in report.latencies if row.organisation == "all"]
    return attrs.evolve(report, seconds=[], latencies=latencies)


def write_trimmed(path: Path, report: Report) -> None:
    """Write the trimmed report, see :func:`trim_report`, to a file."""
    _write(path, trim_report(report))


def read_report(folder: Path) -> Report:
    """Return the report in a folder.

    Raises
    ------
    UnreadableReportError
        If the file is missing or does not match the schema.
    """
    path = folder / REPORT_FILE
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except (OSError, msgspec.MsgspecError) as error:
        raise UnreadableReportError(
            f"Got {path} with {error}, expected the report of a run.",
            remedy="Name a folder that 'lagoonring-load run --out' has written.",
        ) from error


def _write(path: Path, value: Any) -> None:
    encoded = msgspec.json.encode(value)
    path.write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")
