"""Requests, results, rows and errors of routing."""

from __future__ import annotations

import attrs

from lagoonring.errors import LagoonringError

CAUSE_SUSPECT = "suspect"
CAUSE_REQUEST = "request"
CAUSE_CALLER = "caller"


@attrs.frozen(kw_only=True)
class RouteRequest:
    """Properties of a request that the choice of endpoint depends on.

    Parameters
    ----------
    entry, service_class, request_id : str
        Of the admitted request.
    prefix_blocks : tuple of int
        From :func:`lagoonring.routing.prefixes.hash_blocks`; empty for plain
        services.
    affinity_key : int
        Key of the conversation from
        :func:`lagoonring.routing.prefixes.hash_conversation`; if 0, a prefix
        block is used instead.
    n_prompt_bytes, n_tokens_most : int
        Size of the prompt and maximum length of the answer.
    method : str
        HTTP method.
    version : str
        Pins the version, for example to resume a stream. If empty, the moves
        or the version in force determine it.
    """

    entry: str
    service_class: str
    request_id: str
    prefix_blocks: tuple[int, ...] = ()
    affinity_key: int = 0
    n_prompt_bytes: int = 0
    n_tokens_most: int = 0
    method: str = "POST"
    version: str = ""


@attrs.frozen(kw_only=True)
class Route:
    """The chosen endpoint with the expected wait and cached blocks.

    ``reason`` is one of ``home``, ``cached``, ``load``, ``crossing``,
    ``probe``, ``pinned``, ``all_ejected`` or the name of a baseline policy.
    """

    endpoint: str
    url: str
    version: str
    reason: str = "load"
    n_cached_blocks: int = 0
    expected_wait_s: float = 0.0


@attrs.frozen(kw_only=True)
class AttemptResult:
    """Result of an attempt.

    ``kind`` is empty for a success, otherwise ``refused``, ``connect``,
    ``cut``, ``timeout``, ``error`` or, for a stream that continues elsewhere,
    ``moved``. ``cause`` is empty if the endpoint caused the failure, ``suspect``
    if the request may have, ``request`` if it did (both from
    ``RetriesService.crashed``) and ``caller`` if the caller disconnected. Only an
    empty cause counts against the endpoint or its version.
    """

    ok: bool
    kind: str = ""
    cause: str = ""
    n_tokens: int = 0
    first_token_s: float | None = None
    between_tokens_s: float | None = None


class NoEndpointError(LagoonringError, LookupError):
    """No endpoint that runs the entry's version is available."""

    code = "no_endpoint"
    status = 503


@attrs.frozen(kw_only=True)
class EndpointLoad:
    """Row ``endpoint_load``: a load report, published by a watcher.

    ``time_s`` is the endpoint's time of the report in epoch seconds, or the
    watcher's if that one is implausible; ``tokens_per_s`` is the total over all
    the endpoint's streams.
    """

    n_running: int = 0
    n_waiting: int = 0
    n_slots: int = 0
    tokens_per_s: float = 0.0
    versions: list[str] = attrs.field(factory=list)
    time_s: float = 0.0


@attrs.frozen(kw_only=True)
class LeavingEndpoint:
    """Row ``leaving``: an incarnation of an endpoint that takes no new requests."""

    instance: str = ""
    url: str = ""
    since_s: float = 0.0


@attrs.frozen(kw_only=True)
class FailingEndpoint:
    """Row ``failing``: a peer has ejected the endpoint.

    Other instances lower their failure threshold for the endpoint, but do not
    eject it because of the row alone.
    """

    reason: str = ""
    since_s: float = 0.0
