"""Options of limits and the fair queue."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between


@attrs.frozen(kw_only=True)
class LimitsOptions:
    """How limits are split among instances and how requests wait.

    Parameters
    ----------
    n_waiting_most : int
        Requests that may wait per entry in this instance.
    burst_s : float
        Seconds of a rate that can be saved up.
    floor_share : float
        Part of each limit that is split evenly, so that an instance whose
        demand begins gets something at once.
    slots_floor_share : float
        The same for the endpoints' places.
    refresh_s : float
        Time between two looks at the peers' demand.
    grow_delay_s : float
        A share grows only after it was due for this long, so that the others'
        shares shrink first.
    hold_s : float
        How long shares stay as they are when instances are cut off; then each
        of those is left an even share.
    n_instances_expected : int
        Size of the fleet assumed until the peers are known.
    sweep_s : float
        Time between two checks of the waiting requests' deadlines.
    """

    n_waiting_most: int = attrs.field(default=256, validator=between(0, 100_000))
    burst_s: float = attrs.field(default=2.0, validator=between(0.1, 600))
    floor_share: float = attrs.field(default=0.2, validator=between(0, 1))
    slots_floor_share: float = attrs.field(default=0.5, validator=between(0, 1))
    refresh_s: float = attrs.field(default=1.0, validator=between(0.05, 60))
    grow_delay_s: float = attrs.field(default=6.0, validator=between(0, 60))
    hold_s: float = attrs.field(default=30.0, validator=between(0, 3600))
    n_instances_expected: int = attrs.field(default=1, validator=between(1, 100_000))
    sweep_s: float = attrs.field(default=0.05, validator=between(0.01, 10))
