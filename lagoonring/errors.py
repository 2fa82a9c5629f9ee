"""Errors with codes, what became of the request, and a remedy.

Every error that reaches a caller or an operator derives from
:class:`LagoonringError`. A concrete kind sets the class attributes ``code``,
``status`` (HTTP) and ``outcome``; its message says what was got and what was
expected, and ``remedy`` says what to do about it.
"""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """Whether a request was run by an endpoint."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


class LagoonringError(Exception):
    """Base of all typed errors.

    Parameters
    ----------
    message : str
        What was got and what was expected.
    remedy : str
        What the reader can do about it.
    retry_after_s : float or None
        Seconds after which a retry is worthwhile, where that is known.
    """

    code = "internal"
    status = 500
    outcome = Outcome.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        remedy: str = "Report this fault with the request id.",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        return f"[{self.code}] {self.message} {self.remedy}"


class InvalidInputError(LagoonringError, ValueError):
    """A document has faults; all of them are listed."""

    code = "invalid_input"
    status = 400


class UnavailableError(LagoonringError, ConnectionError):
    """An outside system did not take the request; it had no effect there."""

    code = "unavailable"
    status = 503


class AnswerLostError(LagoonringError, ConnectionError):
    """An outside system may have taken the request; its answer was lost."""

    code = "answer_lost"
    status = 503
    outcome = Outcome.UNKNOWN
