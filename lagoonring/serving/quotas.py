"""Limits of organisations over all instances, over plain data.

An organisation may use its rate times a window, and its burst, in any window.
Each instance adds up what was admitted in the last window here, and what the
others tell that they admitted. News of others are a fraction of a second old: part
of the tolerance that operators allow covers what is not known yet, the rest goes to
callers. While instances are silent, the share that they may be using is left to
them.

News take longer among many instances, while the tolerance stays a tenth. Near a limit
that allows little beside it, an instance therefore admits only its part of what is left
in the time that news take.

Within a window, use is paced: a bucket grants the rate and the burst, a second one
spreads what a window allows beyond the rate. A process starts with both empty. So
after all were killed, what they admitted before and what is admitted then stay
within one window's limit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.serving.configuration import Organisation

SLOT_S = 0.25  # amounts of this time are kept as one; two rounds of the exchange
TOLERANCE_SHARE = 0.3  # of what may be exceeded; the rest covers late news
WAIT_LEAST_S = 0.05  # below it a return finds as little left as before
START_PACE = 0.8  # of the usual gain; above what organisations use on most days
NEWS_S = 0.9  # a report, a summary and a digest of 30 instances in a data centre
NEAR_SHARE = 0.2  # of the limit; usual use of all instances in NEWS_S is less
NEAR_NEWS = 2.0  # times what was used in the last NEWS_S; it may be used again unseen
SPARE_SHARE = 0.3  # of the limit; where more may be exceeded, late news do no harm
POOL_S = 2.0  # a hub that falls silent is followed by another within a second
PACE_S = 1.0  # what the second bucket holds at most, in seconds of its rate


@attrs.define
class WindowSum:
    """Amounts of the last window, as pairs of time and amount."""

    window_s: float
    slots: deque[list[float]] = attrs.field(factory=deque)
    total: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Count an amount now; negative ones take back."""
        if self.slots and now_s - self.slots[-1][0] < SLOT_S:
            self.slots[-1][1] += amount
        else:
            self.slots.append([now_s, amount])
        self.total += amount

    def read(self, now_s: float) -> float:
        """Return the sum of the last window."""
        oldest_s = now_s - self.window_s - SLOT_S
        while self.slots and self.slots[0][0] < oldest_s:
            self.total -= self.slots.popleft()[1]
        return self.total

    def wait_s(self, excess: float, now_s: float) -> float:
        """Return the seconds until the sum has gone down by ``excess``."""
        for at_s, amount in self.slots:
            excess -= amount
            if excess <= 0:
                return at_s + self.window_s + SLOT_S - now_s
        return self.window_s


@attrs.define
class Told:
    """What a peer told: its total in this life, and its use in the window."""

    life: int
    total: float
    window: WindowSum


@attrs.define
class Use:
    """What one organisation uses, as this instance sees it.

    ``latest`` is the use of all instances in the time that news take.
    ``local`` is the use of the data centre's other instances. ``pool`` is use that
    is in ``everywhere`` already, told by a source that another one takes over from.
    """

    everywhere: WindowSum
    here: WindowSum
    local: WindowSum
    latest: WindowSum
    filled_s: float
    burst_level: float = 0.0
    pace_level: float = 0.0
    n_taken: float = 0.0
    n_local: float = 0.0
    n_everywhere: float = 0.0
    is_begun: bool = False
    part_level: float = 0.0
    part_filled_s: float = 0.0
    pool: float = 0.0
    pool_until_s: float = 0.0
    told: dict[Hashable, Told] = attrs.field(factory=dict)

    def spend(self, amount: float) -> None:
        """Take from the burst, and what it has not from the second bucket."""
        from_burst = min(amount, max(self.burst_level, 0.0))
        self.burst_level -= from_burst
        self.pace_level -= amount - from_burst


class Quotas:
    """The use of all organisations.

    Parameters
    ----------
    window_s : float
        Length of the window.
    overshoot, slack : float
        By which share, and which amount besides, a limit may be exceeded.
    started_s : float
        When the process started, on the clock of the calls.
    """

    def __init__(
        self,
        window_s: float = 8.0,
        *,
        overshoot: float = 0.0,
        slack: float = 0.0,
        started_s: float = 0.0,
    ) -> None:
        self.window_s = window_s
        self.set_tolerance(overshoot=overshoot, slack=slack)
        self.uses: dict[str, Use] = {}
        self.started_s = started_s
        self.start_share = 0.0

    def set_tolerance(self, *, overshoot: float, slack: float) -> None:
        """Set by how much a limit may be exceeded."""
        self.overshoot = overshoot * TOLERANCE_SHARE
        self.slack = slack * TOLERANCE_SHARE
        self.spare_overshoot = overshoot - self.overshoot
        self.spare_slack = slack - self.slack

    def allowed(self, organisation: Organisation) -> float:
        """Return what an organisation may use in a window."""
        amount = organisation.rate_per_s * self.window_s + organisation.burst
        return amount * (1 + self.overshoot) + self.slack

    def take(
        self,
        organisation: Organisation,
        amount: float,
        now_s: float,
        share: float,
        *,
        n_instances: int = 1,
    ) -> float | None:
        """Count an amount; return None, or the seconds until there is room.

        Parameters
        ----------
        amount : float
            Tokens or requests, as the organisation counts.
        share : float
            Share of the instances that are heard; the limit is cut down to it.
        n_instances : int
            Instances known, which may admit at the same time.
        """
        if organisation.rate_per_s <= 0:
            return None
        use = self._use(organisation.name)
        self._fill(use, organisation, now_s, share)
        used = use.everywhere.read(now_s)
        limit = self.allowed(organisation) * share
        excess = used + amount - limit
        if excess > 0 and used > 0:
            return max(use.everywhere.wait_s(excess, now_s), WAIT_LEAST_S)
        near = max(NEAR_SHARE * limit, NEAR_NEWS * use.latest.read(now_s))
        is_near = self._is_tight(organisation) and limit - used < near
        if is_near and not self._has_part(use, (limit - used) / n_instances, now_s):
            return NEWS_S
        wait_s = self._draw(use, organisation, amount)
        if wait_s is not None:
            return wait_s / max(share, 1e-9)
        if is_near:
            use.part_level -= amount
        self._add(use, amount, now_s)
        return None

    def _is_tight(self, organisation: Organisation) -> bool:
        """Whether little of what operators tolerate is left for late news."""
        amount = organisation.rate_per_s * self.window_s + organisation.burst
        return amount * self.spare_overshoot + self.spare_slack < SPARE_SHARE * amount

    def _has_part(self, use: Use, part: float, now_s: float) -> bool:
        """Whether this instance has not admitted its part of what is left yet.

        A request larger than the part is let through and paid for later, so that
        large ones are not refused for ever.
        """
        elapsed_s = min(now_s - use.part_filled_s, NEWS_S)
        use.part_filled_s = now_s
        use.part_level = min(use.part_level + part * elapsed_s / NEWS_S, part)
        return use.part_level > 0

    def refund(self, organisation: str, amount: float, now_s: float) -> None:
        """Take back what a request counted that was not run."""
        use = self.uses.get(organisation)
        if use is not None:
            use.burst_level += amount
            self._add(use, -amount, now_s)

    def totals(self, now_s: float) -> dict[str, tuple[float, float]]:
        """Return by organisation what was taken here: ever, and in the window."""
        return {
            name: (use.n_taken, use.here.read(now_s)) for name, use in self.uses.items()
        }

    def local_totals(self, now_s: float) -> dict[str, tuple[float, float]]:
        """Return what `totals` does, of all instances of the data centre."""
        return {
            name: (
                use.n_taken + use.n_local,
                use.here.read(now_s) + use.local.read(now_s),
            )
            for name, use in self.uses.items()
        }

    def all_totals(self, now_s: float) -> dict[str, tuple[float, float]]:
        """Return what `totals` does, of all instances."""
        return {
            name: (use.n_everywhere, use.everywhere.read(now_s))
            for name, use in self.uses.items()
        }

    def update_peer(
        self,
        peer: Hashable,
        life: int,
        totals: dict[str, tuple[float, float]],
        now_s: float,
        *,
        is_sum: bool = False,
        is_local: bool = False,
    ) -> None:
        """Take in what a peer has taken, as its `totals` tell.

        Parameters
        ----------
        is_sum : bool
            Whether it stands for several instances. Another life of it sums up the
            same use, while another life of one instance uses more.
        is_local : bool
            Whether it is an instance of this data centre.
        """
        for name, (total, recent) in totals.items():
            use = self._use(name)
            known = use.told.get(peer)
            if known is not None and known.life != life and is_sum:
                self._release(use, peer, now_s)
                known = None
            if known is None:
                known = use.told[peer] = Told(life, total, WindowSum(self.window_s))
                amount = recent
            else:
                amount = total - known.total if known.life == life else recent
            known.life, known.total = life, total
            if amount:
                known.window.add(amount, now_s)
                if is_local:
                    use.local.add(amount, now_s)
                    use.n_local += amount
                self._add_elsewhere(use, amount, now_s)

    def carry_over_peers(self, now_s: float) -> None:
        """Let others tell what the peers heard so far told."""
        for use in self.uses.values():
            use.local = WindowSum(self.window_s)
            for peer in list(use.told):
                self._release(use, peer, now_s)

    def _release(self, use: Use, peer: Hashable, now_s: float) -> None:
        if now_s > use.pool_until_s:
            use.pool = 0.0
        use.pool += use.told.pop(peer).window.read(now_s)
        use.pool_until_s = now_s + POOL_S

    def _add_elsewhere(self, use: Use, amount: float, now_s: float) -> None:
        """Count use of others, but for what sources before told already.

        A new hub hears its instances one after the other, so that its sums grow to
        what is known here over several rounds.
        """
        if now_s <= use.pool_until_s:
            n_known = max(min(amount, use.pool), 0.0)
            use.pool -= n_known
            amount -= n_known
        use.everywhere.add(amount, now_s)
        use.latest.add(amount, now_s)
        use.n_everywhere += amount
        use.spend(amount)

    def set_start_share(self, share: float) -> None:
        """Let each organisation have a part of its burst at the start.

        Parameters
        ----------
        share : float
            This instance's part, as if all instances started now.
        """
        self.start_share = share

    def _fill(
        self, use: Use, organisation: Organisation, now_s: float, share: float
    ) -> None:
        """Let both buckets gain what the time since the last call brings."""
        if not use.is_begun:
            use.is_begun = True
            use.burst_level = organisation.burst * self.start_share
        elapsed_s = now_s - use.filled_s
        use.filled_s = now_s
        if now_s < self.started_s + self.window_s:
            # What was admitted before the start, and during the news' delay, is
            # not known here.
            elapsed_s *= START_PACE
        rate = organisation.rate_per_s * share
        pace = self._pace(organisation)
        use.burst_level = min(use.burst_level + elapsed_s * rate, organisation.burst)
        level = max(use.pace_level, -organisation.burst) + elapsed_s * pace * share
        use.pace_level = min(level, pace * PACE_S)

    def _pace(self, organisation: Organisation) -> float:
        """Return what a window allows beyond the rate, per second."""
        return self.allowed(organisation) / self.window_s - organisation.rate_per_s

    def _draw(
        self, use: Use, organisation: Organisation, amount: float
    ) -> float | None:
        """Take from both buckets; return None, or the seconds until there is enough.

        A request larger than both hold is let through when they are full.
        """
        pace = self._pace(organisation)
        most = organisation.burst + pace * PACE_S
        missing = min(amount, most) - use.burst_level - use.pace_level
        if missing > 0:
            return max(missing / (organisation.rate_per_s + pace), WAIT_LEAST_S)
        use.spend(amount)
        return None

    def _use(self, name: str) -> Use:
        use = self.uses.get(name)
        if use is None:
            use = Use(
                everywhere=WindowSum(self.window_s),
                here=WindowSum(self.window_s),
                local=WindowSum(self.window_s),
                latest=WindowSum(NEWS_S),
                filled_s=self.started_s,
            )
            self.uses[name] = use
        return use

    def _add(self, use: Use, amount: float, now_s: float) -> None:
        use.everywhere.add(amount, now_s)
        use.latest.add(amount, now_s)
        use.here.add(amount, now_s)
        use.n_taken += amount
        use.n_everywhere += amount
