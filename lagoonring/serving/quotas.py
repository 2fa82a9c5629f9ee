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

from typing import TYPE_CHECKING

from lagoonring.serving.limit_parts import MIN_WAIT_S, LimitPart, share_here
from lagoonring.serving.limit_usage import PeerUsage, Usage
from lagoonring.serving.window_sums import SLOT_S, WindowSum

if TYPE_CHECKING:
    from collections.abc import Hashable

    from lagoonring.serving.configuration import Organisation

TOLERANCE_SHARE = 0.3  # of the tolerance; the rest covers delayed reports
START_REFILL_SHARE = 0.8  # of the usual refill; above organisations' typical usage
MIN_REPORT_DELAY_S = 0.9  # until a report reaches all instances of 30 per data centre
MAX_START_SHARE = 0.3  # of a burst, at all instances that start together
UNSEEN_FACTOR = 2.0  # a whole round of reports may be late by as much again
BUCKET_UNSEEN_FACTOR = 1.3  # the load may grow while reports are under way
FEW_REQUESTS = 1  # here, without reports of others, are no sign of load elsewhere
CARRY_OVER_S = 2.0  # a hub that stops responding is replaced within 1 s
PACE_BUCKET_S = 1.0  # capacity of the second bucket, in seconds of its rate


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
    phase : float
        See `LimitPart`.
    """

    def __init__(
        self,
        window_s: float = 8.0,
        *,
        overshoot: float = 0.0,
        slack: float = 0.0,
        started_s: float = 0.0,
        phase: float = 0.0,
    ) -> None:
        self.window_s = window_s
        self.set_tolerance(overshoot=overshoot, slack=slack)
        self.usages: dict[str, Usage] = {}
        self.started_s = started_s
        self.phase = phase
        self.start_share = 0.0

    def set_tolerance(self, *, overshoot: float, slack: float) -> None:
        """Set the share and the amount by which limits may be exceeded."""
        self.overshoot = overshoot * TOLERANCE_SHARE
        self.slack = slack * TOLERANCE_SHARE

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
        self._grant_start(usage, organisation, max(n_instances, 1 + len(usage.peers)))
        if usage.organisation is None:
            self._replay(usage, organisation, share)
        usage.organisation, usage.share = organisation, share
        # Only here: reports are more frequent, and would cancel more of a debt.
        usage.pace_level = max(usage.pace_level, -organisation.burst)
        self._restore_buckets(usage, organisation, now_s, share, n_instances)
        self._refill(usage, organisation, now_s, share)
        used = usage.everywhere.read(now_s)
        limit = self.allowed(organisation) * share
        excess = used + amount - limit
        if excess > 0 and used > 0:
            return max(usage.everywhere.wait_s(excess, now_s), MIN_WAIT_S)
        delay_s = max(report_delay_s, MIN_REPORT_DELAY_S)
        usage.recent.window_s = usage.part.recent.window_s = delay_s - SLOT_S
        used_here = usage.here.read(now_s)
        certainty = min((now_s - self.started_s) / self.window_s, 1.0)
        here = share_here(used_here, used, n_instances, certainty=certainty)
        unseen = 0.0
        if n_instances > 1:
            unseen = usage.part.extrapolate(here, now_s)
            if used > used_here or usage.part.recent.read(now_s) > FEW_REQUESTS:
                unseen = max(unseen, usage.recent.read(now_s))
        self._refill_part(usage, organisation, now_s, here * share, limit - used)
        usage.part.begin_in_debt(amount)
        covered = amount + BUCKET_UNSEEN_FACTOR * unseen
        is_ample = (
            limit - used - amount >= UNSEEN_FACTOR * unseen
            and self._missing(usage, organisation, covered) <= 0
        )
        if not is_ample:
            wait_s = (
                usage.part.wait_s(amount)
                if n_instances > 1
                else self._wait_s(usage, organisation, amount)
            )
            if wait_s is not None:
                return wait_s / max(share, 1e-9)
        usage.consume(amount)
        usage.part.record(amount, now_s, is_ample=is_ample)
        self._add_own(usage, amount, now_s)
        return None

    def _refill_part(
        self,
        usage: Usage,
        organisation: Organisation,
        now_s: float,
        here: float,
        room: float,
    ) -> None:
        """Refill this instance's part.

        All parts together are refilled at the rate at which a window's limit is used
        up beside the burst, but during the delay of reports with no more than is left.
        """
        rate = (self.allowed(organisation) - organisation.burst) / self.window_s
        rate = min(rate, max(room, 0.0) / (usage.recent.window_s + SLOT_S))
        is_starting = now_s < self.started_s + self.window_s
        speed = START_REFILL_SHARE if is_starting else 1.0
        usage.part.refill(here * rate, now_s, speed=speed)

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
            is_first = known is None
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
                if is_first:
                    amount = self._take_carried(usage, amount, now_s)
                    usage.first_reported += amount
                usage.everywhere.add(amount, now_s)
                usage.total_everywhere += amount
                usage.recent.add(amount, now_s)
                if usage.organisation is not None:
                    self._refill(usage, usage.organisation, now_s, usage.share)
                    usage.consume(amount)

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

    def _take_carried(self, usage: Usage, amount: float, now_s: float) -> float:
        """Return a source's first report less what earlier sources reported."""
        if now_s > usage.carry_over_until_s:
            return amount
        carried = max(min(amount, usage.carried_over), 0.0)
        usage.carried_over -= carried
        return amount - carried

    def set_start_share(self, share: float) -> None:
        """Set the share of its burst that each organisation has at the start.

        Parameters
        ----------
        share : float
            This instance's part, assuming that all instances start at once.
        """
        self.start_share = share

    def _grant_start(
        self, usage: Usage, organisation: Organisation, n_known: int
    ) -> None:
        """Add to the burst bucket what the known instances have at their start."""
        share = min(self.start_share * n_known, MAX_START_SHARE)
        granted = organisation.burst * share
        usage.burst_level += max(granted - usage.granted, 0.0)
        usage.granted = max(granted, usage.granted)

    def _replay(self, usage: Usage, organisation: Organisation, share: float) -> None:
        """Take from the buckets what others used before the first request here."""
        for at_s, amount in usage.everywhere.slots:
            self._refill(usage, organisation, at_s, share)
            usage.consume(amount)

    def _refill(
        self, usage: Usage, organisation: Organisation, now_s: float, share: float
    ) -> None:
        """Refill both buckets for the time since the last call.

        Has to precede each use: a refill for the time before it would undo it.
        """
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
        usage.pace_level = min(
            usage.pace_level + elapsed_s * pace * share, pace * PACE_BUCKET_S
        )

    def _restore_buckets(
        self,
        usage: Usage,
        organisation: Organisation,
        now_s: float,
        share: float,
        n_instances: int,
    ) -> None:
        """Fill the burst bucket of a process that has joined others.

        What they used before took nothing from it if they cannot have used it since
        this process started. After a start of all processes nothing is restored.
        While they know of no other, many processes exceed a limit together.
        """
        age_s = now_s - self.started_s
        rate = organisation.rate_per_s + self._pace(organisation)
        since_start = organisation.burst + rate * age_s
        if usage.first_reported <= since_start * max(n_instances * self.start_share, 1):
            return
        usage.first_reported = 0.0
        room = self.allowed(organisation) * share - usage.everywhere.read(now_s)
        usage.burst_level = min(max(room, 0.0), organisation.burst)
        usage.pace_level = 0.0

    def _pace(self, organisation: Organisation) -> float:
        """Return the rate that a window allows in addition to the configured rate."""
        return self.allowed(organisation) / self.window_s - organisation.rate_per_s

    def _missing(
        self, usage: Usage, organisation: Organisation, amount: float
    ) -> float:
        """Return what both buckets lack to cover an amount.

        A request larger than their joint capacity is admitted when both are full.
        """
        capacity = organisation.burst + self._pace(organisation) * PACE_BUCKET_S
        return min(amount, capacity) - usage.burst_level - usage.pace_level

    def _wait_s(
        self, usage: Usage, organisation: Organisation, amount: float
    ) -> float | None:
        """Return None if both buckets cover an amount, else the seconds until then."""
        missing = self._missing(usage, organisation, amount)
        if missing <= 0:
            return None
        rate = organisation.rate_per_s + self._pace(organisation)
        return max(missing / rate, MIN_WAIT_S)

    def _usage_of(self, name: str) -> Usage:
        usage = self.usages.get(name)
        if usage is None:
            usage = Usage(
                everywhere=WindowSum(self.window_s),
                here=WindowSum(self.window_s),
                local=WindowSum(self.window_s),
                recent=WindowSum(MIN_REPORT_DELAY_S),
                part=LimitPart(
                    self.started_s, WindowSum(MIN_REPORT_DELAY_S), phase=self.phase
                ),
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
