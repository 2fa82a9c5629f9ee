"""Claims on idempotency keys, so that a keyed request runs at most once."""

from __future__ import annotations

from lagoonring.claims.errors import (
    ClaimFateUnknownError,
    ClaimsUnavailableError,
    KeyReusedError,
    MismatchedSlotsError,
)
from lagoonring.claims.keys import scoped_key
from lagoonring.claims.options import ClaimsOptions
from lagoonring.claims.records import ClaimAnswer, StoredAnswer
from lagoonring.claims.service import ClaimsService

__all__ = [
    "ClaimAnswer",
    "ClaimFateUnknownError",
    "ClaimsOptions",
    "ClaimsService",
    "ClaimsUnavailableError",
    "KeyReusedError",
    "MismatchedSlotsError",
    "StoredAnswer",
    "scoped_key",
]
