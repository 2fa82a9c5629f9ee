"""Produces a stream by attempts at endpoints until the answer is complete."""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import aclosing
from typing import TYPE_CHECKING

import attrs

from lagoonring.endpoints.errors import EndpointError, EndpointRejectedError
from lagoonring.errors import LagoonringError, Outcome
from lagoonring.logs import make_logger
from lagoonring.requests.chat import endpoint_body
from lagoonring.requests.errors import (
    FAILED_RETRY_AFTER_S,
    AttemptsExhaustedError,
    DeadlineError,
    InternalFaultError,
)
from lagoonring.requests.event_checks import checked_events
from lagoonring.routing.messages import (
    CAUSE_CALLER,
    AttemptResult,
    NoEndpointError,
    RouteRequest,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from lagoonring.requests.parts import RequestParts
    from lagoonring.requests.streams import Stream
    from lagoonring.routing.messages import Route

MOVED = "moved"

logger = make_logger("requests")


async def produce(parts: RequestParts, stream: Stream) -> None:
    """Run attempts until the stream has ended.

    Errors end the stream instead of being raised.
    """
    clock = parts.app.clock
    try:
        async with asyncio.timeout(stream.request.deadline_s - clock.monotonic()):
            await _attempt_until_complete(parts, stream)
    except LagoonringError as error:
        stream.end(error)
    except TimeoutError:
        stream.end(
            DeadlineError(
                f"Got {stream.journal.n_tokens} tokens by the deadline, "
                "expected a whole answer.",
                remedy="Ask for fewer tokens or allow more time in X-Deadline-Ms.",
            )
        )
    except Exception:
        logger.exception("Stream failed.", extra={"request_id": _request_id(stream)})
        stream.end(InternalFaultError())
    else:
        stream.end()
    stream.ended_s = clock.monotonic()


async def _attempt_until_complete(parts: RequestParts, stream: Stream) -> None:
    excluded: set[str] = set()
    last_error: EndpointError | None = None
    n_failed = 0
    while n_failed < parts.options.n_attempts_most:
        route_request = make_route_request(parts, stream)
        route = _choose_route(parts, stream, route_request, excluded)
        route = await parts.begin_attempt(stream.request, route, route_request)
        stream.n_attempts += 1
        error = await _attempt(parts, stream, route, route_request)
        if error is None:
            return
        stream.decisions.append(f"attempt at {route.endpoint} ended: {error.kind}")
        if isinstance(error, EndpointRejectedError):
            raise error
        if error.kind == MOVED:
            continue
        n_failed += 1
        excluded.add(route.endpoint)
        stream.pinned_version = parts.version_in_force(stream.request.entry)
        last_error = error
        if not parts.retries.may_retry(stream.request.entry):
            break
    raise AttemptsExhaustedError(
        f"Got {n_failed} failed attempts, the last one {last_error}",
        remedy="Send the request again after Retry-After.",
        retry_after_s=FAILED_RETRY_AFTER_S,
    )


def make_route_request(parts: RequestParts, stream: Stream) -> RouteRequest:
    """Return the routing request for a stream's next attempt."""
    request = stream.request
    return RouteRequest(
        entry=request.entry,
        service_class=request.service_class,
        request_id=request.request_id,
        prefix_blocks=request.prefix_blocks,
        affinity_key=request.affinity_key,
        n_prompt_bytes=request.n_prompt_bytes,
        n_tokens_most=request.n_tokens_most - stream.journal.n_tokens,
        version=stream.pinned_version or _started_version(stream),
    )


def _started_version(stream: Stream) -> str:
    """Return the version that produced the first tokens, empty without tokens."""
    return stream.version if stream.journal.n_tokens else ""


def _choose_route(
    parts: RequestParts, stream: Stream, request: RouteRequest, excluded: set[str]
) -> Route:
    endpoint = stream.next_endpoint
    stream.next_endpoint = ""
    if endpoint:
        route = parts.routing.route_to(endpoint, request)
        if route is not None:
            return route
    try:
        return parts.routing.choose(request, exclude=frozenset(excluded))
    except NoEndpointError:
        return _choose_fallback_route(parts, request, excluded)


def _choose_fallback_route(
    parts: RequestParts, request: RouteRequest, excluded: set[str]
) -> Route:
    """Choose a route if the requested version has no untried endpoint.

    Tries the version in force at untried endpoints first, since a version on trial
    may run at one endpoint only. Then any version and any endpoint are allowed.
    """
    version = parts.version_in_force(request.entry)
    in_force = attrs.evolve(request, version=version)
    unpinned = attrs.evolve(request, version="")
    for candidate, exclude in (
        (in_force, frozenset(excluded)),
        (unpinned, frozenset()),
    ):
        with contextlib.suppress(NoEndpointError):
            return parts.routing.choose(candidate, exclude=exclude)
    excluded.clear()
    return parts.routing.choose(in_force)


async def _attempt(
    parts: RequestParts, stream: Stream, route: Route, route_request: RouteRequest
) -> EndpointError | None:
    """Make one attempt; return its error, or None if the answer is complete."""
    clock = parts.app.clock
    n_tokens_before = stream.journal.n_tokens
    started_s = clock.monotonic()
    _begin_attempt(parts, stream, route)
    parts.routing.started(route, route_request)
    may_have_run_before = stream.may_have_run
    stream.may_have_run = True
    stream.attempt_first_event_s = None
    try:
        error = await _read_events(parts, stream, route)
        elapsed_s = clock.monotonic() - started_s
        if error is not None and error.outcome is Outcome.NOT_RUN:
            stream.may_have_run = may_have_run_before
        cause = await _find_cause(parts, stream, route, error)
    except asyncio.CancelledError:
        _release_attempt(parts, stream, route, route_request)
        parts.cancel_attempt(route, stream.attempt_id)
        raise
    n_tokens = stream.journal.n_tokens - n_tokens_before
    first_event_s = stream.attempt_first_event_s
    first_token_s = None if first_event_s is None else first_event_s - started_s
    result = AttemptResult(
        ok=error is None,
        kind=error.kind if error else "",
        n_tokens=n_tokens,
        first_token_s=first_token_s,
        between_tokens_s=_between_tokens_s(elapsed_s, first_token_s, n_tokens),
        cause=cause,
    )
    parts.routing.ended(route, route_request, result)
    if error is None or error.kind != MOVED:
        parts.observe(stream.request, route, result)
    if error is not None and error.kind != "connect":
        parts.cancel_attempt(route, stream.attempt_id)
    return error


async def _read_events(
    parts: RequestParts, stream: Stream, route: Route
) -> EndpointError | None:
    """Read and deliver events until the attempt ends.

    A move that starts while ``is_reading`` is set cancels the task exactly once. That
    cancellation is handled here, however the reading ends. All other cancellations
    propagate.
    """
    stream.is_reading = True
    is_cancellation_handled = False
    error: EndpointError | None = None
    try:
        source = _open_attempt(parts, stream, route)
        async with aclosing(checked_events(stream, source)) as batches:
            async for events in batches:
                if stream.attempt_first_event_s is None:
                    _record_first_token(parts, stream, route)
                await stream.deliver(events)
    except EndpointError as caught:
        error = caught
    except asyncio.CancelledError:
        if not stream.is_moving or stream.is_paused:
            raise
        asyncio.current_task().uncancel()  # type: ignore[union-attr]
        is_cancellation_handled = True
        error = EndpointError("Got a notice, the stream moves on.")
    finally:
        stream.is_reading = False
    if stream.is_moving:
        if not is_cancellation_handled:
            await _wait_for_move(stream)
        stream.is_moving = False
        if error is not None:
            error.kind = MOVED
    return error


def _record_first_token(parts: RequestParts, stream: Stream, route: Route) -> None:
    parts.retries.progressed(stream.request.fingerprint, route.endpoint)
    now_s = parts.app.clock.monotonic()
    stream.attempt_first_event_s = now_s
    if stream.first_token_s is None:
        stream.first_token_s = now_s - stream.started_s


def _begin_attempt(parts: RequestParts, stream: Stream, route: Route) -> None:
    stream.endpoint = route.endpoint
    stream.version = route.version
    stream.attempt_id = f"{_request_id(stream)}-{stream.n_attempts}"
    stream.decisions.append(f"{route.endpoint} chosen: {route.reason}")
    if stream.journal.n_tokens and stream.kv is None:
        n_recomputed = stream.journal.n_tokens + stream.request.n_prompt_tokens
        stream.n_tokens_recomputed += n_recomputed
        parts.metrics.tokens_recomputed.inc(n_recomputed)


def _open_attempt(
    parts: RequestParts, stream: Stream, route: Route
) -> AsyncGenerator[list[bytes], None]:
    kv, stream.kv = stream.kv, None
    request = stream.request
    remaining_s = request.deadline_s - parts.app.clock.monotonic()
    return parts.open_stream(
        parts.session,
        route.url,
        endpoint_body(request, stream.journal, kv=kv),
        request_id=request.request_id,
        attempt_id=stream.attempt_id,
        version=route.version,
        priority=request.priority,
        deadline_ms=max(1, int(remaining_s * 1000)),
        first_timeout_s=min(remaining_s, parts.options.first_token_timeout_s),
        next_timeout_s=parts.options.between_tokens_timeout_s,
    )


async def _wait_for_move(stream: Stream) -> None:
    """Wait until a move has been prepared, and handle its cancellation."""
    try:
        await stream.move_ready.wait()
        await asyncio.sleep(0)
    except asyncio.CancelledError:
        if stream.is_paused or not stream.move_ready.is_set():
            raise
        asyncio.current_task().uncancel()  # type: ignore[union-attr]


def _release_attempt(
    parts: RequestParts, stream: Stream, route: Route, request: RouteRequest
) -> None:
    """Record the end of a cancelled attempt, which is no failure of its endpoint."""
    result = AttemptResult(ok=True, cause=CAUSE_CALLER)
    parts.routing.ended(route, request, result)
    parts.retries.ended(stream.request.fingerprint, route.endpoint, ok=False)


async def _find_cause(
    parts: RequestParts, stream: Stream, route: Route, error: EndpointError | None
) -> str:
    """Report the end of an attempt to the quarantine and return a failure's cause."""
    fingerprint = stream.request.fingerprint
    if error is None:
        parts.retries.ended(fingerprint, route.endpoint, ok=True)
        return ""
    if error.kind == MOVED or isinstance(error, EndpointRejectedError):
        parts.retries.ended(fingerprint, route.endpoint, ok=False)
        return CAUSE_CALLER
    parts.metrics.attempts_failed.labels(error.kind).inc()
    logger.info(
        "Attempt at {} failed: {}.",
        route.endpoint,
        error.kind,
        extra={"request_id": _request_id(stream)},
    )
    cause = await parts.report_failure(stream.request, route, error.kind)
    if cause:
        stream.decisions.append(f"{route.endpoint} crashed, cause: {cause}")
    return cause


def _between_tokens_s(
    elapsed_s: float, first_token_s: float | None, n_tokens: int
) -> float | None:
    if first_token_s is None or n_tokens < 2:
        return None
    return (elapsed_s - first_token_s) / (n_tokens - 1)


def _request_id(stream: Stream) -> str:
    return stream.request.request_id
