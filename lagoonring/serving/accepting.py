"""Validates a caller's request and turns it into a job, or refuses it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.requests.errors import MissingKeyError, NotReadyError, WrongKeyError
from lagoonring.serving.errors import (
    CrashingRequestError,
    QuotaExceededError,
    UnknownRouteError,
)
from lagoonring.serving.requests import Job

if TYPE_CHECKING:
    from lagoonring.serving.configuration import (
        Configuration,
        Organisation,
        RouteEntry,
    )
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import CallerRequest

NOT_READY_RETRY_S = 0.3  # an instance reads the store within a few tenths of a second
CRASHING_RETRY_S = 30.0  # useless to retry until the request itself is changed
QUOTA_RETRY_JITTER = 0.5  # share of the wait over which retries are spread


def accept(parts: ServingParts, request: CallerRequest) -> Job:
    """Return the job for a request.

    Raises
    ------
    NotReadyError, UnknownRouteError, MissingKeyError, WrongKeyError,
    QuotaExceededError, CrashingRequestError
        If the request is refused; it was not run.
    """
    configuration = parts.follower.configuration
    if configuration is None:
        raise NotReadyError(
            "Got a request before the configuration, expected one after it.",
            remedy="Send it again; the configuration is being read.",
            retry_after_s=NOT_READY_RETRY_S,
        )
    route = configuration.match(request.host, request.path)
    if route is None:
        raise UnknownRouteError(
            f"Got {request.host[:80]}{request.path[:80]}, expected a route of "
            f"configuration {configuration.version}.",
            remedy="Correct host and path, or ask the operator for a route.",
        )
    organisation = _find_organisation(configuration, route, request)
    fingerprint = request.fingerprint()
    if parts.suspects.is_blocked(fingerprint, parts.app.clock.monotonic()):
        raise CrashingRequestError(
            "Got a request that broke the endpoints that ran it, expected another.",
            remedy="Change the request; it is not run again as it is.",
            retry_after_s=CRASHING_RETRY_S,
        )
    check_prompt(parts, request)
    limit_s = route.timeout_s
    if request.allowed_s is not None:
        limit_s = min(limit_s, request.allowed_s)
    job = Job(
        request=request,
        route=route,
        service=route.choose_service(request.request_id),
        organisation=organisation,
        deadline_s=request.received_s + limit_s,
        fingerprint=fingerprint,
        last_event=request.resume_after,
    )
    _take_quota(parts, job)
    parts.retry_budget.record_request(job.service, parts.app.clock.monotonic())
    return job


def check_prompt(parts: ServingParts, request: CallerRequest) -> None:
    """Raise ``CrashingRequestError`` if a part of the prompt crashes endpoints."""
    now_s = parts.app.clock.monotonic()
    blocked = parts.prompt_suspects.find_blocked(request.shared_parts(), now_s)
    if blocked is not None:
        raise CrashingRequestError(
            f"Got a prompt with part {blocked[:80]}, which broke the endpoints that "
            "answered on it, expected others.",
            remedy="Change that part; requests with it are not run for some minutes.",
            retry_after_s=CRASHING_RETRY_S,
        )


def quota_cost(job: Job) -> float:
    """Return what a job counts towards its organisation's limit."""
    organisation = job.organisation
    if organisation is None or not organisation.counts_tokens:
        return 1.0
    if job.request.counts_tokens:
        return job.request.n_prompt_tokens + job.request.n_output_tokens
    return organisation.n_plain_tokens


def _find_organisation(
    configuration: Configuration, route: RouteEntry, request: CallerRequest
) -> Organisation | None:
    if not configuration.organisations:
        return None
    organisation = configuration.by_key.get(request.key) if request.key else None
    if organisation is not None or route.is_public:
        return organisation
    if request.key is None:
        raise MissingKeyError(
            "Got no key, expected that of an organisation.",
            remedy="Send the key with the request.",
        )
    raise WrongKeyError(
        f"Got a key that configuration {configuration.version} does not have.",
        remedy="Ask the operator for a key in force.",
    )


def _take_quota(parts: ServingParts, job: Job) -> None:
    if job.organisation is None:
        return
    now_s = parts.app.clock.monotonic()
    share = parts.exchange.reachable_share()
    amount = quota_cost(job)
    wait_s = parts.quotas.take(
        job.organisation,
        amount,
        now_s,
        share,
        n_instances=parts.exchange.count_instances(),
        report_delay_s=parts.exchange.report_delay_s(),
    )
    if wait_s is None:
        job.taken = amount
        return
    left_s = job.deadline_s - now_s
    spread_s = wait_s * (1 + QUOTA_RETRY_JITTER * parts.app.rng.random())
    raise QuotaExceededError(
        f"Got a request of {job.organisation.name} for {amount:.0f}, expected "
        f"its limit of {job.organisation.rate_per_s:.0f} a second and a burst of "
        f"{job.organisation.burst:.0f} to have as much left; {share:.0%} of the "
        "instances are heard.",
        remedy="Send it again after the time told, or ask for a higher limit.",
        retry_after_s=max(min(spread_s, left_s / 3), 0.01),
    )
