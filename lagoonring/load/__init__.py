"""Open-loop load generator: seeded arrivals, fault schedules, checks, reports."""

from __future__ import annotations

from lagoonring.load.arrivals import plan_arrivals
from lagoonring.load.comparison import compare, describe
from lagoonring.load.options import LoadSettings
from lagoonring.load.results import Report, read_report, write_report
from lagoonring.load.run import run_load
from lagoonring.load.summary import summarise

__all__ = [
    "LoadSettings",
    "Report",
    "compare",
    "describe",
    "plan_arrivals",
    "read_report",
    "run_load",
    "summarise",
    "write_report",
]
