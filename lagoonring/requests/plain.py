"""Calls of plain services: passed through, hedged, or run at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import EndpointError
from lagoonring.errors import LagoonringError, Outcome
from lagoonring.requests.errors import (
    GIVE_UP_RETRY_AFTER_S,
    AttemptsExhaustedError,
    DeadlineError,
    InProgressError,
    OutcomeUnknownError,
)
from lagoonring.requests.messages import PlainAnswer
from lagoonring.routing.messages import CAUSE_CALLER, AttemptResult, RouteRequest

if TYPE_CHECKING:
    from lagoonring.requests.messages import PlainRequest
    from lagoonring.requests.parts import RequestParts
    from lagoonring.routing.messages import Route

IN_PROGRESS_RETRY_AFTER_S = 1.0


async def run_plain(
    parts: RequestParts, request: PlainRequest, decisions: list[str]
) -> PlainAnswer:
    """Return the answer to a call of a plain service.

    A call that may not be repeated is sent at most once; with a key it is first
    claimed, so that a resend anywhere gets the recorded answer.
    """
    left_s = request.deadline_s - parts.app.clock.monotonic()
    sent = asyncio.Event()
    try:
        async with asyncio.timeout(left_s):
            if request.is_idempotent:
                return await _hedged(parts, request, decisions)
            if request.key:
                return await _claimed(parts, request, decisions, sent)
            return await _send_once(parts, request, decisions, sent)
    except TimeoutError:
        if sent.is_set():
            raise _unknown("no answer by the deadline") from None
        raise DeadlineError(
            "Got no free endpoint by the deadline, expected one.",
            remedy="Allow more time in X-Deadline-Ms, or send it later.",
            retry_after_s=GIVE_UP_RETRY_AFTER_S,
        ) from None


async def _hedged(
    parts: RequestParts, request: PlainRequest, decisions: list[str]
) -> PlainAnswer:
    """Try until an answer comes; start a second attempt if the first is slow."""
    used: set[str] = set()
    tasks = {asyncio.create_task(_retried(parts, request, decisions, used))}
    delay_s = parts.retries.hedge_delay_s(request.entry)
    try:
        if delay_s is not None:
            done, _ = await asyncio.wait(tasks, timeout=delay_s)
            if not done and parts.retries.may_retry(request.entry):
                decisions.append(f"hedged after {delay_s * 1000:.0f} ms")
                second = _retried(parts, request, decisions, used)
                tasks.add(asyncio.create_task(second))
        error: BaseException | None = None
        pending = tasks
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                error = task.exception()
                if error is None:
                    return task.result()
        assert error is not None
        raise error
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _retried(
    parts: RequestParts,
    request: PlainRequest,
    decisions: list[str],
    used: set[str],
) -> PlainAnswer:
    for _ in range(parts.options.n_attempts_most):
        try:
            return await _attempt(parts, request, decisions, used)
        except EndpointError as error:
            last_error = error
            if not parts.retries.may_retry(request.entry):
                break
    raise AttemptsExhaustedError(
        f"Got only failed attempts, the last one {last_error}",
        remedy="Send the request again after Retry-After.",
        retry_after_s=GIVE_UP_RETRY_AFTER_S,
    )


async def _claimed(
    parts: RequestParts,
    request: PlainRequest,
    decisions: list[str],
    sent: asyncio.Event,
) -> PlainAnswer:
    """Claim the key, run if it is the first, record the answer."""
    entry = parts.catalogue.content.entries[request.entry]
    key = f"{request.organisation}/{request.entry}/{request.key}"
    claim_id = request.request_id
    try:
        claim = await parts.claims.claim(
            key, request.fingerprint, claim_id, entry=request.entry
        )
    except LagoonringError as error:
        if error.outcome is Outcome.NOT_RUN and error.status == 503:
            if not entry.deduplicates:
                raise
            decisions.append("claims are out, the endpoint deduplicates")
            return await _send_once(parts, request, decisions, sent)
        raise
    decisions.append(f"claim {claim.state}")
    if claim.state == "finished":
        return _replay(claim.answer)
    if claim.state == "in_progress":
        raise InProgressError(
            "Got a key whose first request is in progress, expected a new key.",
            remedy="Send it again after Retry-After to get the recorded answer.",
            retry_after_s=IN_PROGRESS_RETRY_AFTER_S,
        )
    if claim.state != "granted":
        raise _unknown("a key whose first request has no recorded answer")
    try:
        answer = await _send_once(parts, request, decisions, sent)
    except BaseException as error:
        is_not_run = getattr(error, "outcome", None) is Outcome.NOT_RUN
        if is_not_run or not sent.is_set():
            parts.in_background(parts.claims.release(key, claim_id))
        raise
    await _record(parts, key, claim_id, answer)
    return answer


async def _record(
    parts: RequestParts, key: str, claim_id: str, answer: PlainAnswer
) -> None:
    """Record the answer, in the background where the log is slow or out."""
    stored = parts.make_stored_answer(answer)
    parts.in_background(parts.claims.finish(key, claim_id, stored))


def _replay(stored: object) -> PlainAnswer:
    answer = PlainAnswer(
        status=stored.status,  # type: ignore[attr-defined]
        headers={"Content-Type": stored.content_type},  # type: ignore[attr-defined]
        body=stored.body or b"",  # type: ignore[attr-defined]
    )
    answer.replayed = True
    return answer


async def _send_once(
    parts: RequestParts,
    request: PlainRequest,
    decisions: list[str],
    sent: asyncio.Event,
) -> PlainAnswer:
    """Send until one endpoint may have run it; never twice after that."""
    used: set[str] = set()
    for _ in range(parts.options.n_attempts_most):
        try:
            return await _attempt(parts, request, decisions, used, sent)
        except EndpointError as error:
            if error.outcome is not Outcome.NOT_RUN:
                raise _unknown(str(error)) from error
            sent.clear()
            last_error = error
            if not parts.retries.may_retry(request.entry):
                break
    raise AttemptsExhaustedError(
        f"Got only refused attempts, the last one {last_error}",
        remedy="Send the request again after Retry-After.",
        retry_after_s=GIVE_UP_RETRY_AFTER_S,
    )


async def _attempt(
    parts: RequestParts,
    request: PlainRequest,
    decisions: list[str],
    used: set[str],
    sent: asyncio.Event | None = None,
) -> PlainAnswer:
    clock = parts.app.clock
    route_request = _route_request(request)
    route = _choose(parts, route_request, used)
    route = await parts.begin_attempt(request, route, route_request)
    used.add(route.endpoint)
    decisions.append(f"{route.endpoint} chosen: {route.reason}")
    parts.routing.started(route, route_request)
    started_s = clock.monotonic()
    kind = ""
    cause = CAUSE_CALLER
    if sent is not None:
        sent.set()
    try:
        answer = await _call(parts, request, route, len(used))
        kind = "error" if answer.status >= 500 else ""
        cause = ""
        parts.retries.ended(request.fingerprint, route.endpoint, ok=True)
    except EndpointError as error:
        kind = error.kind
        cause = ""
        parts.metrics.attempts_failed.labels(kind).inc()
        decisions.append(f"attempt at {route.endpoint} ended: {kind}")
        cause = await parts.blame(request, route, kind)
        raise
    finally:
        elapsed_s = clock.monotonic() - started_s
        result = AttemptResult(
            ok=not kind,
            kind=kind,
            cause=cause,
            first_token_s=elapsed_s if not kind and not cause else None,
        )
        parts.routing.ended(route, route_request, result)
        if cause == CAUSE_CALLER:
            parts.retries.ended(request.fingerprint, route.endpoint, ok=False)
        else:
            parts.observe(request, route, result)
    parts.retries.note_latency(request.entry, elapsed_s)
    return answer


async def _call(
    parts: RequestParts, request: PlainRequest, route: Route, n_attempts: int
) -> PlainAnswer:
    """Send one attempt and read its whole answer."""
    headers = dict(request.headers)
    if request.key:
        headers["Idempotency-Key"] = request.key
    answer = await parts.call_plain(
        parts.session,
        route.url,
        request.method,
        request.path,
        request.body,
        headers=headers,
        request_id=request.request_id,
        attempt_id=f"{request.request_id}-{n_attempts}",
        timeout_s=max(0.01, request.deadline_s - parts.app.clock.monotonic()),
        limit_bytes=parts.options.answer_limit_bytes,
    )
    return PlainAnswer(
        status=answer.status,
        headers=dict(answer.headers),
        body=answer.body,
        endpoint=route.endpoint,
    )


def _choose(parts: RequestParts, request: RouteRequest, used: set[str]) -> Route:
    try:
        return parts.routing.choose(request, exclude=frozenset(used))
    except LagoonringError:
        if not used:
            raise
        used.clear()
        return parts.routing.choose(request)


def _route_request(request: PlainRequest) -> RouteRequest:
    return RouteRequest(
        entry=request.entry,
        service_class=request.service_class,
        request_id=request.request_id,
        prefix_blocks=(),
        n_prompt_bytes=len(request.body),
        n_tokens_most=0,
        method=request.method,
    )


def _unknown(got: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        f"Got {got}, expected an answer; the request may have run.",
        remedy="Send it again with the same Idempotency-Key to learn its outcome.",
    )
