"""Tells the first cut of a crash from those that follow it."""

from __future__ import annotations

import math

import attrs

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
