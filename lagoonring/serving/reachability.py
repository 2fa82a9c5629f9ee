"""How many instances are heard, over plain data.

A hub hears the instances of its data centre and the other hubs; the other instances
know what their hub's last digest says.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.serving.members import MEMBER_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from lagoonring.serving.members import Members
    from lagoonring.serving.messages import Digest, Summary

DISCOVERY_S = 1.0  # several rounds; after it there is probably no other instance
START_SHARE = 1 / 8  # as in a deployment of the usual size, started all at once


@attrs.define
class CentreState:
    """What another data centre's hub told last."""

    n_heard: int
    n_known: int
    last_seen_s: float

    def is_fresh(self, now_s: float) -> bool:
        """Whether it was told lately."""
        return now_s - self.last_seen_s < MEMBER_TIMEOUT_S


class Reachability:
    """Which part of all instances one instance hears.

    Parameters
    ----------
    data_centres : collection of str
        All of the deployment, as the settings tell.
    started_s : float
        When this process started, on the clock of the calls.
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

    def note_summary(self, summary: Summary, now_s: float) -> None:
        """Take in what another data centre's hub tells."""
        self.centres[summary.card.data_centre] = CentreState(
            summary.n_heard, summary.n_known, now_s
        )

    def note_digest(self, digest: Digest, now_s: float) -> None:
        """Take in what this data centre's hub tells."""
        self.digest, self.digest_s = digest, now_s

    def forget_centres(self) -> list[str]:
        """Drop and return the data centres of which no instance is known any more."""
        gone = [name for name in self.centres if self.members.hub(name) is None]
        for name in gone:
            del self.centres[name]
        return gone

    def count(self, now_s: float) -> tuple[int, int]:
        """Return the instances of all data centres: heard now, and known."""
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
        """Return the share of the known instances that are heard now.

        A process that has just started assumes others that it has not heard yet.
        """
        n_heard, n_known = self.count(now_s)
        if now_s - self.started_s >= DISCOVERY_S:
            return n_heard / n_known
        if n_known == 1:
            return START_SHARE
        n_centres = 1 + len(self._known_centres())
        return n_heard / n_known * n_centres / max(len(self.data_centres), 1)

    def is_complete(self, now_s: float) -> bool:
        """Whether all data centres are heard, and others of this one."""
        if not self.members.is_hub():
            return now_s - self.digest_s < MEMBER_TIMEOUT_S
        heard = {name for name, it in self.centres.items() if it.is_fresh(now_s)}
        missing = set(self.data_centres) - heard - {self.members.me.data_centre}
        return not missing and any(
            it.last_seen_s is not None for it in self.members.local()
        )

    def all_reported_since(self, at_s: float) -> bool:
        """Whether all instances told their news after a time."""
        local_s = (
            it.last_seen_s for it in self.members.local() if it.last_seen_s is not None
        )
        return all(last_seen_s >= at_s for last_seen_s in local_s) and all(
            state.last_seen_s >= at_s and state.n_heard == state.n_known
            for state in self.centres.values()
        )

    def _known_centres(self) -> Collection[str]:
        if self.members.is_hub():
            return self.centres
        return {card.data_centre for card in self.members.other_hubs()}
