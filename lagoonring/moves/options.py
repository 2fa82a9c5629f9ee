"""Options of version moves."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between

MAX_TRIAL_SHARE = 0.05


@attrs.frozen(kw_only=True)
class JudgeOptions:
    """Options of the comparison of a new version with the old one.

    ``false_alarm`` bounds the probability that one instance rejects a version whose
    odds of a bad result are at most ``failure_odds`` (``latency_odds``) times those
    of the old version.
    """

    false_alarm: float = attrs.field(default=0.005, validator=between(1e-9, 0.5))
    failure_odds: float = attrs.field(default=1.5, validator=between(1, 100))
    latency_odds: float = attrs.field(default=2.0, validator=between(1, 100))
    n_routes: int = attrs.field(default=8, validator=between(1, 1000))
    n_reference: int = attrs.field(default=50, validator=between(1, 100_000))


@attrs.frozen(kw_only=True)
class MovesOptions:
    """Options of the moves service and of the duty that advances moves.

    Attributes
    ----------
    trial_share : float
        Share of requests on the new version during the trial.
    exposure : float
        Maximum share of all requests since the start of the trial that the new
        version may have had at any time before the move is decided.
    ramp : tuple of float
        Shares that follow the trial, ascending.
    trial_s : float
        Planned length of the trial, in seconds; a near deadline shortens it.
    n_trial : int
        Minimum number of results of the new version; with fewer, the trial lasts
        longer than ``trial_s``, as far as the deadline allows.
    order_s : float
        Maximum time that an order takes to reach an endpoint, and so the time that a
        new lease holder waits if endpoints ignore fencing numbers.
    undo_s : float
        Time, in seconds, reserved before the deadline for an undo.
    slack_s : float
        Time, in seconds, that the trial leaves for a change of lease holder; at most
        a fifth of the time to the deadline.
    drain_s : float
        Time for requests in progress on the discarded version before endpoints
        unload it.
    clean_limit_s : float
        Time after ``drain_s`` at which the clean-up stops waiting for endpoints.
    check_s : float
        Interval at which the loaded versions of an endpoint are checked.
    n_loads : int
        Maximum number of endpoints that load at a time, to limit the load on the
        weight store.
    tick_s, publish_s : float
        Interval between two steps of the lease holder, and minimum interval between
        two publications of counts.
    counts_bytes_per_s : float
        Maximum rate of the counts of all instances together; the more instances,
        the less often each publishes its counts.
    cut_window_s : float
        Cuts of one endpoint within this time count as one.
    n_stable_reads : int
        Consecutive matching reads of an endpoint's state before it is trusted.
    """

    trial_share: float = attrs.field(
        default=0.02, validator=between(0, MAX_TRIAL_SHARE)
    )
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
