"""Options of version moves."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between

SHARE_LIMIT = 0.05


@attrs.frozen(kw_only=True)
class JudgeOptions:
    """Options of the comparison of a new version with the old one.

    ``false_alarm`` bounds the probability that one instance condemns a version
    whose odds of a bad result are at most ``failure_odds`` (``latency_odds``)
    times those of the old version.
    """

    false_alarm: float = attrs.field(default=0.005, validator=between(1e-9, 0.5))
    failure_odds: float = attrs.field(default=1.5, validator=between(1, 100))
    latency_odds: float = attrs.field(default=2.0, validator=between(1, 100))
    n_routes: int = attrs.field(default=8, validator=between(1, 1000))
    n_reference: int = attrs.field(default=50, validator=between(1, 100_000))


@attrs.frozen(kw_only=True)
class MovesOptions:
    """Options of the moves service and of the duty that carries moves on.

    Attributes
    ----------
    trial_share : float
        Share of requests on the new version during the trial.
    exposure : float
        Largest share of all requests since the start of the trial that the new
        version may have had at any time before the move is decided.
    ramp : tuple of float
        Shares that follow the trial, ascending.
    trial_s : float
        Longest trial, in seconds; a near deadline shortens it.
    n_trial : int
        Results of the new version before which the trial goes on for longer
        than ``trial_s``, as far as the deadline allows.
    order_s : float
        Longest time an order takes to reach an endpoint, and so the time to
        wait out after a take-over when endpoints ignore fencing numbers.
    undo_s : float
        Seconds reserved before the deadline for an undo.
    slack_s : float
        Seconds of a trial's time that are left for a change of holder, at most
        a fifth of the time to the deadline.
    drain_s : float
        Time for requests in progress on the version given up, before endpoints
        unload it.
    clean_limit_s : float
        Time after which endpoints that don't answer are given up on.
    check_s : float
        Time between two looks at what an endpoint has loaded.
    n_loads : int
        Endpoints that load at a time, for the weight store's sake.
    tick_s, publish_s : float
        Time between two steps of the holder, and the least time between two
        tellings of counts.
    counts_bytes_per_s : float
        Rate of the counts of all instances together, by which they are told
        less often the more instances there are.
    cut_window_s : float
        Cuts of one endpoint within this time count as one.
    n_stable_reads : int
        Equal reads of an endpoint's state in a row before it is relied on.
    """

    trial_share: float = attrs.field(default=0.02, validator=between(0, SHARE_LIMIT))
    exposure: float = attrs.field(default=0.05, validator=between(0.001, 1))
    ramp: tuple[float, ...] = (0.05, 0.1, 0.2, 0.5)
    trial_s: float = attrs.field(default=900.0, validator=between(1, 1e6))
    n_trial: int = attrs.field(default=500, validator=between(0, 1_000_000_000))
    order_s: float = attrs.field(default=3.0, validator=between(0, 600))
    undo_s: float = attrs.field(default=15.0, validator=between(0, 1e5))
    slack_s: float = attrs.field(default=30.0, validator=between(0, 1e5))
    drain_s: float = attrs.field(default=60.0, validator=between(0, 1e5))
    clean_limit_s: float = attrs.field(default=120.0, validator=between(0, 1e5))
    check_s: float = attrs.field(default=3.0, validator=between(0.01, 600))
    n_loads: int = attrs.field(default=4, validator=between(1, 10_000))
    tick_s: float = attrs.field(default=0.5, validator=between(0.01, 60))
    publish_s: float = attrs.field(default=1.0, validator=between(0.05, 60))
    counts_bytes_per_s: float = attrs.field(default=1000.0, validator=between(10, 1e9))
    cut_window_s: float = attrs.field(default=2.0, validator=between(0, 600))
    n_stable_reads: int = attrs.field(default=2, validator=between(1, 100))
    judge: JudgeOptions = attrs.field(factory=JudgeOptions)
