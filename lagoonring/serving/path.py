"""The way of a request: accept, place, send, relay, send again where allowed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointFailedError,
    EndpointTimeoutError,
)
from lagoonring.errors import LagoonringError, Outcome
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.requests.errors import NotReadyError
from lagoonring.serving.accepting import accept
from lagoonring.serving.admitting import Prospect, decide
from lagoonring.serving.attempts import N_SENDS_MOST, RESULT_OK, Attempts
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.errors import (
    AnswerTimeoutError,
    AnswerUnknownError,
    OverloadError,
)

if TYPE_CHECKING:
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import CallerRequest, Job, Sink

START_WAIT_S = 0.25  # the store is read in some hundredths of a second at a start
ARRIVALS_S = 3.0  # two missed checks of a second each, and one under way
LEAVING_RETRY_S = 0.05  # another instance takes the request at once

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
        self.attempts = Attempts(parts)
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
            await self.parts.follower.wait_until_read(START_WAIT_S)
            job = accept(self.parts, request)
            self._check_time_to_serve(job)
            self.parts.placer.note_demand(job)
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
            error = await self.attempts.send(job, endpoint, sink)
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
        return await self.attempts.send(job, target, sink)

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

    def _may_send_again(self, job: Job, error: LagoonringError) -> bool:
        """Whether the job may go to another endpoint after an error."""
        if job.n_sends >= N_SENDS_MOST or job.deadline_s <= self.clock.monotonic():
            return False
        if error.outcome is Outcome.NOT_RUN and not job.n_runs:
            is_arrival = not isinstance(error, EndpointConnectError)
            return not is_arrival or self.attempts.take_repeat(job)
        if not job.may_send_again or (job.has_begun and not job.route.may_resume):
            return False
        if isinstance(error, EndpointFailedError):
            return True  # paid for when the answer was dropped
        return self.attempts.take_repeat(job)

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
            self.parts.quotas.refund(
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
