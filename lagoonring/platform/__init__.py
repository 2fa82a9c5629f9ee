"""Clients of the platform's services."""

from __future__ import annotations

from lagoonring.platform.log import (
    Log,
    LogAnswerLostError,
    LogClient,
    LogTruncatedError,
    LogUnavailableError,
    Page,
    Record,
)

__all__ = [
    "Log",
    "LogAnswerLostError",
    "LogClient",
    "LogTruncatedError",
    "LogUnavailableError",
    "Page",
    "Record",
]
