"""Errors of calls and rows between entry instances."""

from __future__ import annotations

from lagoonring.errors import (
    AnswerLostError,
    InvalidInputError,
    LagoonringError,
    Outcome,
    UnavailableError,
)

RETRY_AFTER_S = 1.0


class PeerUnreachableError(UnavailableError):
    """The call was not sent to the peer, or the peer did not begin it."""

    code = "peer_unreachable"


class PeerAnswerLostError(AnswerLostError):
    """The call may have been run by the peer; no answer came."""

    code = "peer_answer_lost"


class PeerCallError(LagoonringError, RuntimeError):
    """The peer's handler raised an error.

    ``remote_code`` is the code of that error, ``outcome`` what it said of the
    request.
    """

    code = "peer_call_failed"
    status = 502
    outcome = Outcome.UNKNOWN

    def __init__(
        self, message: str, *, remote_code: str, outcome: Outcome, remedy: str
    ) -> None:
        super().__init__(message, remedy=remedy)
        self.remote_code = remote_code
        self.outcome = outcome


class AddressNotUsableError(LagoonringError, OSError):
    """This instance can't listen on its address."""

    code = "peers_address_not_usable"


class UnknownKindError(InvalidInputError):
    """Rows of this kind are not known."""

    code = "unknown_row_kind"


class RowTooLargeError(InvalidInputError):
    """A row, or the rows of this instance together, exceed the limit."""

    code = "row_too_large"


def unreachable(instance: str, reason: str) -> PeerUnreachableError:
    """Return the error for a call that was not run."""
    return PeerUnreachableError(
        f"Got {reason} for instance {instance}, expected a connected peer.",
        remedy="Choose another instance, or try again later.",
        retry_after_s=RETRY_AFTER_S,
    )


def answer_lost(instance: str, method: str, timeout_s: float) -> PeerAnswerLostError:
    """Return the error for a call that may have been run."""
    return PeerAnswerLostError(
        f"Got no answer of instance {instance} to {method} within {timeout_s:g} s, "
        "expected one.",
        remedy="Repeat the call only if it is idempotent.",
        retry_after_s=RETRY_AFTER_S,
    )
