"""Options of routing."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between, one_of

POLICY_NAMES = (
    "affinity_load",
    "affinity_only",
    "least_outstanding",
    "round_robin",
)


@attrs.frozen(kw_only=True)
class RoutingOptions:
    """How endpoints are chosen, watched, ejected and taken back.

    Parameters
    ----------
    policy : str
        Name of a function of :mod:`lagoonring.routing.policies`.
    crossing_s : float
        What a request to another data centre costs, in seconds of waiting.
    load_bound : float
        An endpoint with more than this multiple of the mean load is no home.
    home_trust : float
        Share of a prompt that a conversation's home is trusted to have cached.
    n_remote_most : int
        Endpoints of other data centres looked at in one decision.
    n_blocks_known : int
        Bound of what is remembered of caches.
    report_age_most_s : float
        Older load reports are not used.
    n_failures : int
        Consecutive failures that eject an endpoint.
    ejection_s, ejection_most_s : float
        First and longest time out.
    ramp_s : float
        Time over which a returned endpoint gets its full share.
    outlier_factor : float
        Multiple of the others' latency or failure share that ejects.
    n_watchers : int
        Instances of its data centre that watch an endpoint.
    poll_s : float
        Time between two load reports read by a watcher.
    cache_poll_s : float
        Time between two reads of an engine's cache events by a watcher.
    row_bytes_per_s : float
        Budget for load rows that an instance receives, in bytes per second.
    """

    policy: str = attrs.field(default="affinity_load", validator=one_of(POLICY_NAMES))
    crossing_s: float = attrs.field(default=0.05, validator=between(0, 60))
    load_bound: float = attrs.field(default=1.25, validator=between(1, 100))
    home_trust: float = attrs.field(default=1.0, validator=between(0, 1))
    n_remote_most: int = attrs.field(default=16, validator=between(1, 1000))
    n_blocks_known: int = attrs.field(default=32_768, validator=between(0, 1 << 24))
    report_age_most_s: float = attrs.field(default=10.0, validator=between(0.1, 600))
    n_failures: int = attrs.field(default=3, validator=between(1, 100))
    ejection_s: float = attrs.field(default=2.0, validator=between(0.01, 600))
    ejection_most_s: float = attrs.field(default=60.0, validator=between(0.01, 3600))
    ramp_s: float = attrs.field(default=10.0, validator=between(0, 600))
    outlier_factor: float = attrs.field(default=3.0, validator=between(1.1, 100))
    n_watchers: int = attrs.field(default=2, validator=between(1, 10))
    poll_s: float = attrs.field(default=1.0, validator=between(0.01, 60))
    cache_poll_s: float = attrs.field(default=2.0, validator=between(0.01, 60))
    row_bytes_per_s: float = attrs.field(default=2_000.0, validator=between(1, 1e9))
