"""Options of admission control and fair queueing."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between


@attrs.frozen(kw_only=True)
class LimitsOptions:
    """How limits are split among instances and how requests are queued.

    Parameters
    ----------
    n_waiting_most : int
        Maximum number of queued requests per entry in this instance.
    burst_s : float
        Burst size of a rate limit, in seconds of its rate.
    floor_share : float
        Part of each limit that is split evenly rather than by demand, so that an
        instance has a share at once when its first requests arrive.
    slots_floor_share : float
        The same for the concurrency slots of endpoints.
    refresh_s : float
        Interval at which shares are recomputed from the peers' demand.
    grow_delay_s : float
        Delay before a share grows, so that the shares of other instances shrink
        first.
    hold_s : float
        Time for which shares are frozen when instances become unreachable; after
        that each unreachable instance keeps an even share.
    n_instances_expected : int
        Size of the fleet that is assumed until that many instances are known.
    sweep_s : float
        Interval at which the deadlines of queued requests are checked.
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
