"""Reports are written, read, compared (against a golden file) and rendered."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from typer.testing import CliRunner

from lagoonring.cli.load_command import command
from lagoonring.load import describe, read_report, write_report
from lagoonring.load.results import REPORT_FILE
from lagoonring.tests.builders.load import make_report

GOLDEN = Path(__file__).parent / "golden" / "load-compare.txt"


@pytest.fixture
def folders(tmp_path):
    """Write the reports of two policies and return their folders."""
    reports = [
        make_report("round_robin", n_in_target=100, p90_ms=400.0),
        make_report("affinity_load", n_in_target=160, p90_ms=100.0),
    ]
    paths = [tmp_path / "a", tmp_path / "b"]
    for folder, report in zip(paths, reports, strict=True):
        write_report(folder, report, {})
        assert read_report(folder) == report
    return [str(folder) for folder in paths]


def test_compare_puts_two_runs_side_by_side(folders):
    result = CliRunner().invoke(command, ["compare", *folders])
    assert result.exit_code == 0, result.output
    if os.environ.get("LAGOONRING_WRITE_GOLDEN"):
        GOLDEN.write_text(result.output)
    assert result.output == GOLDEN.read_text()


def test_page_is_self_contained_and_shows_faults(folders):
    result = CliRunner().invoke(command, ["report", folders[0]])
    assert result.exit_code == 0, result.output
    page = Path(folders[0], "report.html").read_text()
    assert "1 faults found" in page
    assert page.count("data:image/png;base64,") == 2
    assert "http" not in page.replace("data:image/png;base64,", "")[:2000]


def test_trimmed_report_keeps_all_but_seconds_and_organisations(folders, tmp_path):
    trimmed_path = tmp_path / "kept" / REPORT_FILE
    trimmed_path.parent.mkdir()
    result = CliRunner().invoke(
        command, ["report", folders[0], "--trimmed", str(trimmed_path)]
    )
    assert result.exit_code == 0, result.output
    full, trimmed = read_report(Path(folders[0])), read_report(trimmed_path.parent)
    assert {row.organisation for row in full.latencies} == {"all", "hann"}
    assert {row.organisation for row in trimmed.latencies} == {"all"}
    assert describe(full) == describe(trimmed)
    assert (len(full.seconds), trimmed.seconds) == (1, [])


def test_unreadable_report_error_names_a_remedy(tmp_path):
    (tmp_path / REPORT_FILE).write_text("{}")
    result = CliRunner().invoke(command, ["compare", str(tmp_path), str(tmp_path)])
    assert result.exit_code == 3
    assert "lagoonring-load run --out" in result.output
