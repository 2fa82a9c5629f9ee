"""Options of the fleet service."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between


@attrs.frozen(kw_only=True)
class FleetOptions:
    """Options of capacity planning and of starting and stopping instances.

    Attributes
    ----------
    tick_s : float
        Interval at which the lease holder reads cloud, prices and demand.
    notice_poll_s : float
        Interval at which the cloud's reclaim notices are read.
    target_load : float
        Maximum share of busy slots at the forecast demand.
    horizon_s : float
        Forecast horizon of the demand: the time that an instance takes to start.
    wave_load : float
        Maximum share of busy slots after one data centre has lost all its
        reclaimable instances.
    drain_s : float
        Maximum time for which a planned stop waits for an endpoint to be idle.
    backoff_s, backoff_limit_s : float
        Initial and maximum time for which a market is avoided after a refused start.
    cancel_margin : float
        Share by which demand must fall before instances are stopped.
    switch_margin : float
        Share by which another offer must be cheaper than one in use.
    settle_s : float
        Time for which the plan must be met, and demand stay lower, before a stop.
    note_s : float
        Interval of demand reports to the other data centres.
    n_slots : int
        Slots assumed for an instance class without a running instance.
    n_starts : int
        Maximum number of instances that one step plans to start or to drain.
    n_readers : int
        Number of instances per data centre that read notices.
    """

    tick_s: float = attrs.field(default=10.0, validator=between(0.05, 600))
    notice_poll_s: float = attrs.field(default=0.5, validator=between(0.05, 60))
    target_load: float = attrs.field(default=0.7, validator=between(0.05, 1))
    horizon_s: float = attrs.field(default=120.0, validator=between(0, 86_400))
    drain_s: float = attrs.field(default=120.0, validator=between(0, 86_400))
    backoff_s: float = attrs.field(default=10.0, validator=between(0.1, 3600))
    backoff_limit_s: float = attrs.field(default=600.0, validator=between(1, 86_400))
    cancel_margin: float = attrs.field(default=0.1, validator=between(0, 1))
    switch_margin: float = attrs.field(default=0.1, validator=between(0, 1))
    wave_load: float = attrs.field(default=0.9, validator=between(0.05, 1))
    settle_s: float = attrs.field(default=60.0, validator=between(0, 86_400))
    note_s: float = attrs.field(default=60.0, validator=between(0.1, 86_400))
    n_slots: int = attrs.field(default=8, validator=between(1, 100_000))
    n_starts: int = attrs.field(default=20, validator=between(1, 10_000))
    n_readers: int = attrs.field(default=2, validator=between(1, 100))
