"""Formats one report, or two reports side by side, as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonring.load.results import Report

KINDS = ("chat", "booking", "lookup")
MISSING_VALUE = "-"


def list_figures(report: Report) -> list[tuple[str, float | None]]:
    """Return the names and values of a report's figures, in display order."""
    engines = report.engines
    checks = report.checks
    figures: list[tuple[str, float | None]] = [("arrivals", report.n_arrived)]
    for kind in KINDS:
        row = report.find_outcomes(kind)
        if row.n:
            figures += [
                (f"{kind}: requests", row.n),
                (f"{kind}: whole", row.n_whole),
                (f"{kind}: share within target", row.n_in_target / row.n),
                (f"{kind}: refused", row.n_refused + row.n_unreached),
                (f"{kind}: lost", row.n_lost),
                (f"{kind}: outcome unknown", row.n_unknown),
            ]
    for kind, measure in (
        ("chat", "first_token"),
        ("chat", "between_tokens"),
        ("chat", "whole"),
        ("booking", "whole"),
        ("lookup", "whole"),
    ):
        figures += _list_latency(report, kind, measure)
    n_blocks = engines.n_blocks_prefilled + engines.n_blocks_cached
    figures += [
        ("blocks prefilled", engines.n_blocks_prefilled),
        ("blocks cached", engines.n_blocks_cached),
        (
            "share of blocks cached",
            engines.n_blocks_cached / n_blocks if n_blocks else None,
        ),
        ("tokens recomputed", engines.n_tokens_recomputed),
        ("engine crashes", engines.n_crashes),
        ("requests to leaving engines", engines.n_requests_while_leaving),
        ("streams re-attached", report.n_reattached),
        ("answers replayed", report.n_replayed),
        ("refusals on the way", report.n_refusals),
        ("bill", report.costs.total),
        ("bill per 1,000 answers within target", report.costs.per_1000_in_target),
        ("moves ordered", len(report.moves)),
        ("moves finished in time", _count_moves(report, "finished")),
        ("moves taken back in time", _count_moves(report, "undone")),
        ("must be 0: answers lost", checks.n_lost),
        ("must be 0: tokens lost", checks.n_tokens_lost),
        ("must be 0: tokens doubled", checks.n_tokens_doubled),
        ("must be 0: tokens foreign", checks.n_tokens_foreign),
        ("must be 0: answers of others", checks.n_foreign_answers),
        ("must be 0: bookings doubled", checks.bookings.n_doubled),
        ("must be 0: told not run, but ran", checks.bookings.n_not_run_but_ran),
        ("must be 0: told done, but never ran", checks.bookings.n_done_but_not_run),
        ("must be 0: resends answered differently", checks.bookings.n_answers_differ),
        ("must be 0: services not read at the end", checks.n_stands_unread),
    ]
    return figures


def describe(report: Report) -> str:
    """Return the figures of one report as lines of text."""
    figures = list_figures(report)
    width = max(len(name) for name, _ in figures)
    lines = [_format_title(report)]
    lines += [f"{name:<{width}}  {_format(value):>12}" for name, value in figures]
    return "\n".join(lines)


def compare(first: Report, second: Report) -> str:
    """Return the figures of two reports side by side, with their ratios."""
    left, right = dict(list_figures(first)), dict(list_figures(second))
    names = [*left, *(name for name in right if name not in left)]
    width = max(len(name) for name in names)
    lines = [f"A: {_format_title(first)}", f"B: {_format_title(second)}"]
    lines.append(f"{'':<{width}}  {'A':>12}  {'B':>12}  {'B/A':>8}")
    for name in names:
        a, b = left.get(name), right.get(name)
        lines.append(
            f"{name:<{width}}  {_format(a):>12}  {_format(b):>12}  {_ratio(a, b):>8}"
        )
    return "\n".join(lines)


def _list_latency(
    report: Report, kind: str, measure: str
) -> list[tuple[str, float | None]]:
    row = report.find_latency(kind, measure)
    if row is None:
        return []
    name = f"{kind}: {measure.replace('_', ' ')}"
    return [
        (f"{name} p50, ms", row.p50_ms),
        (f"{name} p90, ms", row.p90_ms),
        (f"{name} p99, ms", row.p99_ms),
    ]


def _count_moves(report: Report, phase: str) -> int:
    return sum(move.phase == phase and move.is_in_time for move in report.moves)


def _format_title(report: Report) -> str:
    policy = f", policy {report.policy}" if report.policy else ""
    return f"{report.name}{policy}, seed {report.seed}, {report.duration_s:g} s"


def _format(value: float | None) -> str:
    if value is None:
        return MISSING_VALUE
    if isinstance(value, int):
        return str(value)
    return f"{value:.4g}"


def _ratio(a: float | None, b: float | None) -> str:
    if a is None or b is None or a == 0:
        return MISSING_VALUE
    return f"{b / a:.3f}"
