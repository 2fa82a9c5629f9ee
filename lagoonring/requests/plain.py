"""Calls of plain services: hedged if idempotent, otherwise run at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lagoonring.claims import ClaimAnswer, StoredAnswer, scoped_key
from lagoonring.endpoints.errors import EndpointError
from lagoonring.errors import LagoonringError, Outcome
from lagoonring.requests.errors import (
    FAILED_RETRY_AFTER_S,
    AnswerNotKeptError,
    AttemptsExhaustedError,
    DeadlineError,
    InProgressError,
    OutcomeUnknownError,
)
from lagoonring.requests.messages import PlainAnswer, PlainRequest
from lagoonring.routing.messages import CAUSE_CALLER, AttemptResult, RouteRequest

if TYPE_CHECKING:
    from lagoonring.requests.parts import RequestParts
    from lagoonring.routing.messages import Route

IN_PROGRESS_RETRY_AFTER_S = 1.0
MAX_CLAIM_WAIT_S = 1.0
CLAIM_POLL_INTERVAL_S = 0.1


@attrs.define(kw_only=True, eq=False)
class PlainRun:
    """State of one call.

    ``n_possibly_run`` counts the attempts that may have run: those in progress and
    those without proof that they did not run. ``tried_endpoints`` are excluded from
    the next choice.
    """

    request: PlainRequest
    decisions: list[str] = attrs.field(factory=list)
    tried_endpoints: set[str] = attrs.field(factory=set)
    n_attempts: int = 0
    n_possibly_run: int = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run."""
        return self.n_possibly_run > 0


async def run_plain(parts: RequestParts, run: PlainRun) -> PlainAnswer:
    """Return the answer to a call of a plain service.

    A call that is not idempotent runs at most once. If it has an idempotency key, the
    key is claimed first, so that the same call sent again through any instance
    receives the recorded answer.
    """
    request = run.request
    remaining_s = request.deadline_s - parts.app.clock.monotonic()
    try:
        async with asyncio.timeout(remaining_s):
            if request.is_idempotent:
                return await _run_hedged(parts, run)
            if request.key:
                return await _run_claimed(parts, run)
            return await _run_at_most_once(parts, run)
    except TimeoutError:
        if run.may_have_run:
            raise _outcome_unknown_error("no answer by the deadline") from None
        raise DeadlineError(
            "Got no free endpoint by the deadline, expected one.",
            remedy="Allow more time in X-Deadline-Ms, or send it later.",
            retry_after_s=FAILED_RETRY_AFTER_S,
        ) from None


async def _run_hedged(parts: RequestParts, run: PlainRun) -> PlainAnswer:
    """Run with retries; start a hedge if there is no answer after the hedge delay."""
    entry = run.request.entry
    tasks = {asyncio.create_task(_run_with_retries(parts, run))}
    delay_s = parts.retries.hedge_delay_s(entry)
    try:
        if delay_s is not None:
            done, _ = await asyncio.wait(tasks, timeout=delay_s)
            if not done and parts.retries.may_retry(entry):
                run.decisions.append(f"hedged after {delay_s * 1000:.0f} ms")
                tasks.add(asyncio.create_task(_run_with_retries(parts, run)))
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


async def _run_with_retries(parts: RequestParts, run: PlainRun) -> PlainAnswer:
    """Retry after any failure, within the retry budget."""
    for _ in range(parts.options.n_attempts_most):
        try:
            return await _attempt(parts, run)
        except EndpointError as error:
            last_error = error
            if not parts.retries.may_retry(run.request.entry):
                break
    raise _attempts_exhausted_error(last_error)


async def _run_claimed(parts: RequestParts, run: PlainRun) -> PlainAnswer:
    """Claim the key, run the call if the claim is granted, record the answer."""
    request = run.request
    key = scoped_key(request.organisation, request.entry, request.key)
    claim_id = request.request_id
    claim = await _claim(parts, request, key)
    run.decisions.append(f"claim {claim.state}")
    if claim.state == "finished":
        return _make_replayed_answer(claim.answer)
    if claim.state == "in_progress":
        raise InProgressError(
            "Got a key whose first request is in progress, expected a new key.",
            remedy="Send it again after Retry-After to get the recorded answer.",
            retry_after_s=IN_PROGRESS_RETRY_AFTER_S,
        )
    if claim.state != "granted":
        raise _outcome_unknown_error("a key whose first request has no recorded answer")
    try:
        answer = await _run_at_most_once(parts, run)
    except BaseException:
        if not run.may_have_run:
            parts.run_in_background(parts.claims.release(key, claim_id))
        raise
    parts.run_in_background(
        parts.claims.finish(key, claim_id, _make_stored_answer(answer))
    )
    return answer


async def _claim(parts: RequestParts, request: PlainRequest, key: str) -> ClaimAnswer:
    """Claim a key; wait briefly while the first request with it is in progress."""
    clock = parts.app.clock
    wait_deadline_s = clock.monotonic() + MAX_CLAIM_WAIT_S
    while True:
        claim = await parts.claims.claim(
            key,
            request.fingerprint,
            request.request_id,
            entry=request.entry,
            deadline_s=request.deadline_s,
        )
        if claim.state != "in_progress" or clock.monotonic() >= wait_deadline_s:
            return claim
        await clock.sleep(CLAIM_POLL_INTERVAL_S)


def _make_stored_answer(answer: PlainAnswer) -> StoredAnswer:
    content_type = answer.headers.get("Content-Type", "application/octet-stream")
    return StoredAnswer(
        status=answer.status, content_type=content_type, body=answer.body
    )


def _make_replayed_answer(stored: StoredAnswer | None) -> PlainAnswer:
    """Return the recorded answer as the answer to a repeated request."""
    if stored is None or stored.body is None:
        raise AnswerNotKeptError(
            "Got a key whose request ran, but whose answer is no longer kept.",
            remedy="Look the booking up at the service; do not use a new key.",
        )
    return PlainAnswer(
        status=stored.status,
        headers={"Content-Type": stored.content_type},
        body=stored.body,
        replayed=True,
    )


async def _run_at_most_once(parts: RequestParts, run: PlainRun) -> PlainAnswer:
    """Retry only while it is certain that no attempt has run."""
    for _ in range(parts.options.n_attempts_most):
        try:
            return await _attempt(parts, run)
        except EndpointError as error:
            if run.may_have_run:
                raise _outcome_unknown_error(str(error)) from error
            last_error = error
            if not parts.retries.may_retry(run.request.entry):
                break
    raise _attempts_exhausted_error(last_error)


async def _attempt(parts: RequestParts, run: PlainRun) -> PlainAnswer:
    """Make one attempt and report its result to routing, quarantine and moves."""
    clock = parts.app.clock
    request = run.request
    version = parts.version_in_force(request.entry) if run.n_attempts else ""
    route_request = _make_route_request(request, version)
    route = _choose_route(parts, route_request, run.tried_endpoints)
    route = await parts.begin_attempt(request, route, route_request)
    run.tried_endpoints.add(route.endpoint)
    run.n_attempts += 1
    run.decisions.append(f"{route.endpoint} chosen: {route.reason}")
    parts.routing.started(route, route_request)
    started_s = clock.monotonic()
    kind = ""
    cause = CAUSE_CALLER
    run.n_possibly_run += 1
    try:
        answer = await _call(parts, request, route, run.n_attempts)
        kind = "error" if answer.status >= 500 else ""
        cause = ""
        parts.retries.ended(request.fingerprint, route.endpoint, ok=True)
    except EndpointError as error:
        kind = error.kind
        parts.metrics.attempts_failed.labels(kind).inc()
        run.decisions.append(f"attempt at {route.endpoint} ended: {kind}")
        if error.outcome is Outcome.NOT_RUN:
            run.n_possibly_run -= 1
        cause = await parts.report_failure(request, route, kind)
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
    parts.retries.record_latency(request.entry, elapsed_s)
    return answer


async def _call(
    parts: RequestParts, request: PlainRequest, route: Route, n_attempts: int
) -> PlainAnswer:
    """Send one attempt and read the complete answer."""
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


def _choose_route(
    parts: RequestParts, request: RouteRequest, tried_endpoints: set[str]
) -> Route:
    try:
        return parts.routing.choose(request, exclude=frozenset(tried_endpoints))
    except LagoonringError:
        if not tried_endpoints:
            raise
        tried_endpoints.clear()
        return parts.routing.choose(request)


def _make_route_request(request: PlainRequest, version: str) -> RouteRequest:
    return RouteRequest(
        entry=request.entry,
        service_class=request.service_class,
        request_id=request.request_id,
        prefix_blocks=(),
        n_prompt_bytes=len(request.body),
        n_tokens_most=0,
        method=request.method,
        version=version,
    )


def _attempts_exhausted_error(last_error: EndpointError) -> AttemptsExhaustedError:
    return AttemptsExhaustedError(
        f"Got only failed attempts, the last one {last_error}",
        remedy="Send the request again after Retry-After.",
        retry_after_s=FAILED_RETRY_AFTER_S,
    )


def _outcome_unknown_error(got: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        f"Got {got}, expected an answer; the request may have run.",
        remedy="Send it again with the same Idempotency-Key to learn its outcome.",
    )
