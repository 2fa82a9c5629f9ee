"""Settings read from JSON and validated against ``attrs`` classes."""

from __future__ import annotations

from lagoonring.settings.checker import (
    Fault,
    FaultyDocumentError,
    convert,
    find_faults,
    to_plain,
)
from lagoonring.settings.loader import UnreadableSettingsError, load_settings

__all__ = [
    "Fault",
    "FaultyDocumentError",
    "UnreadableSettingsError",
    "convert",
    "find_faults",
    "load_settings",
    "to_plain",
]
