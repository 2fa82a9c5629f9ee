"""Limits of organisations over all instances, over plain data.

Each instance keeps the level of the one bucket that an organisation has: it takes
from it what is admitted here, and what the others tell that they admitted. News
of others are a fraction of a second old, so the level can fall below zero, which
later requests make up for. While instances are silent, the share of the rate that
they may be using is left to them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.serving.configuration import Organisation

DEBT_SHARE = 0.5  # bounds how long one burst of late news refuses requests

WAIT_LEAST_S = 0.05  # below it a return finds the bucket as empty as before


@attrs.define
class Bucket:
    """The level of one organisation's bucket, as this instance sees it."""

    level: float
    updated_s: float
    n_taken: float = 0.0
    told: dict[str, tuple[int, float]] = attrs.field(factory=dict)


class Quotas:
    """The buckets of all organisations."""

    def __init__(self) -> None:
        self.buckets: dict[str, Bucket] = {}

    def take(
        self, organisation: Organisation, amount: float, now_s: float, share: float
    ) -> float | None:
        """Take from a bucket; return None, or the seconds until there is enough.

        Parameters
        ----------
        amount : float
            Tokens or requests, as the organisation counts.
        share : float
            Share of the instances that are heard; the rate is cut down to it.
        """
        if organisation.rate_per_s <= 0:
            return None
        bucket = self._refill(organisation, now_s, share)
        # A request larger than the burst is let through from a full bucket.
        missing = min(amount, organisation.burst) - bucket.level
        if missing > 0:
            rate = max(organisation.rate_per_s * share, 1e-9)
            return max(missing / rate, WAIT_LEAST_S)
        bucket.level -= amount
        bucket.n_taken += amount
        return None

    def give_back(self, organisation: Organisation, amount: float) -> None:
        """Return what a request took that was not run."""
        bucket = self.buckets.get(organisation.name)
        if bucket is not None:
            bucket.level += amount
            bucket.n_taken -= amount

    def totals(self) -> dict[str, float]:
        """Return what was taken here since the start, by organisation."""
        return {name: bucket.n_taken for name, bucket in self.buckets.items()}

    def note_peer(self, peer: str, life: int, totals: dict[str, float]) -> None:
        """Take in what a peer has taken since its start.

        What it took before it was first heard is not known to be recent, and is
        left out.
        """
        for name, total in totals.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                continue
            known_life, known_total = bucket.told.get(peer, (life, total))
            if known_life == life:
                bucket.level -= total - known_total
            bucket.told[peer] = (life, total)

    def _refill(self, organisation: Organisation, now_s: float, share: float) -> Bucket:
        bucket = self.buckets.get(organisation.name)
        if bucket is None:
            bucket = Bucket(organisation.burst, now_s)
            self.buckets[organisation.name] = bucket
        gained = (now_s - bucket.updated_s) * organisation.rate_per_s * share
        least = -organisation.burst * DEBT_SHARE
        bucket.level = min(max(bucket.level, least) + gained, organisation.burst)
        bucket.updated_s = now_s
        return bucket
