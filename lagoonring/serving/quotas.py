"""Rate limits of organisations, enforced across all instances.

An organisation may use its rate times the window length, plus its burst, in any sliding
window. Each instance sums what it admitted in the current window and what the other
instances report. Those reports are a fraction of a second old: part of the tolerance
that operators allow covers usage that has not been reported yet, the rest is available
to callers. While instances are unreachable, the share that they may be using is
reserved for them.

Reports take longer to arrive in a large deployment, while the overshoot tolerance stays
a tenth. Near a limit with little other tolerance, an instance therefore admits only its
part of what is left during the time that reports take.

Within a window, usage is smoothed by two token buckets: one refills at the rate and
holds the burst, the other spreads what a window allows beyond the rate. Both start
empty. After a kill of all instances, what they admitted before and what is admitted
after the restart therefore stay within one window's limit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.serving.configuration import Organisation

SLOT_S = 0.25  # resolution of the sliding window; two rounds of the exchange
TOLERANCE_SHARE = 0.3  # of the tolerance; the rest covers delayed reports
MIN_WAIT_S = 0.05  # an earlier retry would find as little room as before
START_REFILL_SHARE = 0.8  # of the usual refill; above organisations' typical usage
MIN_REPORT_DELAY_S = 0.9  # until a report reaches all instances of 30 per data centre
NEAR_LIMIT_SHARE = 0.2  # of the limit; more than the usual usage in a report's delay
NEAR_LIMIT_FACTOR = (
    2.0  # times the usage in a report's delay; as much may be unreported
)
AMPLE_TOLERANCE_SHARE = 0.3  # of the limit; a larger tolerance absorbs delayed reports
CARRY_OVER_S = 2.0  # a hub that stops responding is replaced within 1 s
PACE_BUCKET_S = 1.0  # capacity of the second bucket, in seconds of its rate


@attrs.define
class WindowSum:
    """Sum over a sliding window; ``slots`` holds lists of start time and amount."""

    window_s: float
    slots: deque[list[float]] = attrs.field(factory=deque)
    total: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount at the current time; a negative one undoes an earlier one."""
        if self.slots and now_s - self.slots[-1][0] < SLOT_S:
            self.slots[-1][1] += amount
        else:
            self.slots.append([now_s, amount])
        self.total += amount

    def read(self, now_s: float) -> float:
        """Return the sum of the window that ends now."""
        oldest_s = now_s - self.window_s - SLOT_S
        while self.slots and self.slots[0][0] < oldest_s:
            self.total -= self.slots.popleft()[1]
        return self.total

    def wait_s(self, excess: float, now_s: float) -> float:
        """Return the seconds until the sum has dropped by ``excess``."""
        for at_s, amount in self.slots:
            excess -= amount
            if excess <= 0:
                return at_s + self.window_s + SLOT_S - now_s
        return self.window_s


@attrs.define
class PeerUsage:
    """Usage reported by one process of a peer: its total, and the window's amounts."""

    life: int
    total: float
    window: WindowSum


@attrs.define
class Usage:
    """Usage of one organisation, as known to this instance.

    ``everywhere`` covers all instances, ``here`` this one, and ``local`` the other
    instances of its data centre. ``recent`` is the usage of all instances
    during the delay of reports. ``carried_over`` is usage that ``everywhere`` already
    contains from a previous source, and that its successor will report again.
    """

    everywhere: WindowSum
    here: WindowSum
    local: WindowSum
    recent: WindowSum
    refilled_s: float
    burst_level: float = 0.0
    pace_level: float = 0.0
    total_here: float = 0.0
    total_local: float = 0.0
    total_everywhere: float = 0.0
    is_initialised: bool = False
    part_level: float = 0.0
    part_refilled_s: float = 0.0
    carried_over: float = 0.0
    carry_over_until_s: float = 0.0
    peers: dict[Hashable, PeerUsage] = attrs.field(factory=dict)

    def consume(self, amount: float) -> None:
        """Take tokens from the burst bucket, and the remainder from the second one."""
        from_burst = min(amount, max(self.burst_level, 0.0))
        self.burst_level -= from_burst
        self.pace_level -= amount - from_burst


class Quotas:
    """Enforces the limits of all organisations.

    Parameters
    ----------
    window_s : float
        Length of the window.
    overshoot, slack : float
        Share of a limit, and an additional amount, by which it may be exceeded.
    started_s : float
        Start time of the process, on the clock that the ``now_s`` arguments use.
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
        self.usages: dict[str, Usage] = {}
        self.started_s = started_s
        self.start_share = 0.0

    def set_tolerance(self, *, overshoot: float, slack: float) -> None:
        """Set the share and the amount by which limits may be exceeded."""
        self.overshoot = overshoot * TOLERANCE_SHARE
        self.slack = slack * TOLERANCE_SHARE
        self.spare_overshoot = overshoot - self.overshoot
        self.spare_slack = slack - self.slack

    def allowed(self, organisation: Organisation) -> float:
        """Return the amount that an organisation may use in a window."""
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
        report_delay_s: float = MIN_REPORT_DELAY_S,
    ) -> float | None:
        """Count an amount and return None, or the seconds until it would fit.

        Parameters
        ----------
        amount : float
            Tokens or requests, depending on what the organisation counts.
        share : float
            Share of the instances that are reachable; the limit is scaled by it.
        n_instances : int
            Known instances, which may admit requests at the same time.
        report_delay_s : float
            Time until the usage of one instance is known to all others.
        """
        if organisation.rate_per_s <= 0:
            return None
        usage = self._usage_of(organisation.name)
        self._refill(usage, organisation, now_s, share)
        used = usage.everywhere.read(now_s)
        limit = self.allowed(organisation) * share
        excess = used + amount - limit
        if excess > 0 and used > 0:
            return max(usage.everywhere.wait_s(excess, now_s), MIN_WAIT_S)
        delay_s = max(report_delay_s, MIN_REPORT_DELAY_S)
        usage.recent.window_s = delay_s
        near = max(
            NEAR_LIMIT_SHARE * limit, NEAR_LIMIT_FACTOR * usage.recent.read(now_s)
        )
        is_near = self._has_small_tolerance(organisation) and limit - used < near
        if is_near and not self._has_part_left(
            usage, (limit - used) / n_instances, now_s, delay_s
        ):
            return delay_s
        wait_s = self._draw(usage, organisation, amount)
        if wait_s is not None:
            return wait_s / max(share, 1e-9)
        if is_near:
            usage.part_level -= amount
        self._add_own(usage, amount, now_s)
        return None

    def _has_small_tolerance(self, organisation: Organisation) -> bool:
        """Return whether the tolerance left for delayed reports is small."""
        amount = organisation.rate_per_s * self.window_s + organisation.burst
        return (
            amount * self.spare_overshoot + self.spare_slack
            < AMPLE_TOLERANCE_SHARE * amount
        )

    def _has_part_left(
        self, usage: Usage, part: float, now_s: float, delay_s: float
    ) -> bool:
        """Return whether this instance may still admit some of its part.

        A request larger than the part is admitted and leaves a negative level, which
        delays later ones; otherwise large requests would be refused for ever.
        """
        elapsed_s = min(now_s - usage.part_refilled_s, delay_s)
        usage.part_refilled_s = now_s
        usage.part_level = min(usage.part_level + part * elapsed_s / delay_s, part)
        return usage.part_level > 0

    def refund(self, organisation: str, amount: float, now_s: float) -> None:
        """Refund the amount of a request that was not executed."""
        usage = self.usages.get(organisation)
        if usage is not None:
            usage.burst_level += amount
            self._add_own(usage, -amount, now_s)

    def totals(self, now_s: float) -> dict[str, tuple[float, float]]:
        """Return by organisation the usage here: since the start and in the window."""
        return {
            name: (usage.total_here, usage.here.read(now_s))
            for name, usage in self.usages.items()
        }

    def local_totals(self, now_s: float) -> dict[str, tuple[float, float]]:
        """Return `totals` summed over all instances of the data centre."""
        return {
            name: (
                usage.total_here + usage.total_local,
                usage.here.read(now_s) + usage.local.read(now_s),
            )
            for name, usage in self.usages.items()
        }

    def all_totals(self, now_s: float) -> dict[str, tuple[float, float]]:
        """Return `totals` summed over all instances."""
        return {
            name: (usage.total_everywhere, usage.everywhere.read(now_s))
            for name, usage in self.usages.items()
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
        """Count the usage that a peer reports in its `totals`.

        Parameters
        ----------
        is_sum : bool
            Whether the peer reports a sum over several instances. After its restart
            the sum covers the same usage again, while the usage of a restarted
            single instance is added to that of its earlier process.
        is_local : bool
            Whether the peer is an instance of this data centre.
        """
        for name, (total, recent) in totals.items():
            usage = self._usage_of(name)
            known = usage.peers.get(peer)
            if known is not None and known.life != life and is_sum:
                self._carry_over(usage, peer, now_s)
                known = None
            if known is None:
                known = usage.peers[peer] = PeerUsage(
                    life, total, WindowSum(self.window_s)
                )
                amount = recent
            else:
                amount = total - known.total if known.life == life else recent
            known.life, known.total = life, total
            if amount:
                known.window.add(amount, now_s)
                if is_local:
                    usage.local.add(amount, now_s)
                    usage.total_local += amount
                self._add_remote(usage, amount, now_s)

    def carry_over_peers(self, now_s: float) -> None:
        """Carry over the usage of all current peers, which other peers will report."""
        for usage in self.usages.values():
            usage.local = WindowSum(self.window_s)
            for peer in list(usage.peers):
                self._carry_over(usage, peer, now_s)

    def _carry_over(self, usage: Usage, peer: Hashable, now_s: float) -> None:
        if now_s > usage.carry_over_until_s:
            usage.carried_over = 0.0
        usage.carried_over += usage.peers.pop(peer).window.read(now_s)
        usage.carry_over_until_s = now_s + CARRY_OVER_S

    def _add_remote(self, usage: Usage, amount: float, now_s: float) -> None:
        """Count usage of other instances, less what earlier sources reported.

        A new hub receives the reports of its instances one by one, so that its sums
        reach the amount known here only after several rounds.
        """
        if now_s <= usage.carry_over_until_s:
            carried = max(min(amount, usage.carried_over), 0.0)
            usage.carried_over -= carried
            amount -= carried
        usage.everywhere.add(amount, now_s)
        usage.recent.add(amount, now_s)
        usage.total_everywhere += amount
        usage.consume(amount)

    def set_start_share(self, share: float) -> None:
        """Set the share of its burst that each organisation has at the start.

        Parameters
        ----------
        share : float
            This instance's part, assuming that all instances start at once.
        """
        self.start_share = share

    def _refill(
        self, usage: Usage, organisation: Organisation, now_s: float, share: float
    ) -> None:
        """Refill both buckets for the time since the last call."""
        if not usage.is_initialised:
            usage.is_initialised = True
            usage.burst_level = organisation.burst * self.start_share
        elapsed_s = now_s - usage.refilled_s
        usage.refilled_s = now_s
        if now_s < self.started_s + self.window_s:
            # What was admitted before the start, or is not reported yet, is not
            # known here.
            elapsed_s *= START_REFILL_SHARE
        rate = organisation.rate_per_s * share
        pace = self._pace(organisation)
        usage.burst_level = min(
            usage.burst_level + elapsed_s * rate, organisation.burst
        )
        level = max(usage.pace_level, -organisation.burst) + elapsed_s * pace * share
        usage.pace_level = min(level, pace * PACE_BUCKET_S)

    def _pace(self, organisation: Organisation) -> float:
        """Return the rate that a window allows in addition to the configured rate."""
        return self.allowed(organisation) / self.window_s - organisation.rate_per_s

    def _draw(
        self, usage: Usage, organisation: Organisation, amount: float
    ) -> float | None:
        """Take from both buckets, or return the seconds until they hold enough.

        A request larger than their joint capacity is admitted when both are full.
        """
        pace = self._pace(organisation)
        capacity = organisation.burst + pace * PACE_BUCKET_S
        missing = min(amount, capacity) - usage.burst_level - usage.pace_level
        if missing > 0:
            return max(missing / (organisation.rate_per_s + pace), MIN_WAIT_S)
        usage.consume(amount)
        return None

    def _usage_of(self, name: str) -> Usage:
        usage = self.usages.get(name)
        if usage is None:
            usage = Usage(
                everywhere=WindowSum(self.window_s),
                here=WindowSum(self.window_s),
                local=WindowSum(self.window_s),
                recent=WindowSum(MIN_REPORT_DELAY_S),
                refilled_s=self.started_s,
            )
            self.usages[name] = usage
        return usage

    def _add_own(self, usage: Usage, amount: float, now_s: float) -> None:
        usage.everywhere.add(amount, now_s)
        usage.recent.add(amount, now_s)
        usage.here.add(amount, now_s)
        usage.total_here += amount
        usage.total_everywhere += amount
