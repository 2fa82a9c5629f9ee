"""What the request path uses, gathered in one place."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.kernel import Application
from lagoonring.serving.demand import Demand
from lagoonring.serving.endpoints import EndpointTable
from lagoonring.serving.exchange import Exchange
from lagoonring.serving.follower import Follower
from lagoonring.serving.metrics import ServingMetrics
from lagoonring.serving.moves import MoveGate
from lagoonring.serving.placer import Placer
from lagoonring.serving.quotas import Quotas
from lagoonring.serving.repeats import RepeatBudget
from lagoonring.serving.requests import Sender
from lagoonring.serving.suspects import Suspects
from lagoonring.serving.usage import UsageCounts
from lagoonring.serving.versions import VersionCounters

if TYPE_CHECKING:
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.requests import Job
    from lagoonring.serving.settings import Bounds

ORGANISATION_RANKS = 3  # ranks of routes within one rank of organisations
URGENCY_LAST = 9


@attrs.define(kw_only=True)
class ServingParts:
    """The parts of one instance that requests pass through."""

    app: Application
    follower: Follower
    table: EndpointTable
    placer: Placer
    sender: Sender
    exchange: Exchange
    quotas: Quotas
    repeats: RepeatBudget
    suspects: Suspects
    usage: UsageCounts
    gate: MoveGate
    counters: VersionCounters
    demand: Demand
    metrics: ServingMetrics

    def apply_bounds(self, bounds: Bounds) -> None:
        """Put bounds in force that can change while the process runs."""
        self.quotas.set_tolerance(
            overshoot=bounds.quota_overshoot, slack=bounds.quota_slack
        )
        self.repeats.ratio = bounds.retry_ratio
        self.repeats.slack = bounds.retry_slack

    def urgency_of(self, job: Job) -> int:
        """Return the urgency at an endpoint, 0 first; organisations go first."""
        urgency = job.route.rank
        if job.organisation is not None and job.organisation.rank is not None:
            urgency += ORGANISATION_RANKS * job.organisation.rank
        return min(max(urgency, 0), URGENCY_LAST)

    def count_started(self, job: Job) -> None:
        """Count a request that an endpoint began to run."""
        if job.organisation is not None:
            self.usage.record_start(job.organisation.name)

    def record_outcome(
        self, job: Job, endpoint: Endpoint, *, ok: bool, latency_s: float | None
    ) -> None:
        """Count an outcome towards the comparison of versions."""
        order = self.follower.orders.get(job.service)
        if order is not None:
            self.counters.note(
                job,
                endpoint.record.version,
                ok=ok,
                latency_s=latency_s,
                share=self.gate.share_of(order),
            )
