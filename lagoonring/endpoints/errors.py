"""Errors of exchanges between an entry instance and an endpoint."""

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

    ``kind`` is reported to routing: ``refused``, ``connect``, ``cut``, ``timeout``
    or ``error``.
    """

    code = "endpoint_error"
    status = 502
    outcome = Outcome.UNKNOWN
    kind = "error"


class EndpointRefusedError(EndpointError, UnavailableError):
    """The endpoint refused the request and certainly did not run it."""

    code = "endpoint_refused"
    status = 503
    outcome = Outcome.NOT_RUN
    kind = "refused"


class EndpointConnectError(EndpointRefusedError):
    """The connection to the endpoint could not be established."""

    code = "endpoint_connect"
    kind = "connect"


class RequestWithdrawnError(EndpointRefusedError):
    """A request was not sent, since its endpoint no longer wants it."""

    code = "request_withdrawn"
    kind = "withdrawn"


class RelayRefusedError(EndpointConnectError):
    """Another instance did not pass the request on to the endpoint."""

    code = "relay_refused"
    kind = "relay_refused"


class EndpointCutError(EndpointError, AnswerLostError):
    """The connection ended before the answer was complete."""

    code = "endpoint_cut"
    kind = "cut"


class EndpointStoppedError(EndpointError, AnswerLostError):
    """The answer's end may be that of a run which this system stopped."""

    code = "endpoint_stopped"
    kind = "stopped"


class RelayCutError(EndpointCutError):
    """The connection to the instance that relays ended; nothing is known beyond it."""

    code = "relay_cut"
    kind = "relay_cut"


class EndpointCrossedError(EndpointError, AnswerLostError):
    """The answer belongs to another request; no part of it may be used."""

    code = "endpoint_crossed"


class EndpointTimeoutError(EndpointError, TimeoutError):
    """The endpoint did not begin or continue its answer in time."""

    code = "endpoint_timeout"
    status = 504
    kind = "timeout"


class EndpointFailedError(EndpointError, RuntimeError):
    """The endpoint failed with an internal error."""

    code = "endpoint_failed"


class EndpointRejectedError(EndpointError, InvalidInputError):
    """The endpoint rejected the request as invalid and did not run it.

    ``status`` and ``body`` are those of the endpoint's answer.
    """

    code = "endpoint_rejected"
    outcome = Outcome.NOT_RUN

    def __init__(self, message: str, *, status: int, body: bytes) -> None:
        super().__init__(message, remedy="Correct the request.")
        self.status = status
        self.body = body


class FencedError(EndpointError, PermissionError):
    """The endpoint has accepted an order with a later fencing number."""

    code = "fenced"
    status = 409
    outcome = Outcome.NOT_RUN
