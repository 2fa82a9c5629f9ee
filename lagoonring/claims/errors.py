"""Errors of claims."""

from __future__ import annotations

from lagoonring.errors import AnswerLostError, LagoonringError, UnavailableError


class ClaimsUnavailableError(UnavailableError):
    """No claim can be made now; this attempt of the request was not run."""

    code = "claims_unavailable"

    def __init__(self, reason: str, *, retry_after_s: float) -> None:
        super().__init__(
            f"Got {reason}, expected a claim of the key before running it. What "
            "became of earlier sendings with the key is not known here.",
            remedy="Send it again with the same key.",
            retry_after_s=retry_after_s,
        )


class ClaimFateUnknownError(AnswerLostError):
    """The claim may have been granted, but no reply arrived in time."""

    code = "claim_fate_unknown"

    def __init__(self, *, retry_after_s: float) -> None:
        super().__init__(
            "Got no answer to a claim of the key, expected one before the deadline.",
            remedy="Send it again with the same key; it runs at most once.",
            retry_after_s=retry_after_s,
        )


class KeyReusedError(LagoonringError, ValueError):
    """The key belongs to another request; this one was not run."""

    code = "key_reused"
    status = 422

    def __init__(self) -> None:
        super().__init__(
            "Got an idempotency key of another request, expected a new key or the "
            "same request.",
            remedy="Use a new key for each new request.",
        )


class MismatchedSlotsError(LagoonringError, ValueError):
    """The instances are configured with different values of ``n_slots``."""

    code = "mismatched_slots"

    def __init__(self, got: int, expected: int) -> None:
        super().__init__(
            f"Got a claim for {got} slots, expected {expected}.",
            remedy="Give all instances the same n_slots; change it with all stopped.",
        )
