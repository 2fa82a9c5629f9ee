"""Plots of a run as PNG data URLs; the only module that imports matplotlib."""

from __future__ import annotations

import base64
import io
import math
from typing import TYPE_CHECKING, Any

import matplotlib

matplotlib.use("Agg")

from hdrh.histogram import HdrHistogram
from matplotlib import pyplot

if TYPE_CHECKING:
    from lagoonring.load.results import Report

FIGURE_SIZE_INCHES = (8.0, 3.2)
PERCENTILES = (*range(0, 90, 5), *range(90, 100), 99.5, 99.9)
US_PER_MS = 1000.0


def plot_seconds(report: Report) -> str:
    """Plot arrivals, answers, refusals and latencies over time."""
    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    seconds = [row.second for row in report.seconds]
    axes.step(
        seconds,
        [row.n_arrived for row in report.seconds],
        where="post",
        label="arrived",
    )
    axes.step(
        seconds,
        [row.n_in_target for row in report.seconds],
        where="post",
        label="within target",
    )
    axes.step(
        seconds,
        [row.n_refused + row.n_lost for row in report.seconds],
        where="post",
        label="refused or lost",
    )
    axes.set(xlabel="planned arrival, s", ylabel="requests a second")
    latency_axes = axes.twinx()
    for name, label, style in (
        ("first_token_p90_ms", "first token p90", ":"),
        ("booking_p90_ms", "booking p90", "--"),
    ):
        latency_axes.plot(
            seconds,
            [_nan_if_missing(getattr(row, name)) for row in report.seconds],
            color="grey",
            linestyle=style,
            label=label,
        )
    latency_axes.set_ylabel("ms")
    _mark_actions(axes, report)
    axes.legend(loc="upper left", fontsize=7)
    latency_axes.legend(loc="upper right", fontsize=7)
    return _encode_figure(figure)


def plot_histograms(histograms: dict[str, str]) -> str:
    """Plot the latency percentiles of each measure over all organisations."""
    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    for name, encoded in histograms.items():
        kind, measure, organisation = name.split("/")
        if organisation != "all":
            continue
        histogram = HdrHistogram.decode(encoded)
        values = [
            histogram.get_value_at_percentile(percentile) / US_PER_MS
            for percentile in PERCENTILES
        ]
        axes.plot(PERCENTILES, values, label=f"{kind} {measure.replace('_', ' ')}")
    axes.set(xlabel="percentile", ylabel="ms", yscale="log")
    if axes.lines:
        axes.legend(fontsize=7)
    return _encode_figure(figure)


def _nan_if_missing(value: float | None) -> float:
    return math.nan if value is None else value


def _mark_actions(axes: Any, report: Report) -> None:
    """Draw a vertical line with the names of the actions at each second."""
    names: dict[int, list[str]] = {}
    for action in report.actions:
        if action.at_s <= report.duration_s:
            names.setdefault(round(action.at_s), []).append(action.name)
    top = axes.get_ylim()[1]
    for second, action_names in names.items():
        text = "\n".join(dict.fromkeys(action_names))
        axes.axvline(second, color="black", linewidth=0.6)
        axes.text(second, top, text, fontsize=6, rotation=90, ha="right", va="top")


def _encode_figure(figure: Any) -> str:
    """Return a figure as a PNG data URL and close the figure."""
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format="png", dpi=100)
    pyplot.close(figure)
    return "data:image/png;base64," + base64.b64encode(buffer.getvalue()).decode()
