"""Charges the sends of a request after its first one to the retry budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import Job

MAX_RETRY_AGE_S = 0.1  # from its decision; far below the retry budget's window

logger = make_logger("path")


def take_retry(parts: ServingParts, job: Job) -> bool:
    """Take one retry from the shared budget; return False if none is left."""
    budget, part = parts.retry_budget, parts.exchange.part()
    now_s = parts.app.clock.monotonic()
    is_granted = budget.take(job.service, now_s, part)
    job.retry_taken_s = now_s if is_granted else None
    result = "granted" if is_granted else "refused"
    parts.metrics.retries.labels(job.service, result).inc()
    logger.info(
        "Retry {}.",
        result,
        extra={
            "request_id": job.request.request_id,
            "service": job.service,
            "n_sends": job.n_sends,
            **budget.describe(job.service, now_s, part),
        },
    )
    return is_granted


def release_retry(parts: ServingParts, job: Job) -> None:
    """Return a retry that was taken and is not sent."""
    if job.retry_taken_s is not None:
        parts.retry_budget.release(job.service, job.retry_taken_s)
        job.retry_taken_s = None


def renew_retry(parts: ServingParts, job: Job) -> bool:
    """Take a retry anew that is sent later; return False if none is left now.

    The budget bounds arrivals. Retries that wait for the same endpoint would arrive
    together, whenever they were taken.
    """
    taken_s, now_s = job.retry_taken_s, parts.app.clock.monotonic()
    if taken_s is None or now_s - taken_s < MAX_RETRY_AGE_S:
        return True
    parts.retry_budget.release(job.service, taken_s)
    return take_retry(parts, job)
