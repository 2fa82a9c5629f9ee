"""Bounds the repeated sends of a service, over plain data.

Answers endpoints that fail or lose answers in numbers: repeats beyond a share of
the requests would add load where there is least room for it.
"""

from __future__ import annotations

from collections import deque

import attrs

SAFETY = 0.7  # of the shared budget; callers are spread unevenly over instances


@attrs.define
class Window:
    """Times of requests and repeats in the last window, in seconds."""

    requests: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)


@attrs.define(kw_only=True)
class RepeatBudget:
    """This instance's part of the repeats that all instances may send.

    Parameters
    ----------
    ratio, slack : float
        Repeats per window of all instances: the ratio of the requests, and
        the slack beside it.
    window_s : float
        Length of the window.
    """

    ratio: float
    slack: float
    window_s: float
    windows: dict[str, Window] = attrs.field(init=False, factory=dict)

    def note_request(self, service: str, now_s: float) -> None:
        """Count a request for a service."""
        window = self.windows.setdefault(service, Window())
        window.requests.append(now_s)
        self._expire(window, now_s)

    def take(self, service: str, now_s: float, n_instances: int) -> bool:
        """Count a repeat; return False, counting nothing, if none is left."""
        window = self.windows.setdefault(service, Window())
        self._expire(window, now_s)
        allowed = self.ratio * len(window.requests) + self.slack / max(n_instances, 1)
        if len(window.repeats) + 1 > SAFETY * allowed:
            return False
        window.repeats.append(now_s)
        return True

    def _expire(self, window: Window, now_s: float) -> None:
        oldest_s = now_s - self.window_s
        for times in (window.requests, window.repeats):
            while times and times[0] < oldest_s:
                times.popleft()
