"""Options of claims."""

from __future__ import annotations

import attrs

from lagoonring.leases.options import LeaseOptions
from lagoonring.settings.validators import between

DAY_S = 86_400.0


@attrs.frozen(kw_only=True)
class ClaimsOptions:
    """How claims are stored; ``n_slots`` must be the same at all instances.

    Attributes
    ----------
    n_slots : int
        Number of slots, each with a stream of its own, over which keys are spread.
    claims_window_s : float
        Time for which a key is retained, in seconds of the log's clock.
    in_progress_s : float
        Age from which an unfinished claim is reported as unknown, in seconds.
    claim_timeout_s : float
        Timeout of a claim for a request without a deadline, in seconds.
    call_timeout_s : float
        Timeout of one call to a slot's owner, in seconds.
    retry_s : float
        Mean delay between retries of a call to a slot's owner, in seconds.
    settle_timeout_s : float
        Time for which a finish or release is retried, in seconds.
    retry_after_s : float
        Retry-After sent to callers when claims are unavailable, in seconds.
    n_batch_most : int
        Maximum number of items in one append.
    append_interval_s : float
        Minimum interval between two appends of a slot, in seconds; ``n_slots``
        divided by it bounds the appends per second of the whole fleet.
    n_rows_most : int
        Maximum number of keys per slot; further claims are refused.
    n_settling_most : int
        Maximum number of finishes and releases in progress; when it is reached,
        the oldest is cancelled.
    answer_cache_bytes : int
        Size of the cache of recorded answers of an instance.
    snapshot_every : int
        Number of records of a slot after which a snapshot is written.
    snapshot_interval_s : float
        Maximum age of a slot's snapshot, in seconds; set it to a quarter of the
        log's retention or less.
    balance_s : float
        Interval at which slots are assigned to the current members, in seconds.
    handover_s : float
        Time for which another instance must be preferred before a slot is handed
        over, in seconds.
    """

    n_slots: int = attrs.field(default=8, validator=between(1, 4096))
    claims_window_s: float = attrs.field(
        default=21_600.0, validator=between(1, 30 * DAY_S)
    )
    in_progress_s: float = attrs.field(default=120.0, validator=between(0, DAY_S))
    claim_timeout_s: float = attrs.field(default=10.0, validator=between(0.01, 600))
    call_timeout_s: float = attrs.field(default=2.0, validator=between(0.005, 60))
    retry_s: float = attrs.field(default=0.1, validator=between(0.001, 10))
    settle_timeout_s: float = attrs.field(default=600.0, validator=between(0.1, DAY_S))
    retry_after_s: float = attrs.field(default=2.0, validator=between(0, 600))
    n_batch_most: int = attrs.field(default=256, validator=between(1, 4096))
    append_interval_s: float = attrs.field(default=0.025, validator=between(0, 1))
    n_rows_most: int = attrs.field(default=40_000, validator=between(1, 10_000_000))
    n_settling_most: int = attrs.field(default=1000, validator=between(1, 100_000))
    answer_cache_bytes: int = attrs.field(
        default=1 << 20, validator=between(0, 1 << 30)
    )
    snapshot_every: int = attrs.field(default=5000, validator=between(1, 10_000_000))
    snapshot_interval_s: float = attrs.field(
        default=900.0, validator=between(0.01, 30 * DAY_S)
    )
    balance_s: float = attrs.field(default=1.0, validator=between(0.01, 60))
    handover_s: float = attrs.field(default=3.0, validator=between(0, 600))
    lease: LeaseOptions = attrs.field(factory=LeaseOptions)
