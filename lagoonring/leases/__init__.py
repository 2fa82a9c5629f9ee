"""Leases ordered by a shared log, and duties that one instance runs at a time."""

from __future__ import annotations

from lagoonring.leases.duties import Duty, compete_for_duty, is_among_first, rank
from lagoonring.leases.errors import LeaseLostError
from lagoonring.leases.lease import Lease
from lagoonring.leases.options import LeaseOptions
from lagoonring.leases.stream import GuardedData, LeaseStream

__all__ = [
    "Duty",
    "GuardedData",
    "Lease",
    "LeaseLostError",
    "LeaseOptions",
    "LeaseStream",
    "compete_for_duty",
    "is_among_first",
    "rank",
]
