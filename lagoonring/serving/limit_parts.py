"""The part of an organisation's limit that an instance may give out by itself.

Load: an organisation sends several times its limit through many instances, whose
reports of what they admitted are a fraction of a second old. While the limit is short,
each instance therefore gives out a part of it as a token bucket of its own, so that
all together keep to the limit. A request is admitted once the bucket covers it. Small
requests are then admitted more often than large ones: for the same amount, more
callers are served.
"""

from __future__ import annotations

import math

import attrs

from lagoonring.serving.window_sums import WindowSum

EQUAL_SHARE = 0.2  # of a limit; the remainder follows the instances' usage
MEAN_WEIGHT = 0.05  # of the newest amount in an exponential moving average
CAPACITY_S = 1.0  # of refill; more would be saved up for a few large requests
MIN_WAIT_S = 0.05  # an earlier retry would find as little room as before


@attrs.define
class LimitPart:
    """This instance's bucket, and what it admitted during the delay of reports.

    ``phase``, from 0 to 1, differs between processes: their buckets are in debt for
    large requests to different degrees, also after a start of all.
    """

    refilled_s: float
    recent: WindowSum
    level: float = 0.0
    rate_per_s: float = 0.0
    mean_amount: float = 0.0
    phase: float = 0.0

    def refill(self, rate_per_s: float, now_s: float, *, speed: float = 1.0) -> None:
        """Refill the bucket at a rate, ``speed`` times as fast, since the last call."""
        self.rate_per_s = rate_per_s
        level = self.level + (now_s - self.refilled_s) * rate_per_s * speed
        self.level = min(level, rate_per_s * CAPACITY_S)
        self.refilled_s = now_s

    def begin_in_debt(self, amount: float) -> None:
        """Owe a part of a request that the bucket can't hold, once.

        If all instances start at once, each of them would admit such a request as soon
        as its bucket is full, and be in debt only afterwards.
        """
        missing = amount - self.rate_per_s * CAPACITY_S
        if missing > 0:
            self.level -= self.phase * missing
            self.phase = 0.0

    def wait_s(self, amount: float) -> float | None:
        """Return None if the bucket covers an amount, else the seconds until then.

        An amount larger than the bucket is admitted when that is full, and delays
        later ones; otherwise it would be refused for ever.
        """
        missing = min(amount, self.rate_per_s * CAPACITY_S) - self.level
        if missing <= 0:
            return None
        return max(missing / max(self.rate_per_s, 1e-9), MIN_WAIT_S)

    def record(self, amount: float, now_s: float, *, is_ample: bool) -> None:
        """Take an admitted amount; as far as the limit is ample, it leaves no debt."""
        self.level -= amount
        if is_ample:
            self.level = max(self.level, 0.0)
        self.recent.add(1, now_s)
        self.mean_amount += MEAN_WEIGHT * (amount - self.mean_amount)

    def extrapolate(self, share: float, now_s: float) -> float:
        """Return what all instances admitted lately, if it was as much as here.

        The number of requests counts less twice its standard error, so that a few that
        arrive together are no sign of a load everywhere.
        """
        n_here = max(self.recent.read(now_s), 0.0)
        n_certain = max(n_here - 2 * math.sqrt(n_here), 0.0)
        return n_certain * self.mean_amount / max(share, 1e-9)


def share_here(
    used_here: float, used: float, n_instances: int, *, certainty: float = 1.0
) -> float:
    """Return this instance's share of a limit.

    It follows the share of the usage that was admitted here. Some is divided equally,
    so that an instance without usage gets a share.

    Parameters
    ----------
    certainty : float
        Share of the window in which this process has run; what it admitted says
        little of its callers before.
    """
    if used <= 0:
        return 1 / n_instances
    share = min(max(used_here / used, 0.0), 1.0)
    weight = (1 - EQUAL_SHARE) * certainty
    return share * weight + (1 - weight) / n_instances
