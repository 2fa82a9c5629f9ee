"""Metrics of the request path, the store follower and singleton duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge, Histogram

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0)
RATIO_BUCKETS = (0.25, 0.5, 0.8, 1.0, 1.25, 2.0, 4.0, 8.0)


class ServingMetrics:
    """Counters, gauges and latency histograms of one instance."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            "lagoonring_serving_requests_total",
            "Requests of callers, by route and outcome.",
            ["route", "outcome"],
            registry=registry,
        )
        self.attempts = Counter(
            "lagoonring_serving_attempts_total",
            "Sends to endpoints, by service and result.",
            ["service", "result"],
            registry=registry,
        )
        self.retries = Counter(
            "lagoonring_serving_retries_total",
            "Repeated sends that the retry budget granted or refused, and streams "
            "that went on elsewhere (moved), by service and result.",
            ["service", "result"],
            registry=registry,
        )
        self.answer_s = Histogram(
            "lagoonring_serving_answer_seconds",
            "Time to the end of an answer, by route.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.first_s = Histogram(
            "lagoonring_serving_first_event_seconds",
            "Time to the first event of a stream, by route.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.estimate_ratio = Histogram(
            "lagoonring_serving_estimate_ratio",
            "First answers of first attempts: time over its estimate, by service.",
            ["service"],
            buckets=RATIO_BUCKETS,
            registry=registry,
        )
        self.in_progress = Gauge(
            "lagoonring_serving_in_progress",
            "Requests of callers in progress.",
            registry=registry,
        )
        self.configuration_version = Gauge(
            "lagoonring_serving_configuration_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self.faulty_documents = Counter(
            "lagoonring_serving_faulty_documents_total",
            "Documents and records that could not be read, by sort.",
            ["sort"],
            registry=registry,
        )
        self.instances_heard = Gauge(
            "lagoonring_serving_instances_heard",
            "Instances heard lately, this one included.",
            registry=registry,
        )
        self.service_reached = Gauge(
            "lagoonring_serving_service_reached",
            "Whether this instance can connect to a service: 0 while others relay.",
            ["service"],
            registry=registry,
        )
        self.relayed = Counter(
            "lagoonring_serving_relayed_total",
            "Requests passed on to endpoints for other instances, by result.",
            ["result"],
            registry=registry,
        )
        self.blocked_parts = Gauge(
            "lagoonring_serving_blocked_prompt_parts",
            "Parts of prompts that crash endpoints; requests with them are refused.",
            registry=registry,
        )
        self.connections_closed = Counter(
            "lagoonring_serving_connections_closed_total",
            "Connections of callers closed by this instance, by reason.",
            ["reason"],
            registry=registry,
        )
        self.duty_calls = Counter(
            "lagoonring_serving_duty_calls_total",
            "Calls of singleton duties, by duty and result.",
            ["duty", "result"],
            registry=registry,
        )

    def record_service_reached(self, service: str, is_reached: bool) -> None:
        """Show whether a service is reached."""
        self.service_reached.labels(service).set(is_reached)
