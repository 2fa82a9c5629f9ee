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
        Time between two looks of the holder at cloud, prices and demand.
    notice_poll_s : float
        Time between two reads of the cloud's notices.
    target_load : float
        Share of slots that may be busy at the forecast demand.
    horizon_s : float
        How far ahead demand is forecast: the time that a start takes.
    wave_load : float
        The same after one data centre has lost its reclaimable instances.
    drain_s : float
        Longest time that a planned stop waits for an endpoint to be idle.
    backoff_s, backoff_limit_s : float
        First and longest time for which a refused market is avoided.
    cancel_margin : float
        Share by which demand must be lower before anything is stopped.
    switch_margin : float
        Share by which another offer must be cheaper than one in use.
    settle_s : float
        Time for which instances must be too many before one is stopped.
    note_s : float
        Time between two notes of the demand to the other data centres.
    n_slots : int
        Slots assumed of an instance class that runs nowhere yet.
    n_starts : int
        Most starts in one step.
    n_readers : int
        Instances per data centre that read notices.
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
