"""Gathers outcomes while a run goes on: counts, histograms, seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

from lagoonring.load.outcomes import LOST, REFUSED, UNREACHED, WHOLE

if TYPE_CHECKING:
    from lagoonring.load.options import ClassTarget, LoadSettings
    from lagoonring.load.outcomes import RequestOutcome

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
N_DIGITS = 3
US_PER_S = 1e6
ALL = "all"


@attrs.define
class Second:
    """One second of the run, by planned arrival."""

    n_arrived: int = 0
    n_whole: int = 0
    n_in_target: int = 0
    n_refused: int = 0
    n_lost: int = 0
    first_token_ms: list[float] = attrs.field(factory=list)
    booking_ms: list[float] = attrs.field(factory=list)


class Recorder:
    """Outcomes of a run so far.

    Parameters
    ----------
    settings : LoadSettings
        The classes' targets.
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

    def arrived(self, at_s: float) -> None:
        """Count an arrival."""
        self.n_arrived += 1
        self._second(at_s).n_arrived += 1

    def ended(self, at_s: float, outcome: RequestOutcome) -> None:
        """Take the outcome of the request that arrived at ``at_s``."""
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
        for organisation in (ALL, outcome.organisation):
            key = (outcome.kind, organisation)
            self.in_target[key] = self.in_target.get(key, 0) + is_in_target
            counted = (outcome.kind, organisation, outcome.outcome)
            self.outcomes[counted] = self.outcomes.get(counted, 0) + 1
            self._time(outcome, organisation)
        if outcome.outcome != WHOLE:
            code = f"{outcome.kind} {outcome.outcome} {outcome.code}".strip()
            self.codes[code] = self.codes.get(code, 0) + 1
        self._sum_up(outcome)

    def count(self, outcome: str, kind: str | None = None) -> int:
        """Return how many requests had an outcome."""
        return sum(
            n
            for (found, organisation, name), n in self.outcomes.items()
            if organisation == ALL and name == outcome and kind in (None, found)
        )

    def _is_in_target(self, outcome: RequestOutcome) -> bool:
        if outcome.outcome != WHOLE:
            return False
        target = self.settings.classes[outcome.service_class]
        if outcome.kind == "chat":
            return _is_chat_in_target(outcome, target)
        assert outcome.whole_s is not None
        return outcome.whole_s * 1000 <= target.first_token_ms

    def _time(self, outcome: RequestOutcome, organisation: str) -> None:
        kind = outcome.kind
        if outcome.first_token_s is not None:
            self._record((kind, "first_token", organisation), outcome.first_token_s)
        for gap_s in outcome.between_tokens_s:
            self._record((kind, "between_tokens", organisation), gap_s)
        if outcome.whole_s is not None:
            self._record((kind, "whole", organisation), outcome.whole_s)

    def _record(self, key: tuple[str, str, str], value_s: float) -> None:
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, N_DIGITS)
            self.histograms[key] = histogram
        value_us = min(HIGHEST_US, max(LOWEST_US, round(value_s * US_PER_S)))
        histogram.record_value(value_us)

    def _sum_up(self, outcome: RequestOutcome) -> None:
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
