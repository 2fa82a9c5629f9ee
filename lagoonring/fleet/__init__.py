"""Fleet: capacity planning, starts and stops, notices of reclaims."""

from __future__ import annotations

from lagoonring.fleet.options import FleetOptions
from lagoonring.fleet.planner import GoalRange, Need, Offer, Plan, make_plan

__all__ = ["FleetOptions", "GoalRange", "Need", "Offer", "Plan", "make_plan"]
