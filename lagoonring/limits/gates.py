"""The limits of one organisation, class or entry, as they hold here."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.catalogue import Limits
from lagoonring.limits.buckets import Bucket

if TYPE_CHECKING:
    from lagoonring.limits.share_tracker import ShareTracker

BUSY_RETRY_AFTER_S = 1.0
REQUEST_BURST_LEAST = 1.0
TOKEN_LEVEL_LEAST = 1.0


@attrs.define(eq=False)
class Gate:
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


def update_gate(
    gate: Gate, limits: Limits, tracker: ShareTracker, burst_s: float, now_s: float
) -> None:
    """Set a gate's rates from its limits and this instance's share of them."""
    gate.limits = limits
    share = tracker.share(gate.scope)
    gate.requests = _updated(
        gate.requests, limits.requests_per_s, share, burst_s, now_s
    )
    gate.tokens = _updated(gate.tokens, limits.tokens_per_s, share, burst_s, now_s)
    gate.n_concurrent = None
    if limits.n_concurrent is not None:
        gate.n_concurrent = tracker.count(gate.scope, limits.n_concurrent)


def find_obstacle(gate: Gate, now_s: float) -> Obstacle | None:
    """Return the limit that stands in a request's way, if any."""
    if gate.n_concurrent is not None and gate.n_running >= gate.n_concurrent:
        return Obstacle(gate.scope, "n_concurrent", BUSY_RETRY_AFTER_S)
    if gate.requests is not None:
        wait_s = gate.requests.wait_s(1.0, now_s)
        if wait_s > 0:
            return Obstacle(gate.scope, "requests_per_s", wait_s)
    if gate.tokens is not None:
        wait_s = gate.tokens.wait_s(TOKEN_LEVEL_LEAST, now_s)
        if wait_s > 0:
            return Obstacle(gate.scope, "tokens_per_s", wait_s)
    return None


def enter(gate: Gate, n_tokens: float) -> None:
    """Count a request in, with the tokens that it is expected to use."""
    gate.n_running += 1
    if gate.requests is not None:
        gate.requests.take(1.0)
    if gate.tokens is not None:
        gate.tokens.take(n_tokens)


def leave(gate: Gate, n_tokens_expected: float, n_tokens: float) -> None:
    """Count a finished request out and settle the tokens that it used."""
    gate.n_running = max(0, gate.n_running - 1)
    if gate.tokens is not None:
        gate.tokens.take(n_tokens - n_tokens_expected)


def turn_back(gate: Gate, n_tokens_expected: float) -> None:
    """Undo :func:`enter` for a request that was not run."""
    leave(gate, n_tokens_expected, 0.0)
    if gate.requests is not None:
        gate.requests.take(-1.0)


def _updated(
    bucket: Bucket | None,
    limit: float | None,
    share: float,
    burst_s: float,
    now_s: float,
) -> Bucket | None:
    if limit is None:
        return None
    rate = limit * share
    burst = max(REQUEST_BURST_LEAST, rate * burst_s) if limit > 0 else 0.0
    if bucket is None:
        level = min(burst, max(REQUEST_BURST_LEAST, rate))
        return Bucket(rate, burst, level, now_s)
    bucket.set_rate(rate, burst, now_s)
    return bucket
