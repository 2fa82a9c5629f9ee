"""Counts the instances that are reachable, and the data centres that reported.

A hub receives messages from the instances of its data centre and from the other hubs;
the other instances rely on the counts in their hub's last digest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.serving.members import FORGET_S, MEMBER_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from lagoonring.serving.members import Members
    from lagoonring.serving.messages import Digest, Summary

DISCOVERY_S = 1.0  # several rounds, in which other instances would normally report
START_SHARE = 1 / 8  # of a usual deployment whose instances start together
N_ASSUMED_LOCAL = 3  # instances of a usual data centre


@attrs.define
class CentreState:
    """Counts in the last summary of another data centre's hub."""

    n_heard: int
    n_known: int
    seen_s: float

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the summary came within ``MEMBER_TIMEOUT_S``."""
        return now_s - self.seen_s < MEMBER_TIMEOUT_S


class Reachability:
    """Tracks which part of all instances is reachable from one instance.

    Parameters
    ----------
    data_centres : collection of str
        All data centres of the deployment, from the settings.
    started_s : float
        Start time of this process, on the clock that the ``now_s`` arguments use.
    """

    def __init__(
        self, members: Members, data_centres: Collection[str], *, started_s: float
    ) -> None:
        self.members = members
        self.data_centres = data_centres
        self.started_s = started_s
        self.centres: dict[str, CentreState] = {}
        self.digest: Digest | None = None
        self.digest_s = float("-inf")

    def record_summary(self, summary: Summary, now_s: float) -> None:
        """Record the counts of another data centre's hub."""
        self.centres[summary.card.data_centre] = CentreState(
            summary.n_heard, summary.n_known, now_s
        )

    def record_digest(self, digest: Digest, now_s: float) -> None:
        """Record the last digest of this data centre's hub."""
        self.digest, self.digest_s = digest, now_s

    def forget_centres(self) -> list[str]:
        """Drop and return the data centres without any known instance."""
        unknown = [name for name in self.centres if self.members.hub(name) is None]
        for name in unknown:
            del self.centres[name]
        return unknown

    def count(self, now_s: float) -> tuple[int, int]:
        """Return how many instances of all data centres are reachable, and known."""
        if not self.members.is_hub():
            if self.digest is None:
                return 1, 1
            is_fresh = now_s - self.digest_s < MEMBER_TIMEOUT_S
            return self.digest.n_heard if is_fresh else 1, self.digest.n_known
        n_heard, n_known = self.members.count_local(now_s)
        for state in self.centres.values():
            n_known += state.n_known
            n_heard += state.n_heard if state.is_fresh(now_s) else 0
        return n_heard, n_known

    def share(self, now_s: float) -> float:
        """Return the share of the known instances that are reachable now.

        A process that has just started assumes that there are undiscovered instances,
        and a young one that there are some in each data centre, which may be cut off.
        """
        n_heard, n_known = self.count(now_s)
        age_s = now_s - self.started_s
        if age_s >= FORGET_S:
            return n_heard / n_known
        if n_known == 1 and age_s < DISCOVERY_S:
            return START_SHARE
        n_centres = 1 + len(self._known_centres())
        return n_heard / n_known * n_centres / max(len(self.data_centres), 1)

    def part(self, now_s: float) -> float:
        """Return this instance's part of what all instances may use together.

        Data centres have equal parts, and so have the instances of each. The parts add
        up to one at most also while instances don't hear of other data centres. A young
        process that knows of no other here assumes that there are some.
        """
        n_local = 1 + len(self.members.local()) + self.n_unknown_local(now_s)
        return 1 / (n_local * max(len(self.data_centres), 1))

    def n_unknown_local(self, now_s: float) -> int:
        """Return how many instances a young process assumes that knows none here."""
        is_young = now_s - self.started_s < FORGET_S
        return N_ASSUMED_LOCAL - 1 if is_young and not self.members.local() else 0

    def is_complete(self, now_s: float) -> bool:
        """Return whether there is no need to contact the seeds.

        A hub needs a fresh summary of every other data centre, and must have heard
        another local instance at some time; other instances need a fresh digest.
        """
        if not self.members.is_hub():
            return now_s - self.digest_s < MEMBER_TIMEOUT_S
        reachable = {
            name for name, state in self.centres.items() if state.is_fresh(now_s)
        }
        missing = set(self.data_centres) - reachable - {self.members.me.data_centre}
        return not missing and any(
            member.seen_s is not None for member in self.members.local()
        )

    def has_local_reports(self, since_s: float, now_s: float) -> bool:
        """Return whether the reachable local instances reported since a time."""
        return all(
            member.seen_s is not None and member.seen_s >= since_s
            for member in self.members.present(now_s)
        )

    def all_reported_since(self, at_s: float) -> bool:
        """Return whether all instances reported since a time."""
        local_s = (
            member.seen_s
            for member in self.members.local()
            if member.seen_s is not None
        )
        return all(seen_s >= at_s for seen_s in local_s) and all(
            state.seen_s >= at_s and state.n_heard == state.n_known
            for state in self.centres.values()
        )

    def _known_centres(self) -> Collection[str]:
        if self.members.is_hub():
            return self.centres
        return {card.data_centre for card in self.members.other_hubs()}
