"""Metrics of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from lagoonring.fleet.planner import Plan


class FleetMetrics:
    """Gauges of instances by state and of slots missing in the plans.

    They show what the lease holder sees.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.instances = Gauge(
            "lagoonring_fleet_instances",
            "Instances of this data centre by goal, market and state.",
            ["goal", "market", "state"],
            registry=registry,
        )
        self.missing = Gauge(
            "lagoonring_fleet_missing_slots",
            "Slots that the plan for an entry lacks, over all data centres.",
            ["entry"],
            registry=registry,
        )

    def record_plans(self, plans: dict[str, Plan]) -> None:
        """Set the missing slots of each plan."""
        for entry, plan in plans.items():
            self.missing.labels(entry).set(plan.n_missing_slots)

    def record_instances(self, counts: dict[tuple[str, str, str], int]) -> None:
        """Replace the counts of instances by goal, market and state."""
        self.instances.clear()
        for (goal, market, state), count in counts.items():
            self.instances.labels(goal, market, state).set(count)
