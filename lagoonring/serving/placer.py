"""Places jobs on endpoints, and maintains the load and timings that this needs."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.endpoints import Endpoint
from lagoonring.serving.long_prompts import choose_readers, is_long
from lagoonring.serving.observations import Typical
from lagoonring.serving.permissions import Permissions
from lagoonring.serving.placing import (
    FIRST_TOKEN_S,
    Candidate,
    Work,
    choose,
    estimate_first_answer_s,
    prefer_by_part,
    shared_parts,
)
from lagoonring.serving.refusals import MAX_QUEUED_S
from lagoonring.serving.warming import is_cold

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from lagoonring.kernel import Clock
    from lagoonring.serving.connectivity import Connectivity
    from lagoonring.serving.demand import Demand
    from lagoonring.serving.endpoints import EndpointTable
    from lagoonring.serving.permits import Permits
    from lagoonring.serving.placing import Placement
    from lagoonring.serving.requests import Job, PromptParts

    Allowed = Callable[[str, Collection[str], str], set[str]]
    Accepts = Callable[[Endpoint], bool]

DEFAULT_TOKEN_S = 1.1e-5  # a typical model engine prefills 90 prompt tokens per ms
DEFAULT_SERVICE_S = 0.06  # typical answer of a plain service
DEFAULT_GENERATION_S = 1.0  # typical stream, from its first event to the last
LEARNED_DECAY_S = 4.0  # a slow endpoint is tried again after a few seconds
MIN_SAMPLE_TOKENS = 1000  # below it the engine's step dominates the prefill time
MIN_LONG_PROMPT_TOKENS = 6000  # from here the first step is a small part of the prefill
MAX_PREFILL_SAMPLES = 64  # per service; minutes of long prompts at a small instance
MIN_PREFILL_SAMPLES = 8  # with fewer, the typical engine is assumed
NO_SAMPLES = Typical(0.0, 0.0)
FULL_BACKOFF_S = 0.15  # an endpoint frees slots after a few answers


@attrs.define
class WorkInProgress:
    """The load that a job adds to an endpoint until it ends."""

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
        The known endpoints.
    data_centre : str
        The data centre of this instance.
    allowed : callable
        ``allowed(service, versions, request_id)`` returns those of the versions
        present that a request may run on.
    permits : Permits
        Tells when requests may be sent to endpoints that name limits.
    connectivity : Connectivity
        Tells which endpoints are reached, and which by a relay only.
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
        permits: Permits,
        connectivity: Connectivity,
    ) -> None:
        self.table = table
        self.clock = clock
        self.rng = rng
        self.data_centre = data_centre
        self.allowed = allowed
        self.demand = demand
        self.permissions = Permissions(table, clock, permits)
        self.connectivity = connectivity
        self.prefill_samples: dict[str, deque[float]] = {}
        # Keyed by identity, since jobs are mutable.
        self.in_progress: dict[int, tuple[Job, WorkInProgress]] = {}

    def place(self, job: Job, accepts: Accepts | None = None) -> Placement | None:
        """Return the placement of a job, or None if no endpoint can take it.

        ``accepts(endpoint)`` tells which endpoints come into question, by default all.
        """
        endpoints = self._usable(job)
        if accepts is not None:
            endpoints = [endpoint for endpoint in endpoints if accepts(endpoint)]
        candidates = self._candidates(job, endpoints)
        return choose(candidates, self._work_of(job), self.rng)

    def next_permit(self, job: Job) -> tuple[Endpoint, float] | None:
        """Return the endpoint that may take the job first, and the seconds until then.

        None if there is none, or none may be used within a foreseeable time.
        """
        may_queue = job.waited_s < MAX_QUEUED_S
        waits = (
            (endpoint, self.permissions.wait_s(endpoint))
            for endpoint in self._eligible(job)
            if may_queue or self.permissions.rates.has_room(endpoint)
        )
        known = [(endpoint, wait_s) for endpoint, wait_s in waits if wait_s is not None]
        return min(known, key=lambda pair: pair[1], default=None)

    def is_eligible(self, job: Job, endpoint: Endpoint) -> bool:
        """Return whether an endpoint could take the job, apart from its limit."""
        return any(other is endpoint for other in self._eligible(job))

    def estimate_s(self, job: Job, endpoint: Endpoint) -> float:
        """Return the expected time to an endpoint's first answer."""
        (candidate,) = self._candidates(job, [endpoint])
        return estimate_first_answer_s(candidate, self._work_of(job))

    def typical_answer_s(self, job: Job, endpoint: Endpoint) -> float:
        """Return the time to the first answer if the endpoint is a typical one.

        It accounts for the prompt, the endpoint's cache and the requests there, but not
        for what was learned of the endpoint's own speed. Plain requests of a route are
        alike; their times are compared as they are, that is, with one second.
        """
        if job.route.kind is not RequestKind.STREAM:
            return 1.0
        endpoints = self.table.of_service(job.service)
        usual = self._usual_times(job, endpoints, self.clock.monotonic())
        (candidate,) = self._candidates(job, [endpoint])
        typical = attrs.evolve(
            candidate, service_s=usual.service_s, seconds_per_token=usual.token_s
        )
        return estimate_first_answer_s(typical, self._work_of(job))

    def streams_at(self, endpoint: Endpoint) -> list[Job]:
        """Return the streams of this instance that run on an endpoint."""
        return [
            job
            for job, work in self.in_progress.values()
            if work.endpoint.is_same(endpoint) and job.route.kind is RequestKind.STREAM
        ]

    def known_as(self, endpoint: Endpoint) -> list[Endpoint]:
        """Return an endpoint, and what it was before its entry lapsed, if in use."""
        used = [work.endpoint for _, work in self.in_progress.values()]
        same = {id(other): other for other in used if other.is_same(endpoint)}
        return list((same | {id(endpoint): endpoint}).values())

    def begin(self, job: Job, endpoint: Endpoint) -> WorkInProgress:
        """Add a job to an endpoint's load, with a permit unless it has one."""
        job.expires_s = self.permissions.begin(
            endpoint, has_permit=job.permit is not None
        )
        job.permit = None
        now_s = self.clock.monotonic()
        n_cached = endpoint.cache.count_cached(job.request.prompt_parts)
        n_missing = max(0, job.request.n_prompt_tokens - n_cached)
        work = WorkInProgress(
            endpoint, n_missing, endpoint.count_waiting_tokens(), now_s
        )
        endpoint.n_running += 1
        endpoint.n_waiting_tokens += n_missing
        endpoint.cache.add(shared_parts(job.request.prompt_parts))
        self.in_progress[id(job)] = (job, work)
        return work

    def record_first_event(self, job: Job, endpoint: Endpoint) -> None:
        """Update the prefill timings and the cache at a stream's first event."""
        _, work = self.in_progress.get(id(job), (job, None))
        if work is None or work.is_first_event_seen:
            return
        work.is_first_event_seen = True
        endpoint.n_waiting_tokens -= work.n_waiting_tokens
        now_s = self.clock.monotonic()
        n_tokens = work.n_tokens_ahead + work.n_waiting_tokens
        if n_tokens >= MIN_SAMPLE_TOKENS:
            prefill_s = max(now_s - work.begun_s - FIRST_TOKEN_S, 0.0)
            endpoint.learn_token_time(prefill_s / n_tokens, now_s)
        if n_tokens >= MIN_LONG_PROMPT_TOKENS:
            samples = self.prefill_samples.setdefault(
                job.service, deque(maxlen=MAX_PREFILL_SAMPLES)
            )
            samples.append(prefill_s / n_tokens)
        endpoint.cache.add(job.request.prompt_parts)

    def finish(self, job: Job) -> None:
        """Remove a job from its endpoint's load, if it is still part of it."""
        _, work = self.in_progress.pop(id(job), (job, None))
        if work is None:
            return
        work.endpoint.n_running -= 1
        if not work.is_first_event_seen:
            work.endpoint.n_waiting_tokens -= work.n_waiting_tokens

    def learn_answer_time(self, job: Job, endpoint: Endpoint, elapsed_s: float) -> None:
        """Update the service time from a plain answer."""
        if job.route.kind is not RequestKind.STREAM:
            endpoint.learn_service_time(elapsed_s, self.clock.monotonic())

    def mark_full(self, endpoint: Endpoint) -> None:
        """Avoid an endpoint for a short time after it refused for lack of slots."""
        endpoint.refused_s = self.clock.monotonic()
        endpoint.full_until_s = endpoint.refused_s + FULL_BACKOFF_S

    def record_demand(self, job: Job) -> None:
        """Add the prefill time of a job's prompt, less cached parts, to the demand.

        Called before admission, so that jobs that are refused count as well: they
        need more endpoints.
        """
        parts = job.request.prompt_parts
        n_cached = 0
        for endpoint in self.table.of_service(job.service):
            n_cached = max(n_cached, endpoint.cache.count_cached(parts))
        n_missing = max(0, job.request.n_prompt_tokens - n_cached)
        prefill_s = n_missing * self._unloaded_token_s(job.service)
        self.demand.record_arrival(job.service, prefill_s)
        if is_long(prefill_s, self._max_pause_s(job)):
            self.demand.record_long_prompt(job.service, prefill_s)
            job.is_long = True

    def _unloaded_token_s(self, service: str) -> float:
        """Return the prefill time per token of an otherwise idle engine.

        This is the lower quartile of the samples of long prompts: the others
        contain waits for work of which this instance did not know.
        """
        samples = sorted(self.prefill_samples.get(service, ()))
        if len(samples) < MIN_PREFILL_SAMPLES:
            return DEFAULT_TOKEN_S
        return samples[len(samples) // 4]

    def _usable(self, job: Job) -> list[Endpoint]:
        """Return the eligible endpoints to which a request may be sent now."""
        return [
            endpoint
            for endpoint in self._eligible(job)
            if self.permissions.wait_s(endpoint) == 0
        ]

    def _eligible(self, job: Job) -> list[Endpoint]:
        """Return the ready endpoints that the job may use and was not sent to yet."""
        ready = [
            endpoint
            for endpoint in self.table.of_service(job.service)
            if self.permissions.may_use(endpoint)
        ]
        versions = {endpoint.record.version for endpoint in ready}
        allowed = self.allowed(job.service, versions, job.request.request_id)
        return [
            endpoint
            for endpoint in ready
            if endpoint.record.version in allowed
            and endpoint.name not in job.tried
            and self.connectivity.is_usable(job, endpoint)
        ]

    def _candidates(self, job: Job, endpoints: list[Endpoint]) -> list[Candidate]:
        now_s = self.clock.monotonic()
        parts = job.request.prompt_parts
        warm = [e for e in endpoints if not is_cold(e, now_s)]
        readers = choose_readers(
            [e.name for e in warm or endpoints], self.demand.long_prompts(job.service)
        )
        apart = [
            e for e in warm or endpoints if (e.name in readers.names) == job.is_long
        ]
        preferred = _preferred(parts, apart or warm or endpoints)
        n_shared = sum(n_tokens for _, n_tokens in shared_parts(parts))
        usual = self._usual_times(job, endpoints, now_s)
        candidates = []
        for endpoint in endpoints:
            n_cached = endpoint.cache.count_cached(parts)
            if endpoint.name == preferred:
                n_cached = max(n_cached, n_shared)
            times = self._times_of(endpoint, usual, now_s)
            is_relayed = self.connectivity.is_lost(endpoint)
            avoided_until_s = endpoint.avoided_until_s(is_relayed=is_relayed)
            candidates.append(
                Candidate(
                    name=endpoint.name,
                    n_slots=endpoint.record.n_slots,
                    n_running=endpoint.count_running(),
                    n_waiting_tokens=endpoint.count_waiting_tokens(),
                    n_cached_tokens=n_cached,
                    seconds_per_token=times.token_s,
                    service_s=times.service_s,
                    failure_share=self._failure_share(endpoint, now_s),
                    is_local=not is_relayed
                    and endpoint.record.data_centre == self.data_centre,
                    is_avoided=now_s < avoided_until_s,
                    pause_cost_s=0.0
                    if job.is_long
                    else readers.pause_cost_s(endpoint.name, job.route.objective_s),
                )
            )
        return candidates

    def _max_pause_s(self, job: Job) -> float:
        return self.table.max_pauses_s.get(job.service, math.inf)

    def _work_of(self, job: Job) -> Work:
        return Work(
            n_prompt_tokens=job.request.n_prompt_tokens,
            is_generation=job.route.kind is RequestKind.STREAM,
            may_retry=job.route.is_idempotent or job.route.may_resume,
            interruption_s=job.route.objective_s if job.is_long else 0.0,
        )

    def _usual_times(
        self, job: Job, endpoints: list[Endpoint], now_s: float
    ) -> Typical:
        """Return the times of a typical endpoint: of all instances, or as seen here."""
        shared = self.table.typical.get(job.service, NO_SAMPLES)
        if not self.table.is_assessed(now_s):
            shared = NO_SAMPLES
        default_s = DEFAULT_SERVICE_S
        if job.request.prompt_parts:
            default_s = DEFAULT_GENERATION_S
        token_s = [e.seconds_per_token for e in endpoints if e.seconds_per_token]
        service_s = [e.service_s for e in endpoints if e.service_s]
        return Typical(
            service_s=shared.service_s or _median(service_s, default_s),
            token_s=shared.token_s or _median(token_s, DEFAULT_TOKEN_S),
        )

    def _times_of(self, endpoint: Endpoint, usual: Typical, now_s: float) -> Typical:
        """Return the times of an endpoint, from all instances or as seen here."""
        if self.table.is_assessed(now_s):
            slowdown = endpoint.condition.slowdown if endpoint.condition else 1.0
            return Typical(usual.service_s * slowdown, usual.token_s * slowdown)
        age_s = now_s - endpoint.learned_s
        return Typical(
            service_s=_decay(endpoint.service_s, usual.service_s, age_s),
            token_s=_decay(endpoint.seconds_per_token, usual.token_s, age_s),
        )

    def _failure_share(self, endpoint: Endpoint, now_s: float) -> float:
        """Return the recent failures, here or at all instances if that is more."""
        age_s = now_s - endpoint.failed_s
        seen_here = endpoint.failure_share * math.exp(-age_s / LEARNED_DECAY_S)
        if endpoint.condition is None or not self.table.is_assessed(now_s):
            return seen_here
        return max(seen_here, endpoint.condition.failure_share)


def _preferred(parts: PromptParts, endpoints: list[Endpoint]) -> str | None:
    """Return the endpoint preferred for the last shared prompt part."""
    if not parts:
        return None
    part = shared_parts(parts)[-1][0]
    return prefer_by_part(part, [endpoint.name for endpoint in endpoints])


def _median(samples: list[float], default: float) -> float:
    """Return the median, which is robust against one slow endpoint."""
    if not samples:
        return default
    return sorted(samples)[len(samples) // 2]


def _decay(estimate: float | None, median: float, age_s: float) -> float:
    """Return the estimate, decayed towards the median with its age."""
    if estimate is None:
        return median
    return median + (estimate - median) * math.exp(-age_s / LEARNED_DECAY_S)
