"""Retries: budgets, hedging and the quarantine of crashing requests."""

from __future__ import annotations

from lagoonring.retries.messages import (
    QuarantinedError,
    SuspectBusyError,
    make_fingerprint,
)
from lagoonring.retries.options import RetriesOptions
from lagoonring.retries.service import RetriesService

__all__ = [
    "QuarantinedError",
    "RetriesOptions",
    "RetriesService",
    "SuspectBusyError",
    "make_fingerprint",
]
