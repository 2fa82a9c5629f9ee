"""Capacity planning, starts and stops of instances, and reclaim notices."""

from __future__ import annotations

from lagoonring.fleet.options import FleetOptions
from lagoonring.fleet.planner import GoalRange, Need, Offer, Plan, make_plan

__all__ = ["FleetOptions", "GoalRange", "Need", "Offer", "Plan", "make_plan"]
