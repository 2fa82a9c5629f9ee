"""The request path: accepts, places, sends and relays requests, and retries them."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointFailedError,
    EndpointTimeoutError,
    RequestWithdrawnError,
)
from lagoonring.errors import LagoonringError, Outcome
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.serving.accepting import accept, check_prompt
from lagoonring.serving.admitting import WaitEstimate, decide
from lagoonring.serving.attempt_logs import describe_placement
from lagoonring.serving.attempts import RESULT_OK, Attempts
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.copies import release_copies, take_copies
from lagoonring.serving.errors import (
    AnswerTimeoutError,
    AnswerUnknownError,
    OverloadError,
)
from lagoonring.serving.retrying import release_retry, renew_retry, take_retry
from lagoonring.serving.shutdown import Shutdown
from lagoonring.serving.waiting import MAX_SENDS

if TYPE_CHECKING:
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.placing import Placement
    from lagoonring.serving.requests import CallerRequest, Job, Sink

MAX_STORE_WAIT_S = 0.25  # at start the store is read within some hundredths of a second

logger = make_logger("path")


class RequestPath(BaseService):
    """Serves the requests of callers.

    Parameters
    ----------
    parts : ServingParts
        The components of this instance.
    """

    name = "path"

    def __init__(self, parts: ServingParts) -> None:
        self.parts = parts
        self.clock = parts.app.clock
        self.attempts = Attempts(parts)
        self.shutdown = Shutdown(parts.app)

    async def serve(self, request: CallerRequest, sink: Sink) -> None:
        """Answer a request; every failure is answered with exactly one error."""
        job: Job | None = None
        outcome = "internal"
        self._begin()
        try:
            self.shutdown.check_open()
            await self.parts.follower.wait_until_read(MAX_STORE_WAIT_S)
            job = accept(self.parts, request)
            self.shutdown.check(job)
            self.parts.placer.record_demand(job)
            await self._run(job, sink)
            outcome = RESULT_OK
        except LagoonringError as error:
            outcome = error.code
            await self._fail(request, job, sink, error)
        except asyncio.CancelledError:
            interruption = self.shutdown.end_interrupted(job)
            if interruption is None:
                outcome = "cancelled"
                raise
            outcome = interruption.code
            await self._fail(request, job, sink, interruption)
        finally:
            self._end(request, job, outcome)

    async def _fail(
        self,
        request: CallerRequest,
        job: Job | None,
        sink: Sink,
        error: LagoonringError,
    ) -> None:
        """Send the final error of a request, or break off an answer that has begun."""
        self._log_failure(request, job, error)
        if job is not None and job.has_begun:
            sink.abort()
        else:
            await sink.send_error(error)

    async def retire(self) -> None:
        """Begin to refuse requests that may not end before the process does."""
        await self.shutdown.retire()

    async def drain(self, grace_s: float) -> None:
        """Wait for the requests in progress; the rest gets final answers."""
        await self.shutdown.drain(grace_s)

    async def _run(self, job: Job, sink: Sink) -> None:
        """Send a job until it is answered or may not be retried."""
        error: LagoonringError | None = None
        while True:
            endpoint = await self._place(job, error)
            if error is not None and not renew_retry(self.parts, job):
                self._release_permit(job)
                raise self._final_error(job, error)
            error = await self.attempts.send(job, endpoint, sink)
            while error is not None and job.move is not None:
                error = await self._continue_moved_stream(job, error, sink)
            if error is None:
                return
            if not self._may_retry(job, error):
                raise self._final_error(job, error)

    async def _continue_moved_stream(
        self, job: Job, error: LagoonringError, sink: Sink
    ) -> LagoonringError | None:
        """Continue a stream that was stopped to be moved; return None once it ends."""
        assert job.move is not None
        source = job.sent_to
        job.ran_at.add(source)
        ways = await job.move
        job.move = None
        if ways and job.granted is not None:
            job.granted = None
            release_retry(self.parts, job)
        for target, moved in ways or ():
            if job.deadline_s <= self.clock.monotonic():
                break
            if target.name == source and self._grant_resumption(job, error):
                break
            job.moved = moved
            self.parts.metrics.retries.labels(job.service, "moved").inc()
            logger.info(
                "Stream continued after a move.",
                extra={
                    "request_id": job.request.request_id,
                    "service": job.service,
                    "endpoint": target.name,
                    "is_copied": moved.is_copied,
                },
            )
            copies = take_copies(job, target)
            failed = await self.attempts.send(job, target, sink)
            job.moved = None
            if failed is None or failed.outcome is not Outcome.NOT_RUN:
                return failed
            job.copies |= copies
        release_copies(self.parts, job)
        return error

    def _grant_resumption(self, job: Job, error: LagoonringError) -> bool:
        """Return whether a stream is resumed elsewhere rather than where it stopped.

        An endpoint that is leaving could not end it.
        """
        placement = self.parts.placer.place(job)
        if placement is None or not self._may_retry(job, error):
            return False
        job.granted = placement
        return True

    async def _place(self, job: Job, error: LagoonringError | None) -> Endpoint:
        """Return the next endpoint; raises an error if none can answer in time."""
        if error is None:
            check_prompt(self.parts, job.request)
        granted = self._take_granted(job)
        if granted is not None:
            return granted
        placement = self.parts.placer.place(job)
        opens_s = None
        while placement is None:
            found = self.parts.placer.next_permit(job)
            if found is None:
                break
            limited, opens_s = found
            if not self._may_wait(job, limited, opens_s):
                break
            if await self._wait_for_permit(job, limited, opens_s):
                return limited
            placement = self.parts.placer.place(job)
        left_s = job.deadline_s - self.clock.monotonic()
        wait = WaitEstimate(
            estimate_s=None if placement is None else placement.estimate_s,
            left_s=left_s,
            max_wait_s=job.route.max_wait_s,
            objective_s=_queue_objective_s(job, placement),
            opens_s=opens_s,
        )
        refusal = decide(wait, self.parts.app.rng)
        job.placement = placement or job.placement
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

    def _take_granted(self, job: Job) -> Endpoint | None:
        """Return the endpoint for which the one before was given up, if any."""
        placement, job.granted = job.granted, None
        if placement is None:
            return None
        endpoint = self.parts.table.find(placement.name)
        if endpoint is None or self.parts.placer.permissions.wait_s(endpoint) != 0:
            return None
        job.placement = placement
        return endpoint

    def _may_wait(self, job: Job, endpoint: Endpoint, opens_s: float) -> bool:
        """Return whether the job is answered in time if it waits for an endpoint."""
        estimate_s = opens_s + self.parts.placer.estimate_s(job, endpoint)
        wait = WaitEstimate(
            estimate_s=estimate_s,
            left_s=job.deadline_s - self.clock.monotonic(),
            max_wait_s=job.route.max_wait_s,
        )
        return decide(wait, self.parts.app.rng) is None

    async def _wait_for_permit(
        self, job: Job, endpoint: Endpoint, opens_s: float
    ) -> bool:
        """Wait until the endpoint takes the job; return whether it is to be sent there.

        Without a limit there is no permit to hold, and the job is placed anew.
        """
        placer, permissions = self.parts.placer, self.parts.placer.permissions
        slot = permissions.take_permit(endpoint)
        job.waited_s += opens_s
        is_used = False
        try:
            await self.clock.sleep(opens_s)
            is_used = (
                slot is not None
                and placer.is_eligible(job, endpoint)
                and permissions.is_permitted(endpoint, slot)
            )
        finally:
            if slot is not None and not is_used:
                permissions.permits.release(endpoint, slot)
        if is_used:
            assert slot is not None
            job.permit = (endpoint, slot)
            job.placement = None
        return is_used

    def _release_permit(self, job: Job) -> None:
        """Return the permit of a job that is not sent."""
        if job.permit is not None:
            self.parts.placer.permissions.permits.release(*job.permit)
            job.permit = None

    def _may_retry(self, job: Job, error: LagoonringError) -> bool:
        """Return whether the job may be sent to another endpoint after an error."""
        if job.granted is not None:
            return True  # charged to the budget when the endpoint was given up
        if job.n_sends >= MAX_SENDS or job.deadline_s <= self.clock.monotonic():
            return False
        has_arrived = not isinstance(
            error, EndpointConnectError | RequestWithdrawnError
        )
        if error.outcome is Outcome.NOT_RUN and not job.n_runs:
            return not has_arrived or take_retry(self.parts, job)
        if not job.may_retry or not job.may_continue:
            return False
        if job.has_begun and not job.route.may_resume:
            return False
        if self.parts.prompt_suspects.is_doubtful(job.request.shared_parts()):
            return False
        if isinstance(error, EndpointFailedError) or not has_arrived:
            return True  # already charged to the budget, with the attempt before
        return take_retry(self.parts, job)

    def _final_error(self, job: Job, error: LagoonringError) -> LagoonringError:
        """Return the error for the caller; "not run" only if that is certain."""
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
        now_s = self.clock.monotonic()
        logger.info(
            "Request failed.",
            extra={
                **self._describe_choice(job, now_s),
                "request_id": request.request_id,
                "code": error.code,
                "status": error.status,
                "outcome": error.outcome.value,
                "error": error.message,
                "retry_after_s": error.retry_after_s,
                "route": job.route.name if job else None,
                "configuration": configuration.version if configuration else None,
                "waited_s": round(job.waited_s, 4) if job else 0.0,
                "elapsed_s": round(now_s - request.received_s, 4),
                **self.shutdown.describe(),
            },
        )

    def _describe_choice(self, job: Job | None, now_s: float) -> dict[str, Any]:
        """Return what the last choice of an endpoint was based on, and its age."""
        if job is None or job.placement is None:
            return {}
        table = self.parts.table
        return {
            **describe_placement(job, now_s),
            "objective_s": job.route.objective_s,
            "loads_age_s": table.loads_age_s(now_s),
            "assessed_age_s": round(now_s - table.assessed_s, 3)
            if table.typical
            else None,
        }

    def _begin(self) -> None:
        self.shutdown.begin()
        self.parts.metrics.in_progress.set(len(self.shutdown.tasks))

    def _refund_unless_run(self, job: Job) -> None:
        """Return what a job that no endpoint can have run took from its limit."""
        if job.organisation is not None and not job.is_counted and job.n_runs == 0:
            self.parts.quotas.refund(
                job.organisation.name, job.taken, self.clock.monotonic()
            )

    def _end(self, request: CallerRequest, job: Job | None, outcome: str) -> None:
        if job is not None:
            self._refund_unless_run(job)
            release_copies(self.parts, job, is_ended=True)
        self.shutdown.end()
        self.parts.metrics.in_progress.set(len(self.shutdown.tasks))
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
                    **self._describe_choice(job, self.clock.monotonic()),
                    "request_id": request.request_id,
                    "route": route,
                    "endpoints": sorted(job.tried) if job else [],
                    "n_sends": job.n_sends if job else 0,
                    "version": job.version if job else None,
                    "first_answer_s": job.first_answer_s if job else None,
                    "longest_pause_s": round(job.longest_pause_s, 4) if job else 0.0,
                    "waited_s": round(job.waited_s, 4) if job else 0.0,
                    "relay": job.relay.address if job and job.relay else None,
                    "elapsed_s": round(elapsed_s, 4),
                    **self.shutdown.describe(),
                },
            )


def _queue_objective_s(job: Job, placement: Placement | None) -> float:
    """Return the objective of plain answers, beyond which a queue serves nobody.

    Long streams are of use also if they begin late. Where nothing runs there is no
    queue, and without requests a long answer time would never be corrected.
    """
    is_stream = job.route.kind is RequestKind.STREAM
    is_free = placement is not None and placement.n_running == 0
    return math.inf if is_stream or is_free else job.route.objective_s
