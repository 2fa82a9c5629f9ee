"""Errors that callers can meet on the request path."""

from __future__ import annotations

from lagoonring.errors import InvalidInputError, LagoonringError, Outcome

FAILED_RETRY_AFTER_S = 1.0


class MissingKeyError(LagoonringError, PermissionError):
    """The request carries no organisation key."""

    code = "missing_key"
    status = 401


class WrongKeyError(LagoonringError, PermissionError):
    """No organisation has the key."""

    code = "wrong_key"
    status = 401


class UnknownEntryError(LagoonringError, LookupError):
    """The catalogue has no such entry of this kind."""

    code = "unknown_entry"
    status = 404


class UnknownRequestError(LagoonringError, LookupError):
    """No reachable instance holds the request."""

    code = "unknown_request"
    status = 404
    outcome = Outcome.UNKNOWN


class BadJsonError(InvalidInputError):
    """The body is not JSON of the expected shape."""

    code = "bad_json"


class BadHeaderError(InvalidInputError):
    """A header of the request has a value that can't be used."""

    code = "bad_header"


class BodyTooLargeError(InvalidInputError):
    """The body exceeds the limit."""

    code = "body_too_large"
    status = 413


class SlowSenderError(LagoonringError, TimeoutError):
    """The body did not arrive in time."""

    code = "slow_sender"
    status = 408


class UnfinishedUploadError(LagoonringError, ConnectionError):
    """The connection ended before the whole body was there."""

    code = "unfinished_upload"
    status = 400


class NotReadyError(LagoonringError, ConnectionError):
    """The instance has no catalogue yet, or is leaving."""

    code = "not_ready"
    status = 503


class DeadlineError(LagoonringError, TimeoutError):
    """The request's deadline passed."""

    code = "deadline_passed"
    status = 504


class AttemptsExhaustedError(LagoonringError, ConnectionError):
    """Every attempt that was allowed has failed."""

    code = "attempts_exhausted"
    status = 502


class OutcomeUnknownError(LagoonringError, ConnectionError):
    """The request may have run; it must not be sent again without its key."""

    code = "outcome_unknown"
    status = 502
    outcome = Outcome.UNKNOWN


class InProgressError(LagoonringError):
    """A request with the same idempotency key is in progress."""

    code = "in_progress"
    status = 409
    outcome = Outcome.UNKNOWN


class HandedOverError(LagoonringError, ConnectionError):
    """Another instance goes on with the request."""

    code = "handed_over"
    status = 503
    outcome = Outcome.RUN


class AnswerNotKeptError(LagoonringError, LookupError):
    """The key's request ran, but its answer is no longer kept."""

    code = "answer_not_kept"
    status = 410
    outcome = Outcome.RUN


class InternalFaultError(LagoonringError, RuntimeError):
    """A fault of this program; the request may have run."""

    code = "internal"
    outcome = Outcome.UNKNOWN

    def __init__(self) -> None:
        super().__init__(
            "Got a fault of this program, expected an answer.",
            remedy="Report it with the request id; the log has the details.",
        )


def unknown_request(request_id: str) -> UnknownRequestError:
    """Return the error for a request id that is known nowhere in reach."""
    return UnknownRequestError(
        f"Got request id {request_id[:80]!r}, expected one in progress or kept.",
        remedy="Finished answers are kept for a short time; send the request again.",
    )


def correct_outcome(error: LagoonringError, *, may_have_run: bool) -> LagoonringError:
    """Return the error; it no longer says "not run" if that is not certain."""
    if may_have_run and error.outcome is Outcome.NOT_RUN:
        error.outcome = Outcome.UNKNOWN
    return error
