"""Keeps what placing needs to know of endpoints, and applies its decisions."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.endpoints import Endpoint, EndpointState
from lagoonring.serving.placing import (
    FIRST_TOKEN_S,
    Candidate,
    Work,
    choose,
    estimate_first_answer_s,
    prefer_by_part,
    shared_parts,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from lagoonring.kernel import Clock
    from lagoonring.serving.demand import Demand
    from lagoonring.serving.endpoints import EndpointTable
    from lagoonring.serving.placing import Placement
    from lagoonring.serving.requests import Job, PromptParts

    Allowed = Callable[[str, Collection[str], str], set[str]]

TOKEN_S = 1.1e-5  # a model engine of the usual size reads 90 prompt tokens a ms
SERVICE_S = 0.06  # a plain service's usual answer
GENERATION_S = 1.0  # a usual stream from its first event to the last
LEARNED_FOR_S = 4.0  # an endpoint that was slow is tried again after some seconds
TOKENS_LEAST = 1000  # shorter readings say more of the engine's step than of tokens
LONG_TOKENS = 6000  # here the first step is a small part of the reading
N_READINGS_KEPT = 64  # per service; some minutes of a small instance's long prompts
N_READINGS_LEAST = 8  # before it the usual engine is assumed
FULL_S = 0.15  # an endpoint that refused has places again after a few answers


@attrs.define
class WorkInProgress:
    """What a job adds to an endpoint's load until it ends."""

    endpoint: Endpoint
    n_waiting_tokens: int
    n_tokens_ahead: int
    begun_s: float
    is_first_event_seen: bool = False


class Placer:
    """Places jobs on endpoints of their service.

    Parameters
    ----------
    table : EndpointTable
        The endpoints.
    data_centre : str
        Where this instance is.
    allowed : callable
        ``allowed(service, versions, request_id)`` returns those of the versions
        present that a request may run on.
    """

    def __init__(
        self,
        table: EndpointTable,
        clock: Clock,
        rng: random.Random,
        *,
        data_centre: str,
        allowed: Allowed,
        demand: Demand,
    ) -> None:
        self.table = table
        self.clock = clock
        self.rng = rng
        self.data_centre = data_centre
        self.allowed = allowed
        self.demand = demand
        self.readings: dict[str, deque[float]] = {}
        # By identity: a job changes while it is served.
        self.works: dict[int, tuple[Job, WorkInProgress]] = {}

    def place(self, job: Job) -> Placement | None:
        """Return the placement of a job, or None if no endpoint can take it."""
        endpoints = self._usable(job)
        candidates = self._candidates(job, endpoints)
        return choose(candidates, _work_of(job), self.rng)

    def has_other(self, job: Job, endpoint: Endpoint) -> bool:
        """Whether another endpoint could take the job."""
        return any(other is not endpoint for other in self._usable(job))

    def estimate_s(self, job: Job, endpoint: Endpoint) -> float:
        """Return the expected time to an endpoint's first answer."""
        (candidate,) = self._candidates(job, [endpoint])
        return estimate_first_answer_s(candidate, _work_of(job))

    def streams_at(self, endpoint: Endpoint) -> list[Job]:
        """Return the streams of this instance that run at an endpoint."""
        return [
            job
            for job, work in self.works.values()
            if work.endpoint is endpoint and job.route.kind is RequestKind.STREAM
        ]

    def begin(self, job: Job, endpoint: Endpoint) -> WorkInProgress:
        """Add a job to an endpoint's load."""
        now_s = self.clock.monotonic()
        n_cached = endpoint.cache.count_cached(job.request.prompt_parts)
        n_missing = max(0, job.request.n_prompt_tokens - n_cached)
        work = WorkInProgress(
            endpoint, n_missing, endpoint.count_waiting_tokens(), now_s
        )
        endpoint.n_running += 1
        endpoint.n_waiting_tokens += n_missing
        endpoint.cache.add(shared_parts(job.request.prompt_parts))
        self.works[id(job)] = (job, work)
        return work

    def first_event(self, job: Job, endpoint: Endpoint) -> None:
        """Learn from a stream's first event."""
        _, work = self.works.get(id(job), (job, None))
        if work is None or work.is_first_event_seen:
            return
        work.is_first_event_seen = True
        endpoint.n_waiting_tokens -= work.n_waiting_tokens
        now_s = self.clock.monotonic()
        n_tokens = work.n_tokens_ahead + work.n_waiting_tokens
        if n_tokens >= TOKENS_LEAST:
            reading_s = max(now_s - work.begun_s - FIRST_TOKEN_S, 0.0)
            endpoint.learn_token_time(reading_s / n_tokens, now_s)
        if n_tokens >= LONG_TOKENS:
            kept = self.readings.setdefault(job.service, deque(maxlen=N_READINGS_KEPT))
            kept.append(reading_s / n_tokens)
        endpoint.cache.add(job.request.prompt_parts)

    def finish(self, job: Job, work: WorkInProgress) -> None:
        """Take a job off an endpoint's load."""
        self.works.pop(id(job), None)
        work.endpoint.n_running -= 1
        if not work.is_first_event_seen:
            work.endpoint.n_waiting_tokens -= work.n_waiting_tokens

    def learn_whole(self, job: Job, endpoint: Endpoint, elapsed_s: float) -> None:
        """Learn from a plain answer."""
        if job.route.kind is not RequestKind.STREAM:
            endpoint.learn_service_time(elapsed_s, self.clock.monotonic())

    def note_full(self, endpoint: Endpoint) -> None:
        """Avoid an endpoint that refused for lack of places."""
        endpoint.full_until_s = self.clock.monotonic() + FULL_S

    def note_demand(self, job: Job) -> None:
        """Count a job's prompt, but for parts that some endpoint has read.

        Jobs that are refused next count too: endpoints are missing for them.
        """
        parts = job.request.prompt_parts
        n_cached = 0
        for endpoint in self.table.of_service(job.service):
            n_cached = max(n_cached, endpoint.cache.count_cached(parts))
        n_missing = max(0, job.request.n_prompt_tokens - n_cached)
        token_s = self._alone_token_s(job.service)
        self.demand.record_arrival(job.service, n_missing * token_s)

    def _alone_token_s(self, service: str) -> float:
        """Return the time to read a token at an engine that reads nothing else.

        The lower quartile of long readings: the others waited for what was not
        known to be ahead of them.
        """
        readings = sorted(self.readings.get(service, ()))
        if len(readings) < N_READINGS_LEAST:
            return TOKEN_S
        return readings[len(readings) // 4]

    def _usable(self, job: Job) -> list[Endpoint]:
        """Return the endpoints that may get a job and have not had it yet."""
        ready = [
            endpoint
            for endpoint in self.table.of_service(job.service)
            if endpoint.record.state is EndpointState.READY
        ]
        versions = {endpoint.record.version for endpoint in ready}
        allowed = self.allowed(job.service, versions, job.request.request_id)
        return [
            endpoint
            for endpoint in ready
            if endpoint.record.version in allowed and endpoint.name not in job.tried
        ]

    def _candidates(self, job: Job, endpoints: list[Endpoint]) -> list[Candidate]:
        now_s = self.clock.monotonic()
        parts = job.request.prompt_parts
        preferred = _preferred(parts, endpoints)
        n_shared = sum(n_tokens for _, n_tokens in shared_parts(parts))
        token_s = _typical(
            [e.seconds_per_token for e in endpoints if e.seconds_per_token], TOKEN_S
        )
        default_s = GENERATION_S if parts else SERVICE_S
        service_s = _typical([e.service_s for e in endpoints if e.service_s], default_s)
        made = []
        for endpoint in endpoints:
            n_cached = endpoint.cache.count_cached(parts)
            if endpoint.name == preferred:
                n_cached = max(n_cached, n_shared)
            age_s = now_s - endpoint.learned_s
            made.append(
                Candidate(
                    name=endpoint.name,
                    n_slots=endpoint.record.n_slots,
                    n_running=endpoint.count_running(),
                    n_waiting_tokens=endpoint.count_waiting_tokens(),
                    n_cached_tokens=n_cached,
                    seconds_per_token=_fade(endpoint.seconds_per_token, token_s, age_s),
                    service_s=_fade(endpoint.service_s, service_s, age_s),
                    failure_share=endpoint.failure_share
                    * math.exp(-(now_s - endpoint.failed_s) / LEARNED_FOR_S),
                    is_local=endpoint.record.data_centre == self.data_centre,
                    is_avoided=now_s
                    < max(endpoint.down_until_s, endpoint.full_until_s),
                )
            )
        return made


def _work_of(job: Job) -> Work:
    return Work(
        n_prompt_tokens=job.request.n_prompt_tokens,
        is_generation=job.route.kind is RequestKind.STREAM,
        may_repeat=job.route.may_repeat or job.route.may_resume,
    )


def _preferred(parts: PromptParts, endpoints: list[Endpoint]) -> str | None:
    """Return the endpoint that the last shared part belongs to."""
    if not parts:
        return None
    part = shared_parts(parts)[-1][0]
    return prefer_by_part(part, [endpoint.name for endpoint in endpoints])


def _typical(samples: list[float], default: float) -> float:
    """Return the median, which one slow endpoint does not move."""
    if not samples:
        return default
    return sorted(samples)[len(samples) // 2]


def _fade(learned: float | None, typical: float, age_s: float) -> float:
    """Return what was learned, the nearer to the typical the older it is."""
    if learned is None:
        return typical
    return typical + (learned - typical) * math.exp(-age_s / LEARNED_FOR_S)
