"""Retry budget of a service; pure data without I/O.

When many endpoints fail or lose answers, retries beyond a share of the requests would
add load where there is least capacity for it.

All instances together may send, in any window, ``ratio`` times the requests of that
window or of the one before it, whichever has more, plus ``slack``. A process can't know
which window will be judged, and takes the least that any window allows. It weighs the
requests of the two windows; as all processes use the same weights, which add up to
one, their sum stays below the larger of the two, whoever received the requests.
"""

from __future__ import annotations

from collections import deque
from itertools import accumulate
from typing import Any

import attrs

BEFORE_WEIGHT = 0.6  # of a request in the window before the one that is judged
WITHIN_WEIGHT = 0.4  # of a request in that window
N_SLOTS = 40  # resolution of a window

# Shares of its part of the slack that a process uses: together less than one, since a
# process that was killed may have used its share just before the next one starts.
USUAL_SLACK_SHARE = 0.6
START_SLACK_SHARE = 0.3  # in the first window of a process


@attrs.define
class History:
    """Requests by slot, and times of the retries in the last window, in seconds."""

    requests: dict[int, int] = attrs.field(factory=dict)
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
    histories: dict[str, History] = attrs.field(init=False, factory=dict)

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request for a service."""
        requests = self._history(service, now_s).requests
        slot = self._slot(now_s)
        if slot not in requests:
            for old in [old for old in requests if old <= slot - 2 * N_SLOTS]:
                del requests[old]
        requests[slot] = requests.get(slot, 0) + 1

    def take(self, service: str, now_s: float, part: float) -> bool:
        """Take one retry from the budget; return False if none is left.

        ``part`` is this instance's part of the slack; the parts of all instances add
        up to one at most.
        """
        history = self._history(service, now_s)
        if len(history.retries) + 1 > self._allowed(history, now_s, part):
            return False
        history.retries.append(now_s)
        return True

    def release(self, service: str, taken_s: float) -> None:
        """Return a retry that was taken and not sent."""
        history = self._history(service, taken_s)
        if taken_s in history.retries:
            history.retries.remove(taken_s)

    def describe(self, service: str, now_s: float, part: float) -> dict[str, Any]:
        """Return what the last decision for a service was based on."""
        history = self._history(service, now_s)
        return {
            "n_requests": sum(history.requests.values()),
            "n_retries": len(history.retries),
            "n_allowed": round(self._allowed(history, now_s, part), 2),
            "ratio": self.ratio,
            "slack": self.slack,
            "part": round(part, 4),
        }

    def _allowed(self, history: History, now_s: float, part: float) -> float:
        """Return how many retries this process may send in a window.

        The slack comes to a young process little by little, so that several that
        follow each other within a window don't add up.
        """
        age = (now_s - self.started_s) / self.window_s
        share = START_SLACK_SHARE * age if age < 1 else USUAL_SLACK_SHARE
        earned = self.ratio * self._least_requests(history.requests, now_s)
        return earned + self.slack * part * share

    def _least_requests(self, requests: dict[int, int], now_s: float) -> float:
        """Return the weighted requests of the window that has the least of them.

        The windows are those that contain the present. A slot in which a window
        begins counts for the smaller weight, one in which the window before begins
        not at all.
        """
        last = self._slot(now_s)
        slots = range(last - 2 * N_SLOTS + 1, last + 1)
        sums = [0, *accumulate(requests.get(slot, 0) for slot in slots)]
        return min(
            BEFORE_WEIGHT * (sums[start] - sums[start - N_SLOTS + 1])
            + WITHIN_WEIGHT * (sums[-1] - sums[start])
            for start in range(N_SLOTS - 1, 2 * N_SLOTS)
        )

    def _slot(self, now_s: float) -> int:
        return int(now_s * N_SLOTS // self.window_s)

    def _history(self, service: str, now_s: float) -> History:
        history = self.histories.setdefault(service, History())
        while history.retries and history.retries[0] < now_s - self.window_s:
            history.retries.popleft()
        return history
