"""Base classes of errors, which have a code, the request's outcome and a remedy.

Every error that reaches a caller or an operator derives from
:class:`LagoonringError`. Subclasses set the class attributes ``code``, ``status``
(HTTP) and ``outcome``. The message says what was received and what was expected;
``remedy`` says what to do about it.
"""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """States whether an endpoint ran the request."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


class LagoonringError(Exception):
    """Base class of all typed errors.

    Parameters
    ----------
    message : str
        What was received and what was expected.
    remedy : str
        What the reader can do about the error.
    retry_after_s : float or None
        Seconds after which a retry may succeed, if known.
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
    """Input is invalid: a document, record or request."""

    code = "invalid_input"
    status = 400


class UnavailableError(LagoonringError, ConnectionError):
    """An external system did not accept the request; it had no effect there."""

    code = "unavailable"
    status = 503


class AnswerLostError(LagoonringError, ConnectionError):
    """An external system may have executed the request; its answer was lost."""

    code = "answer_lost"
    status = 503
    outcome = Outcome.UNKNOWN
