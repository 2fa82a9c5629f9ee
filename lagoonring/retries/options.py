"""Options of retries."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between, one_of

ARBITRATIONS = ("always", "suspected")


@attrs.frozen(kw_only=True)
class RetriesOptions:
    """Budgets, hedging and quarantine; times in seconds.

    Parameters
    ----------
    budget_share : float
        Retries and hedges allowed per attempt of the entry.
    budget_floor_per_s : float
        Retries allowed per second whatever the traffic.
    budget_burst : float
        Retries that can be saved up.
    hedge_quantile : float
        A hedge starts when a call takes longer than this quantile.
    hedge_delay_least_s : float
        No hedge starts earlier.
    arbitration : str
        ``always`` asks a fingerprint's home before every attempt until an equal
        request has completed; ``suspected`` asks only after a crash.
    suspect_s, quarantine_s : float
        How long a suspicion and a quarantine last without news.
    grant_s : float
        Longest time that a granted attempt counts as in progress.
    call_timeout_s : float
        Longest wait for a home's answer.
    wait_most_s : float
        Longest wait of a suspected request for its turn.
    n_fingerprints : int
        Bound of every table of fingerprints.
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
