"""What can go wrong between an entry instance and an endpoint."""

from __future__ import annotations

from lagoonring.errors import (
    AnswerLostError,
    InvalidInputError,
    LagoonringError,
    Outcome,
    UnavailableError,
)


class EndpointError(LagoonringError):
    """An attempt at an endpoint failed.

    ``kind`` is what routing is told: ``refused``, ``connect``, ``cut``,
    ``timeout`` or ``error``.
    """

    code = "endpoint_error"
    status = 502
    outcome = Outcome.UNKNOWN
    kind = "error"


class EndpointRefusedError(EndpointError, UnavailableError):
    """The endpoint provably did not run the request."""

    code = "endpoint_refused"
    status = 503
    outcome = Outcome.NOT_RUN
    kind = "refused"


class EndpointConnectError(EndpointRefusedError):
    """No connection to the endpoint was made."""

    code = "endpoint_connect"
    kind = "connect"


class EndpointCutError(EndpointError, AnswerLostError):
    """The connection ended before the answer did."""

    code = "endpoint_cut"
    kind = "cut"


class EndpointCrossedError(EndpointError, AnswerLostError):
    """The answer is that of another request; none of it may be used."""

    code = "endpoint_crossed"


class EndpointTimeoutError(EndpointError, TimeoutError):
    """The endpoint did not answer, or not go on answering, in time."""

    code = "endpoint_timeout"
    status = 504
    kind = "timeout"


class EndpointFailedError(EndpointError, RuntimeError):
    """The endpoint answered with a fault of its own."""

    code = "endpoint_failed"


class EndpointRejectedError(EndpointError, InvalidInputError):
    """The endpoint finds the request faulty and has not run it.

    ``status`` is that of the endpoint, ``body`` its answer.
    """

    code = "endpoint_rejected"
    outcome = Outcome.NOT_RUN

    def __init__(self, message: str, *, status: int, body: bytes) -> None:
        super().__init__(message, remedy="Correct the request.")
        self.status = status
        self.body = body


class FencedError(EndpointError, PermissionError):
    """The endpoint has obeyed an order with a later fencing number."""

    code = "fenced"
    status = 409
    outcome = Outcome.NOT_RUN
