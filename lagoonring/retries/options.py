"""Options of retries."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between, one_of

ARBITRATIONS = ("always", "suspected")


@attrs.frozen(kw_only=True)
class RetriesOptions:
    """Options of retry budgets, hedging and quarantine; times in seconds.

    Parameters
    ----------
    budget_share : float
        Retries and hedges added to the budget per attempt of the entry.
    budget_floor_per_s : float
        Retries and hedges added to the budget per second regardless of traffic.
    budget_burst : float
        Maximum number of retries and hedges that accumulate in the budget.
    hedge_quantile : float
        A hedge starts when a call takes longer than this latency quantile.
    hedge_delay_least_s : float
        Minimum delay before a hedge starts.
    arbitration : str
        ``always`` asks a fingerprint's home before every attempt until an equal
        request has completed; ``suspected`` asks only after a crash.
    suspect_s, quarantine_s : float
        Time after which a suspicion without new crashes and a quarantine expire.
    grant_s : float
        Maximum time that a granted attempt counts as in progress.
    call_timeout_s : float
        Timeout of a call to a fingerprint's home.
    wait_most_s : float
        Maximum time that an attempt waits for a grant.
    n_fingerprints : int
        Maximum number of fingerprints in each table.
    """

    budget_share: float = attrs.field(default=0.1, validator=between(0, 1))
    budget_floor_per_s: float = attrs.field(default=1.0, validator=between(0, 1000))
    budget_burst: float = attrs.field(default=20.0, validator=between(1, 10_000))
    hedge_quantile: float = attrs.field(default=0.95, validator=between(0.5, 0.999))
    hedge_delay_least_s: float = attrs.field(default=0.005, validator=between(0, 60))
    arbitration: str = attrs.field(default="always", validator=one_of(ARBITRATIONS))
    suspect_s: float = attrs.field(default=120.0, validator=between(1, 86_400))
    quarantine_s: float = attrs.field(default=600.0, validator=between(1, 86_400))
    grant_s: float = attrs.field(default=90.0, validator=between(1, 3600))
    call_timeout_s: float = attrs.field(default=0.25, validator=between(0.01, 60))
    wait_most_s: float = attrs.field(default=15.0, validator=between(0, 600))
    n_fingerprints: int = attrs.field(default=4096, validator=between(16, 1 << 20))
