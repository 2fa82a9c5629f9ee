"""Sends a request to one endpoint, relays the answer and records the result."""

from __future__ import annotations

import asyncio
import math
from contextlib import aclosing, contextmanager
from typing import TYPE_CHECKING

import attrs

from lagoonring.endpoints.errors import (
    EndpointCutError,
    EndpointError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointTimeoutError,
)
from lagoonring.errors import Outcome
from lagoonring.logs import make_logger
from lagoonring.serving.attempt_errors import unsigned_error
from lagoonring.serving.attempt_results import end_record, record_failure
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.connectivity import SILENCE_S
from lagoonring.serving.events import EventSplitter
from lagoonring.serving.requests import SendOrder
from lagoonring.serving.retrying import take_retry
from lagoonring.serving.statements import record_statement
from lagoonring.serving.stopping import (
    begin_run,
    check_end,
    log_stream_end,
    may_be_empty,
    may_have_ended,
)
from lagoonring.serving.stream_checks import (
    check_continues,
    read_media_type,
    take_events,
)
from lagoonring.serving.waiting import MAX_SENDS, EndpointWait, may_try_another

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable, Iterator

    from lagoonring.errors import LagoonringError
    from lagoonring.serving.buffers import Buffer
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import EndpointAnswer, Job, Sink

STALL_TIMEOUT_S = 1.5  # for resumable streams; callers time out after two seconds
FIRST_ANSWER_TIMEOUT_OBJECTIVES = 1.5  # an earlier retry would be late as well
FIRST_ANSWER_TIMEOUT_ESTIMATES = 3.0  # a healthy endpoint rarely exceeds this
STEADY_STREAM_S = 1.0  # after its first event; a crash by the prompt comes before
RESULT_OK = "ok"

logger = make_logger("path")


class Attempts:
    """Sends jobs to endpoints and relays the answers.

    Parameters
    ----------
    parts : ServingParts
        The components of this instance.
    """

    def __init__(self, parts: ServingParts) -> None:
        self.parts = parts
        self.clock = parts.app.clock

    async def send(
        self, job: Job, endpoint: Endpoint, sink: Sink
    ) -> LagoonringError | None:
        """Send a job to an endpoint; return None if it was answered, else the error."""
        self._begin_record(job, endpoint)
        begin_run(job, endpoint)
        self.parts.placer.begin(job, endpoint)
        job.n_sends += 1
        job.sent_s, job.sent_to = self.clock.monotonic(), endpoint.name
        job.tried.add(endpoint.name)
        result = "cancelled"
        try:
            with self.parts.connectivity.choose_way(job, endpoint):
                await self._exchange(job, endpoint, sink)
            result = RESULT_OK
            end_record(job, self.clock.monotonic(), ok=True)
            return None
        except EndpointError as error:
            if job.move is not None:
                result = "moved"
                return error
            result = error.kind
            if error.outcome is not Outcome.NOT_RUN:
                job.ran_at.add(endpoint.name)
            record_failure(self.parts, job, endpoint, error)
            return error
        except asyncio.CancelledError:
            # The endpoint may have begun the request before its caller gave up.
            job.ran_at.add(endpoint.name)
            raise
        finally:
            if job.recorder is not None:
                job.recorder.record_given_up(self.clock.monotonic())
            self.parts.placer.finish(job)
            self.parts.metrics.attempts.labels(job.service, result).inc()

    def _begin_record(self, job: Job, endpoint: Endpoint) -> None:
        """Begin to record the attempt, in detail if the service moves."""
        if self.parts.gate.running_order(job.service) is None:
            job.recorder = self.parts.counters.begin_usual(job)
            return
        continues = job.moved is not None or job.last_event is not None
        job.recorder = self.parts.counters.begin(
            job,
            endpoint.record,
            None if continues else self.parts.placer.typical_answer_s(job, endpoint),
        )

    async def _exchange(self, job: Job, endpoint: Endpoint, sink: Sink) -> None:
        """Send a job once and relay the answer; raises an ``EndpointError``."""
        order = SendOrder(
            endpoint=endpoint.record,
            left_s=job.deadline_s - self.clock.monotonic(),
            urgency=self.parts.urgency_of(job),
            organisation=job.organisation.name if job.organisation else None,
            resume_after=job.last_event,
            moved=job.moved,
            relay=job.relay,
            is_wanted=None if job.relay else self._make_check(job, endpoint),
        )
        job.moved = None
        job.version = endpoint.record.version
        started_s = self.clock.monotonic()
        wait = EndpointWait(
            self.parts,
            job,
            endpoint,
            what="begin an answer",
            patience_s=self._first_answer_patience_s(job, endpoint),
        )
        async with wait:
            with self._watch_silence(job, endpoint):
                answer = await self.parts.sender.send(job.request, order)
        self._record_heard(job, endpoint)
        if not answer.is_other_endpoint:
            statement = answer.statement
            if job.relay is not None:
                # The endpoint asks the instance that it sees for a pause.
                statement = attrs.evolve(statement, pause_s=0.0)
            record_statement(
                self.parts.table, endpoint, statement, self.clock.monotonic()
            )
        try:
            self._check_not_refused(endpoint, answer)
            check_continues(job, endpoint, answer)
            is_stream = job.route.kind is RequestKind.STREAM and answer.status < 300
            relay = self._relay_stream if is_stream else self._relay_whole
            with self.parts.buffers.open(answer.close) as buffer:
                await relay(job, endpoint, answer, sink, started_s, buffer)
        finally:
            answer.close()

    def _make_check(self, job: Job, endpoint: Endpoint) -> Callable[[], bool]:
        permissions = self.parts.placer.permissions
        return permissions.make_check(endpoint, expires_s=job.expires_s)

    @contextmanager
    def _watch_silence(self, job: Job, endpoint: Endpoint) -> Iterator[None]:
        """Find out whether the endpoint is reached if it is silent for some time."""
        if job.relay is not None:
            yield
            return
        connectivity = self.parts.connectivity
        timer = self.clock.call_later(
            SILENCE_S, lambda: connectivity.record_silence(endpoint)
        )
        try:
            yield
        finally:
            timer.cancel()

    def _record_heard(self, job: Job, endpoint: Endpoint) -> None:
        endpoint.heard_s = self.clock.monotonic()
        if job.relay is None:
            self.parts.connectivity.record_heard(job.service)

    def _first_answer_patience_s(self, job: Job, endpoint: Endpoint) -> float:
        """Return how long to wait for an answer before another endpoint may do it."""
        if not may_try_another(job):
            return math.inf
        estimate_s = self.parts.placer.estimate_s(job, endpoint)
        return max(
            FIRST_ANSWER_TIMEOUT_OBJECTIVES * job.route.objective_s,
            FIRST_ANSWER_TIMEOUT_ESTIMATES * estimate_s,
        )

    def _check_not_refused(self, endpoint: Endpoint, answer: EndpointAnswer) -> None:
        """Raise ``EndpointRefusedError`` if the endpoint has not run the request."""
        if answer.is_other_endpoint:
            endpoint.mark_unreachable(self.clock.monotonic())
            raise EndpointRefusedError(
                f"Got an answer of another endpoint at {endpoint.record.address}, "
                f"expected {endpoint.name}.",
                remedy="Use another endpoint; the request was not run.",
            )
        if answer.is_not_run:
            self.parts.placer.mark_full(endpoint)
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
        buffer: Buffer,
    ) -> None:
        """Relay an answer once it was received completely."""
        body = await answer.read(buffer)
        await check_end(self.parts, job, endpoint, answer)
        buffer.keep(sink)
        if answer.status < 300 and not answer.is_signed:
            raise unsigned_error(endpoint)
        self.parts.count_started(job)
        self._record_first_answer(job, started_s)
        is_failure = answer.status >= 500
        endpoint.record_result(ok=not is_failure, now_s=self.clock.monotonic())
        if is_failure:
            end_record(job, self.clock.monotonic(), ok=False)
        if is_failure and self._may_retry_failed(job):
            raise EndpointFailedError(
                f"Got status {answer.status} of {endpoint.name}, expected success.",
                remedy="Repeat the request only if it is idempotent.",
            )
        if answer.status in (408, 421, 429, 503):
            # To the caller these statuses would mean that the request was not run.
            raise unsigned_error(endpoint)
        if not is_failure:
            self.parts.placer.learn_answer_time(
                job, endpoint, self.clock.monotonic() - started_s
            )
            self._record_sound(job)
        if answer.status < 300:
            self._record_prompt_answered(job)
        job.has_begun = True
        self.parts.placer.finish(job)  # the caller may read slowly
        await sink.send_whole(answer.status, answer.headers, body)

    async def _relay_stream(
        self,
        job: Job,
        endpoint: Endpoint,
        answer: EndpointAnswer,
        sink: Sink,
        sent_s: float,
        buffer: Buffer,
    ) -> None:
        """Relay complete events as they arrive."""
        if not answer.is_signed:
            raise unsigned_error(endpoint)
        splitter = EventSplitter()
        may_be_over, job.may_be_over = may_be_empty(job), False
        is_rest = job.has_begun or job.last_event is not None
        is_first = True
        first_event_s = math.inf
        try:
            async with aclosing(self._chunks(job, endpoint, answer)) as chunks:
                async for chunk in chunks:
                    complete, error = take_events(
                        job, endpoint, splitter, chunk, is_rest=is_rest
                    )
                    buffer.hold(len(splitter.buffer))
                    if error is not None and not complete:
                        raise error
                    if not complete:
                        continue
                    job.progressed_s = self.clock.monotonic()
                    job.record_event(job.progressed_s)
                    if job.recorder is not None:
                        job.recorder.record_event(self.clock.monotonic())
                    if is_first:
                        is_first = False
                        self._record_first_answer(job, sent_s)
                        first_event_s = self.clock.monotonic()
                        self._record_first_event(job, endpoint)
                    elif self.clock.monotonic() - first_event_s >= STEADY_STREAM_S:
                        first_event_s = math.inf
                        self._record_prompt_answered(job)
                    if not job.has_begun:
                        job.has_begun = True
                        job.media_type = read_media_type(answer)
                        await sink.begin(answer.status, answer.headers)
                    await sink.write(complete)
                    if error is not None:
                        raise error
            is_empty_rest = is_first and may_be_over
            await check_end(
                self.parts, job, endpoint, answer, is_empty_rest=is_empty_rest
            )
        except EndpointError as error:
            is_given_up = (
                isinstance(error, EndpointTimeoutError) and job.granted is not None
            )
            job.may_be_over = not splitter.buffer and (
                (is_given_up and job.has_begun) or may_have_ended(job, endpoint, error)
            )
            log_stream_end(
                job, endpoint, answer, error, n_partial_bytes=len(splitter.buffer)
            )
            raise
        log_stream_end(
            job, endpoint, answer, None, n_partial_bytes=len(splitter.buffer)
        )
        if splitter.buffer or (is_first and not may_be_over):
            raise EndpointCutError(
                f"Got a stream of {endpoint.name} that ends within an event, expected "
                "whole events.",
                remedy="Resume the stream where that is allowed.",
            )
        endpoint.record_result(ok=True, now_s=self.clock.monotonic())
        self._record_sound(job)
        self._record_prompt_answered(job)
        await sink.end()

    async def _chunks(
        self, job: Job, endpoint: Endpoint, answer: EndpointAnswer
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body; raises ``EndpointTimeoutError`` if the endpoint stalls.

        Bytes that complete no event don't count as progress.
        """
        job.progressed_s = self.clock.monotonic()
        async with aclosing(answer.chunks()) as chunks:
            while True:
                wait = EndpointWait(
                    self.parts,
                    job,
                    endpoint,
                    what="go on with a stream",
                    patience_s=self._stall_patience_s(job, endpoint),
                )
                async with wait:
                    chunk = await anext(chunks, None)
                if chunk is None:
                    return
                self._record_heard(job, endpoint)
                yield chunk

    def _stall_patience_s(self, job: Job, endpoint: Endpoint) -> float:
        """Return how long to wait for more before another endpoint may go on."""
        if not job.route.may_resume or not may_try_another(job):
            return math.inf
        if not job.has_begun:
            return self._first_answer_patience_s(job, endpoint)
        stalled_s = self.clock.monotonic() - job.progressed_s
        return max(STALL_TIMEOUT_S - stalled_s, 0.0)

    def _record_first_answer(self, job: Job, sent_s: float) -> None:
        """Record the time to the first answer, and how well it was estimated."""
        seconds = self.clock.monotonic() - sent_s
        job.first_answer_s = round(seconds, 4)
        if job.n_sends == 1 and job.placement is not None:
            ratio = seconds / max(job.placement.estimate_s, 1e-3)
            self.parts.metrics.estimate_ratio.labels(job.service).observe(ratio)

    def _record_first_event(self, job: Job, endpoint: Endpoint) -> None:
        now_s = self.clock.monotonic()
        self.parts.count_started(job)
        self.parts.placer.record_first_event(job, endpoint)
        self.parts.metrics.first_s.labels(job.route.name).observe(
            now_s - job.request.received_s
        )

    def _record_sound(self, job: Job) -> None:
        """Record that the request does not crash endpoints."""
        self.parts.suspects.record_success(job.fingerprint, self.clock.monotonic())

    def _record_prompt_answered(self, job: Job) -> None:
        """Record that the parts of the prompt do not crash endpoints."""
        self.parts.prompt_suspects.record_answer(
            job.request.shared_parts(), self.clock.monotonic()
        )

    def _may_retry_failed(self, job: Job) -> bool:
        """Return whether to retry instead of relaying a failure answer."""
        is_retryable = (
            job.route.is_idempotent and job.n_runs + 1 < job.route.max_attempts
        )
        return is_retryable and job.n_sends < MAX_SENDS and take_retry(self.parts, job)
