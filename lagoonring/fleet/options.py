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
    most_reclaimable : float
        Largest share of reclaimable slots in an entry's capacity.
    drain_s : float
        Longest time that a planned stop waits for an endpoint to be idle.
    backoff_s, backoff_limit_s : float
        First and longest time for which a refused market is avoided.
    cancel_margin : float
        Share of capacity beyond the plan before anything is stopped.
    n_readers : int
        Instances per data centre that read notices.
    """

    tick_s: float = attrs.field(default=5.0, validator=between(0.05, 600))
    notice_poll_s: float = attrs.field(default=0.5, validator=between(0.05, 60))
    target_load: float = attrs.field(default=0.7, validator=between(0.05, 1))
    horizon_s: float = attrs.field(default=120.0, validator=between(0, 86_400))
    most_reclaimable: float = attrs.field(default=1.0, validator=between(0, 1))
    drain_s: float = attrs.field(default=120.0, validator=between(0, 86_400))
    backoff_s: float = attrs.field(default=10.0, validator=between(0.1, 3600))
    backoff_limit_s: float = attrs.field(default=600.0, validator=between(1, 86_400))
    cancel_margin: float = attrs.field(default=0.1, validator=between(0, 1))
    n_readers: int = attrs.field(default=2, validator=between(1, 100))
