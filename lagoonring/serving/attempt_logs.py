"""Fields with which failed attempts are logged."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from lagoonring.endpoints.errors import EndpointError
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.requests import Job

MAX_LOGGED_PARTS = 8  # of a prompt


def describe_failure(
    job: Job, endpoint: Endpoint, error: EndpointError, now_s: float
) -> dict[str, Any]:
    """Return what failed, and what the choice of the endpoint was based on."""
    fields = {
        "request_id": job.request.request_id,
        "endpoint": endpoint.name,
        "kind": error.kind,
        "outcome": error.outcome.value,
        "error": error.message,
        "n_sends": job.n_sends,
        "prompt_parts": job.request.shared_parts()[:MAX_LOGGED_PARTS],
        "has_begun": job.has_begun,
        "sent_ago_s": round(now_s - job.sent_s, 4),
        "sequence": endpoint.record.sequence,
        "limit_per_s": endpoint.limit.limit_per_s,
        "n_refusable": endpoint.limit.n_refusable,
        "pause_left_s": round(max(endpoint.paused_until_s - now_s, 0.0), 3),
        "is_leaving": endpoint.is_leaving,
        "waited_s": round(job.waited_s, 4),
        "relay": job.relay.address if job.relay else None,
    }
    if job.placement is not None:
        fields |= describe_placement(job, now_s)
    return fields


def describe_placement(job: Job, now_s: float) -> dict[str, Any]:
    """Return what the last choice of an endpoint was based on."""
    placement = job.placement
    if placement is None:
        return {}
    return {
        "estimate_s": round(placement.estimate_s, 4),
        "n_running": placement.n_running,
        "n_waiting_tokens": placement.n_waiting_tokens,
        "n_cached_tokens": placement.n_cached_tokens,
        "n_prompt_tokens": job.request.n_prompt_tokens,
        "n_candidates": placement.n_candidates,
        "left_s": round(job.deadline_s - now_s, 3),
    }
