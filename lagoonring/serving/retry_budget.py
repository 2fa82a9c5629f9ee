"""Retry budget of a service; pure data without I/O.

When many endpoints fail or lose answers, retries beyond a share of the requests would
add load where there is least capacity for it.
"""

from __future__ import annotations

from collections import deque
from typing import Any

import attrs

# Shares of the budget that a process uses: together less than one, since a process that
# was killed may have used its whole share just before the next one starts.
USUAL_SHARE = 0.6
START_SHARE = 0.3  # in the first window of a process


@attrs.define
class Window:
    """Times of the requests and retries in the last window, in seconds."""

    requests: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)


@attrs.define(kw_only=True)
class RetryBudget:
    """This instance's part of the retry budget that all instances share.

    Parameters
    ----------
    ratio, slack : float
        All instances together may send ``ratio`` times the requests plus ``slack``
        retries in a window.
    window_s : float
        Length of the sliding window.
    started_s : float
        Start time of the process, on the clock that the ``now_s`` arguments use.
    """

    ratio: float
    slack: float
    window_s: float
    started_s: float
    windows: dict[str, Window] = attrs.field(init=False, factory=dict)

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request for a service."""
        window = self.windows.setdefault(service, Window())
        window.requests.append(now_s)
        self._expire(window, now_s)

    def take(self, service: str, now_s: float, part: float) -> bool:
        """Take one retry from the budget; return False if none is left.

        ``part`` is this instance's part of the slack; the parts of all instances add
        up to one at most.
        """
        window = self.windows.setdefault(service, Window())
        self._expire(window, now_s)
        if len(window.retries) + 1 > self._allowed(window, now_s, part):
            return False
        window.retries.append(now_s)
        return True

    def _allowed(self, window: Window, now_s: float, part: float) -> float:
        """Return how many retries this process may send in a window.

        The slack comes to a young process little by little, so that several that
        follow each other within a window don't add up.
        """
        earned = self.ratio * len(window.requests)
        slack = self.slack * part
        age = (now_s - self.started_s) / self.window_s
        if age < 1:
            return START_SHARE * (earned + age * slack)
        return USUAL_SHARE * (earned + slack)

    def describe(self, service: str, part: float) -> dict[str, Any]:
        """Return what the last decision for a service was based on."""
        window = self.windows.setdefault(service, Window())
        return {
            "n_requests": len(window.requests),
            "n_retries": len(window.retries),
            "ratio": self.ratio,
            "slack": self.slack,
            "part": round(part, 4),
        }

    def _expire(self, window: Window, now_s: float) -> None:
        oldest_s = now_s - self.window_s
        for times in (window.requests, window.retries):
            while times and times[0] < oldest_s:
                times.popleft()
