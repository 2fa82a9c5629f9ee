"""What a caller can be told by the request path on a platform."""

from __future__ import annotations

from lagoonring.errors import LagoonringError, Outcome


class UnknownRouteError(LagoonringError, LookupError):
    """No route of the configuration has this host and path."""

    code = "unknown_route"
    status = 404


class QuotaExceededError(LagoonringError):
    """The organisation's limit is used up."""

    code = "quota_exceeded"
    status = 429


class OverloadError(LagoonringError, ConnectionError):
    """No endpoint can answer in time."""

    code = "overload"
    status = 503


class CrashingRequestError(LagoonringError):
    """The request broke every endpoint that ran it."""

    code = "crashing_request"
    status = 503


class AnswerUnknownError(LagoonringError, ConnectionError):
    """The request may have run, and no whole answer came."""

    code = "answer_unknown"
    status = 502
    outcome = Outcome.UNKNOWN


class AnswerTimeoutError(LagoonringError, TimeoutError):
    """The request may have run, and no answer came in time."""

    code = "answer_timeout"
    status = 504
    outcome = Outcome.UNKNOWN
