"""The way of a request: accept, place, send, relay, send again where allowed."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointCrossedError,
    EndpointCutError,
    EndpointError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointTimeoutError,
)
from lagoonring.errors import LagoonringError, Outcome
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.requests.errors import NotReadyError
from lagoonring.serving.accepting import accept
from lagoonring.serving.admitting import Prospect, decide
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.errors import (
    AnswerTimeoutError,
    AnswerUnknownError,
    OverloadError,
)
from lagoonring.serving.events import EventSplitter
from lagoonring.serving.requests import SendOrder

if TYPE_CHECKING:
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import CallerRequest, EndpointAnswer, Job, Sink

N_SENDS_MOST = 4  # beyond it a caller's own retry finds another instance
STALL_S = 1.5  # of a stream that can be resumed; callers give up after two
FIRST_ANSWER_OBJECTIVES = 1.5  # a repeat within the rest of an objective is late
FIRST_ANSWER_ESTIMATES = 3.0  # answers slower than this are rare at a sound one
ARRIVALS_S = 3.0  # two missed checks of a second each, and one under way
LEAVING_RETRY_S = 0.05  # another instance takes the request at once
RESULT_OK = "ok"

logger = make_logger("path")


class RequestPath(BaseService):
    """Serves the requests of callers.

    Parameters
    ----------
    parts : ServingParts
        What the path uses.
    """

    name = "path"

    def __init__(self, parts: ServingParts) -> None:
        self.parts = parts
        self.clock = parts.app.clock
        self.n_in_progress = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.leaving_s: float | None = None

    async def serve(self, request: CallerRequest, sink: Sink) -> None:
        """Answer a request; errors are answered too, once each."""
        job: Job | None = None
        outcome = "internal"
        self._begin()
        try:
            job = accept(self.parts, request)
            self._check_time_to_serve(job)
            await self._run(job, sink)
            outcome = RESULT_OK
        except LagoonringError as error:
            outcome = error.code
            self._log_failure(request, job, error)
            if job is not None and job.has_begun:
                sink.abort()
            else:
                await sink.send_error(error)
        except asyncio.CancelledError:
            outcome = "cancelled"
            raise
        finally:
            self._end(request, job, outcome)

    async def retire(self) -> None:
        """Take no new request that may not end before the process does."""
        self.leaving_s = self.clock.monotonic()

    async def drain(self, grace_s: float) -> None:
        """Wait until no more requests are due and those in progress are answered."""
        left_s = self._until_arrivals_end_s()
        await self.clock.sleep(min(left_s, grace_s))
        try:
            async with asyncio.timeout(max(grace_s - left_s, 0.0)):
                await self.idle.wait()
        except TimeoutError:
            logger.warning(
                "Requests in progress at the end.", extra={"n": self.n_in_progress}
            )

    def _until_arrivals_end_s(self) -> float:
        """Return the seconds until only few requests may still arrive."""
        if self.leaving_s is None:
            return 0.0
        return max(self.leaving_s + ARRIVALS_S - self.clock.monotonic(), 0.0)

    def _check_time_to_serve(self, job: Job) -> None:
        """Refuse a stream that would be cut when the process ends."""
        is_late = self.leaving_s is not None and not self._until_arrivals_end_s()
        if is_late and job.route.kind is RequestKind.STREAM:
            raise NotReadyError(
                "Got a stream while the instance stops, expected it earlier.",
                remedy="Send it again; another instance takes it.",
                retry_after_s=LEAVING_RETRY_S,
            )

    async def _run(self, job: Job, sink: Sink) -> None:
        """Send a job until it is answered or may not be sent again."""
        error: LagoonringError | None = None
        while True:
            endpoint = self._place(job, error)
            error = await self._attempt(job, endpoint, sink)
            while error is not None and job.move is not None:
                error = await self._go_on_elsewhere(job, error, sink)
            if error is None:
                return
            if not self._may_send_again(job, error):
                raise self._final_error(job, error)

    async def _go_on_elsewhere(
        self, job: Job, error: LagoonringError, sink: Sink
    ) -> LagoonringError | None:
        """Go on with a stream that was stopped to move; return None once it is done."""
        assert job.move is not None
        moved = await job.move
        job.move = None
        if moved is None:
            return error
        job.n_runs += 1
        target, job.moved = moved
        return await self._attempt(job, target, sink)

    def _place(self, job: Job, error: LagoonringError | None) -> Endpoint:
        """Return the endpoint to use next; refuse what can't be served."""
        placement = self.parts.placer.place(job)
        left_s = job.deadline_s - self.clock.monotonic()
        prospect = Prospect(
            estimate_s=None if placement is None else placement.estimate_s,
            left_s=left_s,
            first_answer_s=job.route.patience_s,
        )
        refusal = decide(prospect, self.parts.app.rng)
        if placement is not None and refusal is None:
            endpoint = self.parts.table.find(placement.name)
            assert endpoint is not None
            return endpoint
        if error is not None:
            raise self._final_error(job, error)
        reason = refusal.reason if refusal else "no_endpoint"
        raise OverloadError(
            f"Got a request that can't be answered in the {left_s:.2f} s left "
            f"({reason}).",
            remedy="Send it again after the time told.",
            retry_after_s=refusal.retry_after_s if refusal else None,
        )

    async def _attempt(
        self, job: Job, endpoint: Endpoint, sink: Sink
    ) -> LagoonringError | None:
        """Send a job to an endpoint; return None once it is answered."""
        work = self.parts.placer.begin(job, endpoint)
        job.n_sends += 1
        job.tried.add(endpoint.name)
        result = "cancelled"
        try:
            await self._exchange(job, endpoint, sink)
            result = RESULT_OK
            return None
        except EndpointError as error:
            if job.move is not None:
                result = "moved"
                return error
            result = error.kind
            if error.outcome is not Outcome.NOT_RUN:
                job.n_runs += 1
            self._note_failure(job, endpoint, error)
            return error
        finally:
            self.parts.placer.finish(job, work)
            self.parts.metrics.attempts.labels(job.service, result).inc()

    async def _exchange(self, job: Job, endpoint: Endpoint, sink: Sink) -> None:
        """Send a job once and relay the answer; raise an ``EndpointError`` else."""
        order = SendOrder(
            endpoint=endpoint.record,
            left_s=job.deadline_s - self.clock.monotonic(),
            urgency=self.parts.urgency_of(job),
            organisation=job.organisation.name if job.organisation else None,
            resume_after=job.last_event,
            moved=job.moved,
        )
        job.moved = None
        started_s = self.clock.monotonic()
        try:
            async with asyncio.timeout(self._first_answer_limit_s(job, endpoint)):
                answer = await self.parts.sender.send(job.request, order)
        except TimeoutError as error:
            raise _too_slow(endpoint, "begin an answer") from error
        try:
            self._check_run(endpoint, answer)
            if job.route.kind is RequestKind.STREAM and answer.status < 300:
                await self._relay_stream(job, endpoint, answer, sink)
            else:
                await self._relay_whole(job, endpoint, answer, sink, started_s)
        finally:
            answer.close()

    def _first_answer_limit_s(self, job: Job, endpoint: Endpoint) -> float:
        """Return how long to wait for an answer before another endpoint is tried."""
        left_s = job.deadline_s - self.clock.monotonic()
        may_repeat = job.route.may_repeat or job.route.may_resume
        if not may_repeat or job.n_runs + 1 >= job.route.max_attempts:
            return left_s
        if not self.parts.placer.has_other(job, endpoint):
            return left_s
        estimate_s = self.parts.placer.estimate_s(job, endpoint)
        limit_s = max(
            FIRST_ANSWER_OBJECTIVES * job.route.objective_s,
            FIRST_ANSWER_ESTIMATES * estimate_s,
        )
        return min(limit_s, left_s)

    def _check_run(self, endpoint: Endpoint, answer: EndpointAnswer) -> None:
        """Raise ``EndpointRefusedError`` if the endpoint has not run the request."""
        if answer.is_other_endpoint:
            endpoint.note_unreachable(self.clock.monotonic())
            raise EndpointRefusedError(
                f"Got an answer of another endpoint at {endpoint.record.address}, "
                f"expected {endpoint.name}.",
                remedy="Use another endpoint; the request was not run.",
            )
        if answer.is_not_run:
            self.parts.placer.note_full(endpoint, answer.load)
            raise EndpointRefusedError(
                f"Got status {answer.status} of {endpoint.name}, which has not run "
                "the request.",
                remedy="Use another endpoint.",
            )

    async def _relay_whole(
        self,
        job: Job,
        endpoint: Endpoint,
        answer: EndpointAnswer,
        sink: Sink,
        started_s: float,
    ) -> None:
        """Pass on an answer once the whole of it is here."""
        body = await answer.read()
        if answer.status < 300 and not answer.is_signed:
            raise _unsigned(endpoint)
        self._note_started(job, endpoint)
        is_failure = answer.status >= 500
        endpoint.note_result(ok=not is_failure, now_s=self.clock.monotonic())
        self.parts.note_outcome(
            job,
            endpoint,
            ok=not is_failure,
            latency_s=self.clock.monotonic() - started_s,
        )
        if is_failure and self._may_repeat_failed(job):
            raise EndpointFailedError(
                f"Got status {answer.status} of {endpoint.name}, expected success.",
                remedy="Repeat the request only if it is idempotent.",
            )
        if answer.status in (408, 421, 429, 503):
            # Passed on, these would say that the request was not run.
            raise _unsigned(endpoint)
        if not is_failure:
            self.parts.placer.learn_whole(
                job, endpoint, self.clock.monotonic() - started_s
            )
            self.parts.suspects.note_success(job.fingerprint)
        job.has_begun = True
        await sink.send_whole(answer.status, answer.headers, body)

    async def _relay_stream(
        self, job: Job, endpoint: Endpoint, answer: EndpointAnswer, sink: Sink
    ) -> None:
        """Pass on whole events as they come."""
        if not answer.is_signed:
            raise _unsigned(endpoint)
        splitter = EventSplitter()
        is_first = True
        started_s = self.clock.monotonic()
        async with aclosing(self._chunks(job, endpoint, answer)) as chunks:
            async for chunk in chunks:
                whole = bytearray()
                for event in splitter.feed(chunk):
                    if event.event_id is not None:
                        self._check_order(job, endpoint, event.event_id)
                        job.last_event = event.event_id
                    whole += event.data
                if not whole:
                    continue
                if is_first:
                    is_first = False
                    self._note_first_event(job, endpoint, started_s)
                if not job.has_begun:
                    job.has_begun = True
                    await sink.begin(answer.status, answer.headers)
                await sink.write(bytes(whole))
        if splitter.rest or is_first:
            raise EndpointCutError(
                f"Got a stream of {endpoint.name} that ends within an event, expected "
                "whole events.",
                remedy="Resume the stream where that is allowed.",
            )
        endpoint.note_result(ok=True, now_s=self.clock.monotonic())
        self.parts.suspects.note_success(job.fingerprint)
        await sink.end()

    async def _chunks(self, job: Job, endpoint: Endpoint, answer: EndpointAnswer):
        """Yield the body, giving up on an endpoint that stalls."""
        async with aclosing(answer.chunks()) as chunks:
            while True:
                try:
                    async with asyncio.timeout(self._stall_limit_s(job, endpoint)):
                        chunk = await anext(chunks, None)
                except TimeoutError as error:
                    raise _too_slow(endpoint, "go on with a stream") from error
                if chunk is None:
                    return
                yield chunk

    def _stall_limit_s(self, job: Job, endpoint: Endpoint) -> float:
        left_s = max(job.deadline_s - self.clock.monotonic(), 0.0)
        if not job.route.may_resume or job.n_runs + 1 >= job.route.max_attempts:
            return left_s
        if not job.has_begun:
            return self._first_answer_limit_s(job, endpoint)
        return min(left_s, STALL_S)

    def _check_order(self, job: Job, endpoint: Endpoint, event_id: int) -> None:
        """Raise an error unless an event follows the last one passed on."""
        if job.last_event is not None and event_id != job.last_event + 1:
            raise EndpointCrossedError(
                f"Got event {event_id} of {endpoint.name}, expected "
                f"{job.last_event + 1}.",
                remedy="Drop the stream; events are missing or come twice.",
            )

    def _note_first_event(self, job: Job, endpoint: Endpoint, started_s: float) -> None:
        now_s = self.clock.monotonic()
        self._note_started(job, endpoint)
        self.parts.placer.first_event(job, endpoint)
        self.parts.metrics.first_s.labels(job.route.name).observe(
            now_s - job.request.received_s
        )
        self.parts.note_outcome(job, endpoint, ok=True, latency_s=now_s - started_s)

    def _note_started(self, job: Job, endpoint: Endpoint) -> None:
        """Count the request as begun, once."""
        if not job.is_counted:
            job.is_counted = True
            self.parts.count_started(job)

    def _may_repeat_failed(self, job: Job) -> bool:
        """Whether an answer with a failure is better dropped for another try."""
        may_repeat = job.route.may_repeat and job.n_runs + 1 < job.route.max_attempts
        return may_repeat and job.n_sends < N_SENDS_MOST and self._take_repeat(job)

    def _may_send_again(self, job: Job, error: LagoonringError) -> bool:
        """Whether the job may go to another endpoint after an error."""
        if job.n_sends >= N_SENDS_MOST or job.deadline_s <= self.clock.monotonic():
            return False
        if error.outcome is Outcome.NOT_RUN and not job.n_runs:
            is_arrival = not isinstance(error, EndpointConnectError)
            return not is_arrival or self._take_repeat(job)
        if not job.may_send_again or (job.has_begun and not job.route.may_resume):
            return False
        if isinstance(error, EndpointFailedError):
            return True  # paid for when the answer was dropped
        return self._take_repeat(job)

    def _take_repeat(self, job: Job) -> bool:
        return self.parts.repeats.take(
            job.service, self.clock.monotonic(), self.parts.exchange.count_instances()
        )

    def _final_error(self, job: Job, error: LagoonringError) -> LagoonringError:
        """Return what the caller is told; "not run" only if that is certain."""
        if job.n_runs == 0 and error.outcome is Outcome.NOT_RUN:
            left_s = job.deadline_s - self.clock.monotonic()
            return OverloadError(
                f"Got no endpoint that took the request ({error.code}).",
                remedy="Send it again after the time told.",
                retry_after_s=max(0.05, min(0.3, left_s / 3)),
            )
        if isinstance(error, EndpointTimeoutError):
            return AnswerTimeoutError(
                f"Got no answer in time ({error.message})",
                remedy="Send it again only if it is idempotent.",
            )
        return AnswerUnknownError(
            f"Got no whole answer ({error.message})",
            remedy="Send it again only if it is idempotent.",
        )

    def _note_failure(self, job: Job, endpoint: Endpoint, error: EndpointError) -> None:
        """Learn from a failed attempt and log it."""
        now_s = self.clock.monotonic()
        n_crashes = 0
        if isinstance(error, EndpointConnectError):
            endpoint.note_unreachable(now_s)
        elif not isinstance(error, EndpointRefusedError | EndpointFailedError):
            endpoint.note_result(ok=False, now_s=now_s)
            self._note_started(job, endpoint)
            self.parts.note_outcome(job, endpoint, ok=False, latency_s=None)
            if isinstance(error, EndpointCutError):
                n_crashes = self.parts.suspects.note_crash(
                    job.fingerprint, f"{endpoint.name}/{endpoint.record.born_ms}"
                )
        logger.info(
            "Attempt failed.",
            extra={
                "request_id": job.request.request_id,
                "endpoint": endpoint.name,
                "kind": error.kind,
                "outcome": error.outcome.value,
                "error": error.message,
                "n_sends": job.n_sends,
                "n_crashes": n_crashes,
                "sequence": endpoint.record.sequence,
            },
        )

    def _log_failure(
        self, request: CallerRequest, job: Job | None, error: LagoonringError
    ) -> None:
        configuration = self.parts.follower.configuration
        logger.info(
            "Request failed.",
            extra={
                "request_id": request.request_id,
                "code": error.code,
                "status": error.status,
                "outcome": error.outcome.value,
                "error": error.message,
                "retry_after_s": error.retry_after_s,
                "route": job.route.name if job else None,
                "configuration": configuration.version if configuration else None,
                "elapsed_s": round(self.clock.monotonic() - request.received_s, 4),
            },
        )

    def _begin(self) -> None:
        self.n_in_progress += 1
        self.idle.clear()
        self.parts.metrics.in_progress.set(self.n_in_progress)

    def _end(self, request: CallerRequest, job: Job | None, outcome: str) -> None:
        if job is not None and job.organisation is not None and not job.is_counted:
            self.parts.quotas.give_back(
                job.organisation.name, job.taken, self.clock.monotonic()
            )
        self.n_in_progress -= 1
        self.parts.metrics.in_progress.set(self.n_in_progress)
        if self.n_in_progress == 0:
            self.idle.set()
        route = job.route.name if job else ""
        self.parts.metrics.requests.labels(route, outcome).inc()
        elapsed_s = self.clock.monotonic() - request.received_s
        if job is not None and outcome == RESULT_OK:
            self.parts.metrics.answer_s.labels(route).observe(elapsed_s)
        if outcome in (RESULT_OK, "cancelled"):
            logger.info(
                "Request {}.",
                "answered" if outcome == RESULT_OK else "given up",
                extra={
                    "request_id": request.request_id,
                    "route": route,
                    "endpoints": sorted(job.tried) if job else [],
                    "n_sends": job.n_sends if job else 0,
                    "elapsed_s": round(elapsed_s, 4),
                },
            )


def _unsigned(endpoint: Endpoint) -> EndpointCutError:
    return EndpointCutError(
        f"Got an answer of {endpoint.name} that is not its own work, expected a "
        "signed one.",
        remedy="Repeat the request only if it is idempotent.",
    )


def _too_slow(endpoint: Endpoint, what: str) -> EndpointTimeoutError:
    return EndpointTimeoutError(
        f"Got no sign of {endpoint.name} in time, expected it to {what}.",
        remedy="Repeat the request only if it is idempotent.",
    )
