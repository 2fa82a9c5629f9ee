"""Components that the request path uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.kernel import Application
from lagoonring.serving.connectivity import Connectivity
from lagoonring.serving.demand import Demand
from lagoonring.serving.endpoints import EndpointTable
from lagoonring.serving.exchange import Exchange
from lagoonring.serving.follower import Follower
from lagoonring.serving.metrics import ServingMetrics
from lagoonring.serving.moves import MoveGate
from lagoonring.serving.placer import Placer
from lagoonring.serving.prompt_suspects import PromptSuspects
from lagoonring.serving.quotas import Quotas
from lagoonring.serving.requests import Sender
from lagoonring.serving.retry_budget import RetryBudget
from lagoonring.serving.room import Room
from lagoonring.serving.suspects import Suspects
from lagoonring.serving.turns import Turns
from lagoonring.serving.usage import UsageCounts
from lagoonring.serving.version_results import VersionCounters

if TYPE_CHECKING:
    from lagoonring.serving.requests import Job
    from lagoonring.serving.settings import Bounds


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
    suspects: Suspects
    prompt_suspects: PromptSuspects
    usage: UsageCounts
    gate: MoveGate
    counters: VersionCounters
    demand: Demand
    metrics: ServingMetrics
    room: Room = attrs.field(init=False)
    turns: Turns = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.room = Room(self.app.clock)
        self.placer.record_sent = self.room.record_sent
        self.turns = Turns(
            self.placer,
            self.follower,
            self.quotas,
            self.room,
            self.exchange,
            self.app.clock,
            self.metrics,
        )

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply the bounds that can change without a restart."""
        self.quotas.set_tolerance(
            overshoot=bounds.quota_overshoot, slack=bounds.quota_slack
        )
        self.retry_budget.ratio = bounds.retry_ratio
        self.retry_budget.slack = bounds.retry_slack

    def count_started(self, job: Job) -> None:
        """Count a request that an endpoint started, at most once."""
        if job.is_counted:
            return
        job.is_counted = True
        if job.organisation is not None:
            self.usage.record_start(job.organisation.name)
