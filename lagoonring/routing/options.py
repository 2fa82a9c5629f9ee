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
    """Options for choosing, watching and ejecting endpoints.

    Parameters
    ----------
    policy : str
        Name of a function of :mod:`lagoonring.routing.policies`.
    crossing_s : float
        Cost of a request to another data centre, in seconds of waiting.
    load_bound : float
        An endpoint without a free slot whose load exceeds this multiple of the
        mean load by more than 1 is not used as a conversation's home.
    home_trust : float
        Share of a prompt assumed to be cached at the conversation's home.
    n_remote_most : int
        Maximum number of endpoints in other data centres that a decision
        considers.
    n_blocks_known : int
        Maximum number of prompt blocks in the index of cached blocks.
    report_age_most_s : float
        Maximum age of a load report; older ones are discarded.
    n_failures : int
        Consecutive failures after which an endpoint is ejected.
    ejection_s, ejection_most_s : float
        First and maximum duration of an ejection.
    ramp_s : float
        Time in which a returning endpoint ramps up to its full share.
    outlier_factor : float
        Multiple of the other endpoints' median latency or failure share above
        which an endpoint is ejected.
    n_watchers : int
        Number of instances in its data centre that watch an endpoint.
    poll_s : float
        Interval at which a watcher reads an endpoint's load report.
    cache_poll_s : float
        Interval at which a watcher reads an engine's cache events.
    row_bytes_per_s : float
        Budget for the load rows that an instance receives, in bytes per second.
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
