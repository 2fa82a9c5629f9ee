"""Writes the HTML page of a run, a single self-contained file."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING

import msgspec

from lagoonring.load.comparison import describe
from lagoonring.load.results import HISTOGRAMS_FILE, read_report

if TYPE_CHECKING:
    from pathlib import Path

    from lagoonring.load.results import Report

PAGE_FILE = "report.html"
STYLE = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
    "table{border-collapse:collapse}td,th{padding:.1em .6em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}.fault{color:#b00}"
)


def write_page(folder: Path) -> Path:
    """Write the page of the run whose report is in a folder; return the page's path."""
    from lagoonring.load.plots import plot_histograms, plot_seconds

    report = read_report(folder)
    path = folder / HISTOGRAMS_FILE
    histograms = msgspec.json.decode(path.read_bytes()) if path.exists() else {}
    parts = [
        f"<h1>{html.escape(report.name)}</h1>",
        _render_verdict(report),
        _render_image(plot_seconds(report), "requests over time"),
        _render_image(plot_histograms(histograms), "latency by percentile"),
        "<h2>Organisations</h2>",
        _render_organisations(report),
        "<h2>Figures</h2>",
        f"<pre>{html.escape(describe(report))}</pre>",
        "<h2>What went wrong on the way</h2>",
        _render_codes(report),
    ]
    title = f"<title>{html.escape(report.name)}</title>"
    head = f'<meta charset="utf-8">{title}<style>{STYLE}</style>'
    page = folder / PAGE_FILE
    page.write_text(f"<!doctype html><html><head>{head}</head><body>")
    with page.open("a") as file:
        file.write("\n".join(parts))
        file.write("</body></html>\n")
    return page


def _render_verdict(report: Report) -> str:
    n_faults = report.checks.n_faults
    if n_faults:
        return f'<p class="fault">{n_faults} faults found, expected none.</p>'
    return (
        f"<p>{report.checks.n_answers} answers and {report.checks.bookings.n_keys} "
        "keys checked: nothing lost, doubled or foreign.</p>"
    )


def _render_image(data_url: str, text: str) -> str:
    return f'<img src="{data_url}" alt="{text}">'


def _render_organisations(report: Report) -> str:
    cells = ["kind", "organisation", "requests", "within target", "refused", "lost"]
    rows = [_render_row(cells, "th")]
    for row in report.outcomes:
        share = f"{row.n_in_target / row.n:.1%}" if row.n else "-"
        n_refused = row.n_refused + row.n_unreached
        values = [row.kind, row.organisation, row.n, share, n_refused, row.n_lost]
        rows.append(_render_row([str(value) for value in values], "td"))
    return f"<table>{''.join(rows)}</table>"


def _render_codes(report: Report) -> str:
    rows = [_render_row([code, str(n)], "td") for code, n in report.codes.items()]
    return f"<table>{''.join(rows)}</table>" if rows else "<p>Nothing.</p>"


def _render_row(cells: list[str], tag: str) -> str:
    inner = "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells)
    return f"<tr>{inner}</tr>"
