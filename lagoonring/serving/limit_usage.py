"""Usage of an organisation's limit, as one instance knows it; pure data."""

from __future__ import annotations

from collections.abc import Hashable

import attrs

from lagoonring.serving.configuration import Organisation
from lagoonring.serving.limit_parts import LimitPart
from lagoonring.serving.window_sums import WindowSum


@attrs.define
class PeerUsage:
    """Usage reported by one process of a peer: its total, and the window's amounts."""

    life: int
    total: float
    window: WindowSum


@attrs.define
class Usage:
    """Usage of one organisation, as known to this instance.

    ``everywhere`` covers all instances, ``here`` this one, and ``local`` the other
    instances of its data centre. ``recent`` is the usage of all instances
    during the delay of reports, and ``part`` what this instance may admit of a limit
    that is short. ``first_reported`` sums up the first reports of the others, which
    cover the window before. ``carried_over`` is usage that ``everywhere`` already
    contains from a previous source, and that its successor will report again.
    ``organisation`` and ``share`` are those of the last request here, ``granted`` is
    what the burst bucket got for the start of the known instances.
    """

    everywhere: WindowSum
    here: WindowSum
    local: WindowSum
    recent: WindowSum
    part: LimitPart
    refilled_s: float
    burst_level: float = 0.0
    pace_level: float = 0.0
    total_here: float = 0.0
    total_local: float = 0.0
    total_everywhere: float = 0.0
    organisation: Organisation | None = None
    share: float = 1.0
    granted: float = 0.0
    first_reported: float = 0.0
    carried_over: float = 0.0
    carry_over_until_s: float = 0.0
    peers: dict[Hashable, PeerUsage] = attrs.field(factory=dict)

    def consume(self, amount: float) -> None:
        """Take tokens from the burst bucket, and the remainder from the second one."""
        from_burst = min(amount, max(self.burst_level, 0.0))
        self.burst_level -= from_burst
        self.pace_level -= amount - from_burst
