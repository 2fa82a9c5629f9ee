"""Waits for endpoints, which are given up only if another one can take the request.

An endpoint that is silent may be about to go on. Its request is left to it until the
deadline unless a retry is granted and another endpoint answers: otherwise the caller
would lose an answer, or the rest of one, to nobody's gain.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from lagoonring.logs import make_logger
from lagoonring.serving.admitting import WaitEstimate, decide
from lagoonring.serving.attempt_errors import Limit, timeout_error
from lagoonring.serving.retrying import release_retry, take_retry
from lagoonring.serving.stopping import is_being_stopped

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import Job

MAX_SENDS = 4  # after that a caller's own retry reaches another instance
# Endpoints that fall silent together do so some events apart.
QUIET_SHARE = 0.5  # of a silence, from which another endpoint counts as silent too
RECHECK_S = 0.25  # doubled with each check that finds no other endpoint

logger = make_logger("path")


class EndpointWait:
    """Bounds a wait for a sign of an endpoint; an asynchronous context manager.

    Once ``patience_s`` is over, the endpoint is given up as soon as another one may be
    tried; that is placed as ``job.granted``. The wait ends at the job's deadline.

    Parameters
    ----------
    what : str
        What the endpoint is expected to do, for the error.
    patience_s : float
        Infinite if no other endpoint may be tried.

    Raises
    ------
    EndpointTimeoutError
        If the endpoint was given up.
    """

    def __init__(
        self,
        parts: ServingParts,
        job: Job,
        endpoint: Endpoint,
        *,
        what: str,
        patience_s: float,
    ) -> None:
        self.parts = parts
        self.job = job
        self.endpoint = endpoint
        self.what = what
        self.patience_s = patience_s
        self.limit = time_left(parts, job)
        self.loop = asyncio.get_running_loop()
        self.began_s = self.loop.time()
        self.timer: asyncio.TimerHandle | None = None
        self.timeout = asyncio.timeout(self.limit.seconds)
        self.recheck_s = RECHECK_S

    async def __aenter__(self) -> EndpointWait:
        await self.timeout.__aenter__()
        if self.patience_s < self.limit.seconds:
            self.timer = self.loop.call_later(self.patience_s, self._give_up)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self.timer is not None:
            self.timer.cancel()
        try:
            await self.timeout.__aexit__(kind, error, traceback)
        except TimeoutError as expired:
            raise timeout_error(self.endpoint, self.what, self.limit) from expired
        if self.job.granted is not None:
            self.job.granted = None  # the endpoint has gone on meanwhile
            release_retry(self.parts, self.job)

    def _give_up(self) -> None:
        """Give the endpoint up if another one may be tried, else check again later."""
        if grant_another(self.parts, self.job, self.endpoint):
            waited_s = self.loop.time() - self.began_s
            self.limit = Limit("another attempt", waited_s)
            self.timeout.reschedule(self.loop.time())
            return
        self.timer = self.loop.call_later(self.recheck_s, self._give_up)
        self.recheck_s *= 2


def time_left(parts: ServingParts, job: Job) -> Limit:
    """Return the time until the job's deadline, and who set it."""
    left_s = max(job.deadline_s - parts.app.clock.monotonic(), 0.0)
    allowed_s = job.request.allowed_s
    is_callers = allowed_s is not None and allowed_s < job.route.timeout_s
    return Limit("the caller's timeout" if is_callers else "the route's", left_s)


def may_try_another(job: Job) -> bool:
    """Return whether the job may be sent to one more endpoint after the present one."""
    if job.n_sends >= MAX_SENDS or job.n_runs + 1 >= job.route.max_attempts:
        return False
    if job.has_begun and not job.route.may_resume:
        return False
    return (job.route.is_idempotent or job.route.may_resume) and job.may_continue


def answers_within(parts: ServingParts, quiet_s: float) -> Callable[[Endpoint], bool]:
    """Return a test for endpoints that are not down, nor silent for ``quiet_s``.

    An endpoint is silent if it sends nothing though this instance waits for it.
    """
    now_s = parts.app.clock.monotonic()
    waits_since_s: dict[str, float] = {}
    for _, work in parts.placer.in_progress.values():
        name = work.endpoint.name
        waits_since_s[name] = min(waits_since_s.get(name, math.inf), work.begun_s)

    def accepts(endpoint: Endpoint) -> bool:
        is_relayed = parts.connectivity.is_lost(endpoint)
        since_s = max(waits_since_s.get(endpoint.name, now_s), endpoint.heard_s)
        is_silent = not is_relayed and now_s - since_s >= quiet_s
        return not is_silent and now_s >= endpoint.believed_down_until_s(is_relayed)

    return accepts


def grant_another(parts: ServingParts, job: Job, endpoint: Endpoint) -> bool:
    """Place the job at another endpoint and take a retry; return whether both worked.

    The job is still at ``endpoint``, which is silent. Others that have been silent for
    as long towards requests of this instance are no better.
    """
    if is_being_stopped(job, endpoint) or not may_try_another(job):
        return False
    if parts.prompt_suspects.is_doubtful(job.request.shared_parts()):
        return False
    now_s = parts.app.clock.monotonic()
    quiet_s = now_s - max(job.sent_s, job.progressed_s)
    placement = parts.placer.place(job, answers_within(parts, QUIET_SHARE * quiet_s))
    if placement is None:
        return False
    wait = WaitEstimate(
        estimate_s=placement.estimate_s,
        left_s=job.deadline_s - now_s,
        max_wait_s=math.inf if job.has_begun else job.route.max_wait_s,
    )
    if decide(wait, parts.app.rng) is not None or not take_retry(parts, job):
        return False
    job.granted = placement
    logger.info(
        "Endpoint given up.",
        extra={
            "request_id": job.request.request_id,
            "endpoint": endpoint.name,
            "other": placement.name,
            "quiet_s": round(quiet_s, 3),
            "has_begun": job.has_begun,
        },
    )
    return True
