"""What routing is asked and what it answers."""

from __future__ import annotations

import attrs

from lagoonring.errors import LagoonringError

CAUSE_SUSPECT = "suspect"
CAUSE_REQUEST = "request"
CAUSE_CALLER = "caller"


@attrs.frozen(kw_only=True)
class RouteRequest:
    """What a choice of endpoint depends on.

    Parameters
    ----------
    entry, service_class, request_id : str
        As admitted.
    prefix_blocks : tuple of int
        From :func:`lagoonring.routing.prefixes.hash_blocks`; empty for plain
        services.
    affinity_key : int
        Key of the conversation from
        :func:`lagoonring.routing.prefixes.hash_conversation`; 0 lets routing
        take a prefix block instead.
    n_prompt_bytes, n_tokens_most : int
        Sizes of the prompt and, at most, of the answer.
    method : str
        HTTP method.
    version : str
        Pins the version, for example to resume a stream; empty lets the
        version in force or the moves decide.
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
    """The endpoint chosen, and what is expected of it.

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
    """What became of an attempt.

    ``kind`` is empty for a success, else ``refused``, ``connect``, ``cut``,
    ``timeout`` or ``error``. ``cause`` is empty if the endpoint is to blame,
    ``suspect`` if the request may be, ``request`` if it is (both from
    ``RetriesService.crashed``), ``caller`` if the caller left. Only an empty
    cause counts against the endpoint or its version.
    """

    ok: bool
    kind: str = ""
    cause: str = ""
    n_tokens: int = 0
    first_token_s: float | None = None
    between_tokens_s: float | None = None


class NoEndpointError(LagoonringError, LookupError):
    """No endpoint runs the entry's version now."""

    code = "no_endpoint"
    status = 503


@attrs.frozen(kw_only=True)
class EndpointLoad:
    """Row ``endpoint_load``: a load report, told by a watcher.

    ``time_s`` is the endpoint's time of the report in epoch seconds;
    ``tokens_per_s`` is over all its streams.
    """

    n_running: int = 0
    n_waiting: int = 0
    n_slots: int = 0
    tokens_per_s: float = 0.0
    versions: list[str] = attrs.field(factory=list)
    time_s: float = 0.0


@attrs.frozen(kw_only=True)
class LeavingEndpoint:
    """Row ``leaving``: which incarnation of an endpoint takes no new work."""

    instance: str = ""
    url: str = ""
    since_s: float = 0.0


@attrs.frozen(kw_only=True)
class FailingEndpoint:
    """Row ``failing``: a peer has ejected the endpoint; only a hint."""

    reason: str = ""
    since_s: float = 0.0
