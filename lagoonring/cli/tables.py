"""Output of tables and JSON on the terminal."""

from __future__ import annotations

import datetime
import json
from typing import Any

import typer

COLUMN_GAP = "  "


def show(rows: list[dict[str, Any]], columns: list[str], *, as_json: bool) -> None:
    """Print rows as a table of the given columns, or complete as JSON."""
    if as_json:
        show_json(rows)
        return
    if not rows:
        typer.echo("none")
        return
    lines = [columns, *([_cell(row.get(name)) for name in columns] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        typer.echo(COLUMN_GAP.join(cells).rstrip())


def show_line(row: dict[str, Any], columns: list[str], *, as_json: bool) -> None:
    """Print one row without a header, or as one line of JSON."""
    if as_json:
        typer.echo(json.dumps(row, sort_keys=True))
        return
    cells = [_cell(row.get(name)) for name in columns]
    typer.echo(COLUMN_GAP.join(cell for cell in cells if cell))


def show_json(content: Any) -> None:
    """Print indented JSON with sorted keys."""
    typer.echo(json.dumps(content, indent=2, sort_keys=True))


def show_time(time_s: float) -> str:
    """Format epoch seconds as a UTC time with a resolution of one second."""
    try:
        moment = datetime.datetime.fromtimestamp(time_s, tz=datetime.UTC)
    except (OverflowError, OSError, ValueError):
        return f"{time_s:g} s"
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, list):
        return ",".join(_cell(item) for item in value)
    return str(value)
