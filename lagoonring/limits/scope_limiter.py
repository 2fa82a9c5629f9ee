"""The limits of one organisation, class or entry, as they hold here."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.catalogue import Limits
from lagoonring.limits.buckets import Bucket

if TYPE_CHECKING:
    from lagoonring.limits.share_tracker import ShareTracker

CONCURRENCY_RETRY_AFTER_S = 1.0
MIN_REQUEST_BURST = 1.0
MIN_TOKEN_LEVEL = 1.0


@attrs.define(eq=False)
class ScopeLimiter:
    """Buckets and count of a scope; None where there is no limit."""

    scope: str
    limits: Limits
    requests: Bucket | None = None
    tokens: Bucket | None = None
    n_concurrent: int | None = None
    n_running: int = 0


@attrs.frozen
class Obstacle:
    """The limit that is used up and when there is room again, in seconds."""

    scope: str
    limit: str
    retry_after_s: float


def update_limiter(
    limiter: ScopeLimiter,
    limits: Limits,
    tracker: ShareTracker,
    burst_s: float,
    now_s: float,
) -> None:
    """Apply new limits, scaled by this instance's share of them."""
    limiter.limits = limits
    share = tracker.share(limiter.scope)
    limiter.requests = _updated_bucket(
        limiter.requests, limits.requests_per_s, share, burst_s, now_s
    )
    limiter.tokens = _updated_bucket(
        limiter.tokens, limits.tokens_per_s, share, burst_s, now_s
    )
    limiter.n_concurrent = None
    if limits.n_concurrent is not None:
        limiter.n_concurrent = tracker.count(limiter.scope, limits.n_concurrent)


def find_obstacle(limiter: ScopeLimiter, now_s: float) -> Obstacle | None:
    """Return the first limit that blocks a new request, or None."""
    if limiter.n_concurrent is not None and limiter.n_running >= limiter.n_concurrent:
        return Obstacle(limiter.scope, "n_concurrent", CONCURRENCY_RETRY_AFTER_S)
    if limiter.requests is not None:
        wait_s = limiter.requests.wait_s(1.0, now_s)
        if wait_s > 0:
            return Obstacle(limiter.scope, "requests_per_s", wait_s)
    if limiter.tokens is not None:
        wait_s = limiter.tokens.wait_s(MIN_TOKEN_LEVEL, now_s)
        if wait_s > 0:
            return Obstacle(limiter.scope, "tokens_per_s", wait_s)
    return None


def reserve(limiter: ScopeLimiter, n_tokens: float) -> None:
    """Count a request as running and take the tokens that it is expected to use."""
    limiter.n_running += 1
    if limiter.requests is not None:
        limiter.requests.take(1.0)
    if limiter.tokens is not None:
        limiter.tokens.take(n_tokens)


def settle(limiter: ScopeLimiter, n_tokens_expected: float, n_tokens: float) -> None:
    """Count a request as finished; correct its expected tokens to those used."""
    limiter.n_running = max(0, limiter.n_running - 1)
    if limiter.tokens is not None:
        limiter.tokens.take(n_tokens - n_tokens_expected)


def cancel_reservation(limiter: ScopeLimiter, n_tokens_expected: float) -> None:
    """Undo :func:`reserve` for a request that was not run."""
    settle(limiter, n_tokens_expected, 0.0)
    if limiter.requests is not None:
        limiter.requests.take(-1.0)


def _updated_bucket(
    bucket: Bucket | None,
    limit: float | None,
    share: float,
    burst_s: float,
    now_s: float,
) -> Bucket | None:
    if limit is None:
        return None
    rate = limit * share
    burst = max(MIN_REQUEST_BURST, rate * burst_s) if limit > 0 else 0.0
    if bucket is None:
        level = min(burst, max(MIN_REQUEST_BURST, rate))
        return Bucket(rate, burst, level, now_s)
    bucket.set_rate(rate, burst, now_s)
    return bucket
