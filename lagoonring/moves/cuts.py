"""Decides which failed attempts count against a version.

When an endpoint crashes, all its connections are cut; only the first cut counts.
Failures that the request itself caused don't count.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.routing.messages import AttemptResult

CAUSE_SUSPECT = "suspect"
MAX_CUTS = 1024


@attrs.define(kw_only=True)
class CutWindow:
    """Treats cuts of one endpoint and version within ``window_s`` as one event."""

    window_s: float
    counted_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def is_repeated(self, endpoint: str, version: str, now_s: float) -> bool:
        """Return whether a cut belongs to an event that was already counted."""
        key = (endpoint, version)
        if now_s - self.counted_s.get(key, -math.inf) < self.window_s:
            return True
        self.counted_s.pop(key, None)
        self.counted_s[key] = now_s
        while len(self.counted_s) > MAX_CUTS:
            del self.counted_s[next(iter(self.counted_s))]
        return False


def is_unrelated(result: AttemptResult, caused_by_request: bool) -> bool:
    """Return whether a failure is unrelated to the version.

    A failure whose request is only suspected counts against the version. Otherwise
    a version that crashes its endpoints would not be detected.
    """
    if result.cause:
        return result.cause != CAUSE_SUSPECT
    return caused_by_request
