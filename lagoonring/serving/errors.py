"""Errors with which the request path on a platform answers callers."""

from __future__ import annotations

from lagoonring.errors import LagoonringError, Outcome


class UnknownRouteError(LagoonringError, LookupError):
    """No route of the configuration matches the host and path."""

    code = "unknown_route"
    status = 404


class QuotaExceededError(LagoonringError):
    """The limit of the organisation is exhausted."""

    code = "quota_exceeded"
    status = 429


class OverloadError(LagoonringError, ConnectionError):
    """No endpoint can answer in time."""

    code = "overload"
    status = 503


class CrashingRequestError(LagoonringError):
    """The request, or a part of its prompt, crashed the endpoints that ran it."""

    code = "crashing_request"
    status = 503


class AnswerUnknownError(LagoonringError, ConnectionError):
    """The request may have run, and no complete answer was received."""

    code = "answer_unknown"
    status = 502
    outcome = Outcome.UNKNOWN


class AnswerTimeoutError(LagoonringError, TimeoutError):
    """The request may have run, and no answer was received in time."""

    code = "answer_timeout"
    status = 504
    outcome = Outcome.UNKNOWN
