"""Aggregates outcomes during a run: counts, latency histograms, time series."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

from lagoonring.load.outcomes import LOST, REFUSED, UNREACHED, WHOLE

if TYPE_CHECKING:
    from lagoonring.load.options import ClassTarget, LoadSettings
    from lagoonring.load.outcomes import RequestOutcome

MIN_VALUE_US = 1
MAX_VALUE_US = 3_600_000_000
N_SIGNIFICANT_DIGITS = 3
US_PER_S = 1e6
ALL_ORGANISATIONS = "all"


@attrs.define
class Second:
    """Counts and latencies of the requests planned to arrive in one second."""

    n_arrived: int = 0
    n_whole: int = 0
    n_in_target: int = 0
    n_refused: int = 0
    n_lost: int = 0
    first_token_ms: list[float] = attrs.field(factory=list)
    booking_ms: list[float] = attrs.field(factory=list)


class Recorder:
    """Aggregated outcomes of a run so far.

    Parameters
    ----------
    settings : LoadSettings
        Provides the latency targets of the service classes.
    """

    def __init__(self, settings: LoadSettings) -> None:
        self.settings = settings
        self.histograms: dict[tuple[str, str, str], HdrHistogram] = {}
        self.outcomes: dict[tuple[str, str, str], int] = {}
        self.in_target: dict[tuple[str, str], int] = {}
        self.codes: dict[str, int] = {}
        self.sums: dict[str, int] = {}
        self.seconds: dict[int, Second] = {}
        self.n_arrived = 0
        self.n_ended = 0

    def record_arrival(self, at_s: float) -> None:
        """Record the arrival of a request at ``at_s``."""
        self.n_arrived += 1
        self._second(at_s).n_arrived += 1

    def record_outcome(self, at_s: float, outcome: RequestOutcome) -> None:
        """Record the outcome of the request that arrived at ``at_s``."""
        self.n_ended += 1
        is_in_target = self._is_in_target(outcome)
        second = self._second(at_s)
        second.n_whole += outcome.outcome == WHOLE
        second.n_in_target += is_in_target
        second.n_refused += outcome.outcome in (REFUSED, UNREACHED)
        second.n_lost += outcome.outcome == LOST
        if outcome.first_token_s is not None:
            second.first_token_ms.append(outcome.first_token_s * 1000)
        if outcome.kind == "booking" and outcome.whole_s is not None:
            second.booking_ms.append(outcome.whole_s * 1000)
        for organisation in (ALL_ORGANISATIONS, outcome.organisation):
            key = (outcome.kind, organisation)
            self.in_target[key] = self.in_target.get(key, 0) + is_in_target
            outcome_key = (outcome.kind, organisation, outcome.outcome)
            self.outcomes[outcome_key] = self.outcomes.get(outcome_key, 0) + 1
            self._record_latencies(outcome, organisation)
        if outcome.outcome != WHOLE:
            code = f"{outcome.kind} {outcome.outcome} {outcome.code}".strip()
            self.codes[code] = self.codes.get(code, 0) + 1
        self._add_sums(outcome)

    def count(self, outcome: str, kind: str | None = None) -> int:
        """Return the number of requests with an outcome, of one kind or of all."""
        return sum(
            n
            for (found_kind, organisation, name), n in self.outcomes.items()
            if organisation == ALL_ORGANISATIONS
            and name == outcome
            and kind in (None, found_kind)
        )

    def _is_in_target(self, outcome: RequestOutcome) -> bool:
        if outcome.outcome != WHOLE:
            return False
        target = self.settings.classes[outcome.service_class]
        if outcome.kind == "chat":
            return _is_chat_in_target(outcome, target)
        assert outcome.whole_s is not None
        return outcome.whole_s * 1000 <= target.first_token_ms

    def _record_latencies(self, outcome: RequestOutcome, organisation: str) -> None:
        kind = outcome.kind
        if outcome.first_token_s is not None:
            self._record_value(
                (kind, "first_token", organisation), outcome.first_token_s
            )
        for gap_s in outcome.between_tokens_s:
            self._record_value((kind, "between_tokens", organisation), gap_s)
        if outcome.whole_s is not None:
            self._record_value((kind, "whole", organisation), outcome.whole_s)

    def _record_value(self, key: tuple[str, str, str], value_s: float) -> None:
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_VALUE_US, MAX_VALUE_US, N_SIGNIFICANT_DIGITS)
            self.histograms[key] = histogram
        value_us = min(MAX_VALUE_US, max(MIN_VALUE_US, round(value_s * US_PER_S)))
        histogram.record_value(value_us)

    def _add_sums(self, outcome: RequestOutcome) -> None:
        sums = {
            "n_tokens": outcome.n_tokens,
            "n_sent": outcome.n_sent,
            "n_refusals": outcome.n_refusals,
            "n_reattached": outcome.n_reattached,
            "n_replayed": outcome.n_replayed,
            "n_foreign_answers": outcome.n_foreign_answers,
            "n_tokens_lost": outcome.faults.n_lost,
            "n_tokens_doubled": outcome.faults.n_doubled,
            "n_tokens_foreign": outcome.faults.n_foreign,
        }
        for name, n in sums.items():
            self.sums[name] = self.sums.get(name, 0) + n

    def _second(self, at_s: float) -> Second:
        return self.seconds.setdefault(int(at_s), Second())


def _is_chat_in_target(outcome: RequestOutcome, target: ClassTarget) -> bool:
    if outcome.first_token_s is None:
        return False
    if outcome.first_token_s * 1000 > target.first_token_ms:
        return False
    n_between = max(1, outcome.n_tokens - 1)
    mean_ms = sum(outcome.between_tokens_s) / n_between * 1000
    return mean_ms <= target.between_tokens_ms
