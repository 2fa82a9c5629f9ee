"""Which failed attempts say something of a version.

Of the cuts of a crash the first counts, those that follow it do not; a failure
by the request itself does not count either.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.routing.messages import AttemptResult

CAUSE_SUSPECT = "suspect"
N_KEPT = 1024


@attrs.define(kw_only=True)
class CutWindow:
    """Cuts of one endpoint and version within ``window_s`` are one event."""

    window_s: float
    seen_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def is_repeated(self, endpoint: str, version: str, now_s: float) -> bool:
        """Return whether a cut belongs to one that was counted before."""
        key = (endpoint, version)
        if now_s - self.seen_s.get(key, -math.inf) < self.window_s:
            return True
        self.seen_s.pop(key, None)
        self.seen_s[key] = now_s
        while len(self.seen_s) > N_KEPT:
            del self.seen_s[next(iter(self.seen_s))]
        return False


def is_excused(result: AttemptResult, caused_by_request: bool) -> bool:
    """Return whether a failure says nothing of the version.

    A suspect is not excused, or a version that crashes its endpoints would not
    show.
    """
    if result.cause:
        return result.cause != CAUSE_SUSPECT
    return caused_by_request
