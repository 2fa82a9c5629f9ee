"""Metrics of the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge, Histogram

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 10)


class RequestMetrics:
    """Prometheus metrics of the request path."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            "lagoonring_requests",
            "Requests answered, by entry and outcome code.",
            ["entry", "code"],
            registry=registry,
        )
        self.tokens = Counter(
            "lagoonring_tokens", "Tokens relayed.", ["entry"], registry=registry
        )
        self.tokens_recomputed = Counter(
            "lagoonring_tokens_recomputed",
            "Tokens that another endpoint had to compute again.",
            registry=registry,
        )
        self.kv_moved = Counter(
            "lagoonring_kv_moved",
            "Streams whose KV cache was moved.",
            registry=registry,
        )
        self.handed_over = Counter(
            "lagoonring_handed_over",
            "Streams handed to another instance.",
            registry=registry,
        )
        self.adopted = Counter(
            "lagoonring_adopted",
            "Streams taken over from another instance.",
            registry=registry,
        )
        self.attempts_failed = Counter(
            "lagoonring_attempts_failed",
            "Attempts at endpoints that failed, by kind.",
            ["kind"],
            registry=registry,
        )
        self.streams = Gauge(
            "lagoonring_streams", "Streams in progress.", registry=registry
        )
        self.first_token = Histogram(
            "lagoonring_first_token_seconds",
            "Time to the first token.",
            ["entry"],
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=registry,
        )
