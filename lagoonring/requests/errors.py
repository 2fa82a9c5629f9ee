"""Errors of the request path, as callers receive them."""

from __future__ import annotations

from lagoonring.errors import InvalidInputError, LagoonringError, Outcome

FAILED_RETRY_AFTER_S = 1.0
NO_MEMORY_RETRY_S = 0.3


class MissingKeyError(LagoonringError, PermissionError):
    """The request carries no key."""

    code = "missing_key"
    status = 401


class WrongKeyError(LagoonringError, PermissionError):
    """The key belongs to no organisation."""

    code = "wrong_key"
    status = 401


class UnknownEntryError(LagoonringError, LookupError):
    """The catalogue has no entry of this name and kind."""

    code = "unknown_entry"
    status = 404


class UnknownRequestError(LagoonringError, LookupError):
    """No reachable instance holds the request."""

    code = "unknown_request"
    status = 404
    outcome = Outcome.UNKNOWN


class BadJsonError(InvalidInputError):
    """The body is not JSON with the expected structure."""

    code = "bad_json"


class BadHeaderError(InvalidInputError):
    """A request header has an invalid value."""

    code = "bad_header"


class BadChunkError(InvalidInputError):
    """The body is announced in chunks and is not."""

    code = "bad_chunk"


class HeadTooLargeError(InvalidInputError):
    """The request line and headers exceed the size limit."""

    code = "head_too_large"
    status = 431


class BodyTooLargeError(InvalidInputError):
    """The body exceeds the size limit."""

    code = "body_too_large"
    status = 413


class SlowSenderError(LagoonringError, TimeoutError):
    """The body did not arrive within the time limit."""

    code = "slow_sender"
    status = 408


class NoMemoryError(LagoonringError, ConnectionError):
    """The instance has no memory left for what the request holds."""

    code = "no_memory"
    status = 503


class UnfinishedUploadError(LagoonringError, ConnectionError):
    """The connection ended before the body was complete."""

    code = "unfinished_upload"
    status = 400


class NotReadyError(LagoonringError, ConnectionError):
    """The instance has no catalogue yet or is shutting down."""

    code = "not_ready"
    status = 503


class DeadlineError(LagoonringError, TimeoutError):
    """The request's deadline passed."""

    code = "deadline_passed"
    status = 504


class AttemptsExhaustedError(LagoonringError, ConnectionError):
    """All permitted attempts have failed."""

    code = "attempts_exhausted"
    status = 502


class OutcomeUnknownError(LagoonringError, ConnectionError):
    """The request may have run; send it again only with its idempotency key."""

    code = "outcome_unknown"
    status = 502
    outcome = Outcome.UNKNOWN


class InProgressError(LagoonringError):
    """A request with the same idempotency key is in progress."""

    code = "in_progress"
    status = 409
    outcome = Outcome.UNKNOWN


class HandedOverError(LagoonringError, ConnectionError):
    """Another instance has taken over the request."""

    code = "handed_over"
    status = 503
    outcome = Outcome.RUN


class AnswerNotKeptError(LagoonringError, LookupError):
    """The request with this key ran, but its answer is no longer stored."""

    code = "answer_not_kept"
    status = 410
    outcome = Outcome.RUN


class InternalFaultError(LagoonringError, RuntimeError):
    """An internal error; the request may have run."""

    code = "internal"
    outcome = Outcome.UNKNOWN

    def __init__(self) -> None:
        super().__init__(
            "Got a fault of this program, expected an answer.",
            remedy="Report it with the request id; the log has the details.",
        )


def unknown_request(request_id: str) -> UnknownRequestError:
    """Return the error for a request id that no reachable instance knows."""
    return UnknownRequestError(
        f"Got request id {request_id[:80]!r}, expected one in progress or kept.",
        remedy="Finished answers are kept for a short time; send the request again.",
    )


def leaving_error() -> NotReadyError:
    """Return the error for a request that a leaving instance did not begin."""
    return NotReadyError(
        "Got an instance that is leaving, expected a ready one.",
        remedy="Send the request again; another instance takes it.",
        retry_after_s=FAILED_RETRY_AFTER_S,
    )


def no_memory_error(got: str) -> NoMemoryError:
    """Return the error for a request that does not fit beside others."""
    return NoMemoryError(
        f"Got {got} beside those of others, expected fewer.",
        remedy="Send it again after the time told.",
        retry_after_s=NO_MEMORY_RETRY_S,
    )


def slow_sender_error(timeout_s: float) -> SlowSenderError:
    """Return the error for a body of which nothing arrives for a time."""
    return SlowSenderError(
        f"Got no more of a body for {timeout_s:g} s, expected the whole.",
        remedy="Send the request again.",
    )


def given_up_error(may_have_run: bool) -> LagoonringError:
    """Return the error for a request in progress when its instance stops."""
    if not may_have_run:
        return leaving_error()
    return OutcomeUnknownError(
        "Got a stop of this instance before the answer, expected the whole answer; "
        "the request may have run.",
        remedy="Send it again with the same Idempotency-Key to learn its outcome.",
    )


def correct_outcome(error: LagoonringError, *, may_have_run: bool) -> LagoonringError:
    """Replace the outcome "not run" of an error by "unknown" if it is uncertain."""
    if may_have_run and error.outcome is Outcome.NOT_RUN:
        error.outcome = Outcome.UNKNOWN
    return error
