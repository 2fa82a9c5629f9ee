"""Components that the request path uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.kernel import Application
from lagoonring.serving.buffers import BufferPool
from lagoonring.serving.connectivity import Connectivity
from lagoonring.serving.copies import Copies
from lagoonring.serving.demand import Demand
from lagoonring.serving.endpoints import EndpointTable
from lagoonring.serving.evacuation import Engines
from lagoonring.serving.exchange import Exchange
from lagoonring.serving.follower import Follower
from lagoonring.serving.metrics import ServingMetrics
from lagoonring.serving.moves import MoveGate
from lagoonring.serving.placer import Placer
from lagoonring.serving.prompt_suspects import PromptSuspects
from lagoonring.serving.quotas import Quotas
from lagoonring.serving.requests import Sender
from lagoonring.serving.retry_budget import RetryBudget
from lagoonring.serving.suspects import Suspects
from lagoonring.serving.usage import UsageCounts
from lagoonring.serving.version_results import VersionCounters

if TYPE_CHECKING:
    from lagoonring.serving.requests import Job
    from lagoonring.serving.settings import Bounds

ROUTE_RANKS = 3  # route ranks per organisation rank
MAX_URGENCY = 9


@attrs.define(kw_only=True)
class ServingParts:
    """The components of one instance that handle requests."""

    app: Application
    follower: Follower
    table: EndpointTable
    placer: Placer
    connectivity: Connectivity
    sender: Sender
    exchange: Exchange
    quotas: Quotas
    retry_budget: RetryBudget
    buffers: BufferPool
    suspects: Suspects
    prompt_suspects: PromptSuspects
    usage: UsageCounts
    gate: MoveGate
    counters: VersionCounters
    demand: Demand
    metrics: ServingMetrics
    engines: Engines | None = None
    copies: Copies | None = None

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply the bounds that can change without a restart."""
        self.quotas.set_tolerance(
            overshoot=bounds.quota_overshoot, slack=bounds.quota_slack
        )
        self.follower.apply_bounds(bounds)
        self.retry_budget.ratio = bounds.retry_ratio
        self.retry_budget.slack = bounds.retry_slack

    def urgency_of(self, job: Job) -> int:
        """Return the urgency, 0 the highest, by organisation rank, then route rank."""
        urgency = job.route.rank
        if job.organisation is not None and job.organisation.rank is not None:
            urgency += ROUTE_RANKS * job.organisation.rank
        return min(max(urgency, 0), MAX_URGENCY)

    def count_started(self, job: Job) -> None:
        """Count a request that an endpoint started, at most once."""
        if job.is_counted:
            return
        job.is_counted = True
        if job.organisation is not None:
            self.usage.record_start(job.organisation.name)
