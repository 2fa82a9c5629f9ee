"""Builds the report of a run from recorded outcomes and stand-in counters."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.load.checker import ObservedBooking, check_bookings
from lagoonring.load.counts import EngineCounts, Snapshot, compute_endpoint_cost
from lagoonring.load.options import LoadSettings
from lagoonring.load.outcomes import LOST, REFUSED, UNKNOWN, UNREACHED, WHOLE
from lagoonring.load.recorder import ALL_ORGANISATIONS, Recorder
from lagoonring.load.results import (
    ActionResult,
    Checks,
    Costs,
    Latency,
    MoveResult,
    Outcomes,
    Report,
    SecondResult,
)

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram


US_PER_MS = 1000.0
N_DECIMALS = 2


@attrs.define(kw_only=True)
class RunData:
    """Data collected in a run, the input of its report."""

    settings: LoadSettings
    seed: int
    took_s: float
    recorder: Recorder
    observed: dict[str, ObservedBooking]
    before: Snapshot
    after: Snapshot
    moves: list[MoveResult] = attrs.field(factory=list)
    actions: list[ActionResult] = attrs.field(factory=list)


def summarise(data: RunData) -> Report:
    """Return the report of a run."""
    recorder = data.recorder
    return Report(
        name=data.settings.name,
        policy=data.settings.policy,
        seed=data.seed,
        duration_s=data.settings.duration_s,
        took_s=round(data.took_s, N_DECIMALS),
        n_entries=len(data.settings.entries),
        n_arrived=recorder.n_arrived,
        outcomes=make_outcomes(recorder),
        latencies=make_latencies(recorder.histograms),
        checks=make_checks(data),
        costs=make_costs(data),
        engines=make_engine_counts(data.before, data.after),
        n_reattached=recorder.sums.get("n_reattached", 0),
        n_replayed=recorder.sums.get("n_replayed", 0),
        n_refusals=recorder.sums.get("n_refusals", 0),
        codes=dict(sorted(recorder.codes.items())),
        moves=data.moves,
        actions=data.actions,
        seconds=make_seconds(recorder),
    )


def make_outcomes(recorder: Recorder) -> list[Outcomes]:
    """Return the counts of outcomes by kind and organisation."""
    keys = sorted({key[:2] for key in recorder.outcomes})
    rows = []
    for kind, organisation in keys:

        def count(name: str, *, key: tuple[str, str] = (kind, organisation)) -> int:
            return recorder.outcomes.get((*key, name), 0)

        counts = [count(name) for name in (WHOLE, REFUSED, LOST, UNKNOWN, UNREACHED)]
        row = Outcomes(
            kind=kind,
            organisation=organisation,
            n=sum(counts),
            n_whole=counts[0],
            n_in_target=recorder.in_target.get((kind, organisation), 0),
            n_refused=counts[1],
            n_lost=counts[2],
            n_unknown=counts[3],
            n_unreached=counts[4],
        )
        rows.append(row)
    return rows


def make_latencies(
    histograms: dict[tuple[str, str, str], HdrHistogram],
) -> list[Latency]:
    """Return the latency percentiles of all histograms."""
    return [
        Latency(
            kind=kind,
            measure=measure,
            organisation=organisation,
            n=histogram.get_total_count(),
            p50_ms=_percentile_ms(histogram, 50),
            p90_ms=_percentile_ms(histogram, 90),
            p99_ms=_percentile_ms(histogram, 99),
            most_ms=_percentile_ms(histogram, 100),
        )
        for (kind, measure, organisation), histogram in sorted(histograms.items())
    ]


def make_checks(data: RunData) -> Checks:
    """Return the results of checking answers and bookings."""
    sums = data.recorder.sums
    settings = data.settings
    n_unread = len(settings.services.keys() - data.after.services.keys())
    runs = [service.by_key for service in data.after.services.values()]
    return Checks(
        n_answers=data.recorder.count(WHOLE),
        n_tokens=sums.get("n_tokens", 0),
        n_lost=data.recorder.count(LOST),
        n_tokens_lost=sums.get("n_tokens_lost", 0),
        n_tokens_doubled=sums.get("n_tokens_doubled", 0),
        n_tokens_foreign=sums.get("n_tokens_foreign", 0),
        n_foreign_answers=sums.get("n_foreign_answers", 0),
        n_stands_unread=n_unread,
        bookings=check_bookings(data.observed, runs),
    )


def make_costs(data: RunData) -> Costs:
    """Return the costs: the cloud's if it reported any, else hours times prices."""
    before, after = data.before.costs, data.after.costs
    if after:
        source = "cloud"
        total = sum(after.values()) - sum(before.values())
    else:
        source = "prices"
        total = compute_endpoint_cost(data.settings, data.took_s)
    n_in_target = sum(
        n
        for (_, organisation), n in data.recorder.in_target.items()
        if organisation == ALL_ORGANISATIONS
    )
    per_1000 = total / n_in_target * 1000 if n_in_target else None
    return Costs(source=source, total=total, per_1000_in_target=per_1000)


def make_engine_counts(before: Snapshot, after: Snapshot) -> EngineCounts:
    """Return the summed counters of all engines over the run."""
    total = EngineCounts()
    for name, counts in after.engines.items():
        total = total.plus(counts.minus(before.engines.get(name, EngineCounts())))
    return total


def make_seconds(recorder: Recorder) -> list[SecondResult]:
    """Return the time series of the run, a row per second with arrivals."""
    return [
        SecondResult(
            second=number,
            n_arrived=second.n_arrived,
            n_whole=second.n_whole,
            n_in_target=second.n_in_target,
            n_refused=second.n_refused,
            n_lost=second.n_lost,
            first_token_p90_ms=_p90(second.first_token_ms),
            booking_p90_ms=_p90(second.booking_ms),
        )
        for number, second in sorted(recorder.seconds.items())
    ]


def _p90(values: list[float]) -> float | None:
    if not values:
        return None
    return round(sorted(values)[int(0.9 * (len(values) - 1))], N_DECIMALS)


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    value_us = histogram.get_value_at_percentile(percentile)
    return round(value_us / US_PER_MS, N_DECIMALS)
