"""Errors of calls, rows and the listener of entry instances."""

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
    """The call was not sent to the peer, or the peer did not start it."""

    code = "peer_unreachable"


class PeerAnswerLostError(AnswerLostError):
    """The peer may have run the call, but no answer was received."""

    code = "peer_answer_lost"


class PeerCallError(LagoonringError, RuntimeError):
    """The peer's handler raised an error.

    ``remote_code`` is the code of that error; ``outcome`` is what that error states
    about whether the request was run.
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
    """This instance cannot listen on its configured address."""

    code = "peers_address_not_usable"


class UnknownKindError(InvalidInputError):
    """No row kind of that name exists."""

    code = "unknown_row_kind"


class RowTooLargeError(InvalidInputError):
    """A row, or all rows of this instance together, exceed the size limit."""

    code = "row_too_large"


def unreachable_error(instance: str, reason: str) -> PeerUnreachableError:
    """Return the error for a call that was provably not run."""
    return PeerUnreachableError(
        f"Got {reason} for instance {instance}, expected a connected peer.",
        remedy="Choose another instance, or try again later.",
        retry_after_s=RETRY_AFTER_S,
    )


def answer_lost_error(
    instance: str, method: str, timeout_s: float
) -> PeerAnswerLostError:
    """Return the error for a call that may have been run."""
    return PeerAnswerLostError(
        f"Got no answer of instance {instance} to {method} within {timeout_s:g} s, "
        "expected one.",
        remedy="Repeat the call only if it is idempotent.",
        retry_after_s=RETRY_AFTER_S,
    )
