"""The entry instance: assembles all services and runs them as a process."""

from __future__ import annotations

from lagoonring.entry.application import make_entry_application
from lagoonring.entry.process import run_entry

__all__ = ["make_entry_application", "run_entry"]
