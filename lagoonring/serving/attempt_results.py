"""Records what a failed attempt says of its endpoint, its relay and its prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointCutError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointStoppedError,
    RelayCutError,
    RelayRefusedError,
)
from lagoonring.errors import Outcome
from lagoonring.logs import make_logger
from lagoonring.serving.attempt_logs import describe_failure
from lagoonring.serving.warming import assume_cold

if TYPE_CHECKING:
    from lagoonring.endpoints.errors import EndpointError
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import Job

logger = make_logger("path")


def record_failure(
    parts: ServingParts, job: Job, endpoint: Endpoint, error: EndpointError
) -> None:
    """Update the endpoint's health after a failed attempt, and log it."""
    now_s = parts.app.clock.monotonic()
    n_crashes = 0
    if isinstance(error, RelayRefusedError | RelayCutError):
        _record_relay_failure(parts, job, endpoint, error)
    elif isinstance(error, EndpointConnectError) and job.relay is not None:
        # Either the endpoint is down, or the relay is about to learn of its lost path.
        job.tried_relays.add(job.relay)
    elif isinstance(error, EndpointConnectError):
        endpoint.mark_unreachable(now_s)
        assume_cold(parts.table, endpoint, now_s, source="connection")
        parts.connectivity.record_connect_failure(endpoint)
    elif isinstance(error, EndpointStoppedError):
        parts.count_started(job)
    elif not isinstance(error, EndpointRefusedError | EndpointFailedError):
        endpoint.record_result(ok=False, now_s=now_s)
        parts.count_started(job)
        end_record(job, now_s, ok=False)
        if isinstance(error, EndpointCutError):
            n_crashes = _record_crash(parts, job, endpoint, now_s)
    logger.info(
        "Attempt failed.",
        extra={
            **describe_failure(job, endpoint, error, now_s),
            "n_crashes": n_crashes,
            "loads_age_s": parts.table.loads_age_s(now_s),
        },
    )


def end_record(job: Job, now_s: float, *, ok: bool) -> None:
    """Record the end of an attempt that the endpoint has run."""
    if job.recorder is not None:
        job.recorder.record_end(now_s, ok=ok)
        job.recorder = None


def _record_relay_failure(
    parts: ServingParts, job: Job, endpoint: Endpoint, error: EndpointError
) -> None:
    """Use another relay; nothing is known of the endpoint."""
    if job.relay is not None:
        job.tried_relays.add(job.relay)
        parts.connectivity.record_relay_failure(job.relay, job.service)
    if error.outcome is Outcome.NOT_RUN:
        job.tried.discard(endpoint.name)
    else:
        parts.count_started(job)


def _record_crash(
    parts: ServingParts, job: Job, endpoint: Endpoint, now_s: float
) -> int:
    """Suspect a request, and its prompt, whose endpoint broke off the connection."""
    life = f"{endpoint.name}/{endpoint.record.born_ms}"
    parts.prompt_suspects.record_crash(
        job.request.shared_parts(), life, sent_s=job.sent_s, now_s=now_s
    )
    return parts.suspects.record_crash(job.fingerprint, life, now_s)
