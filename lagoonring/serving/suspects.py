"""Detection of requests that crash the endpoints on which they run.

A crash is counted against a request when its connection to an endpoint breaks before
the answer is complete. After crashes on three endpoints the request is refused
everywhere: a fourth crash would also break the requests of other callers there.
"""

from __future__ import annotations

from collections import OrderedDict, deque

MAX_CRASHES = 3
RECENT_CRASH_S = 2.0  # several rounds of the exchange, to survive a lost frame
MAX_RECENT_CRASHES = 200  # ~60 bytes each; a crashing engine breaks as many requests
MAX_SUSPECTS = 2000  # about 100 bytes each


class Suspects:
    """Crashed endpoints by the fingerprint of the request that they ran."""

    def __init__(self) -> None:
        self.crashes: OrderedDict[str, set[str]] = OrderedDict()
        self.recent: deque[tuple[float, str, str]] = deque(maxlen=MAX_RECENT_CRASHES)

    def record_crash(self, fingerprint: str, endpoint: str, now_s: float) -> int:
        """Count a crash; return the number of endpoints counted for the request."""
        self.recent.append((now_s, fingerprint, endpoint))
        return self._add(fingerprint, {endpoint})

    def record_success(self, fingerprint: str) -> None:
        """Clear the crashes of a request that was answered completely."""
        self.crashes.pop(fingerprint, None)

    def update_peer(
        self, crashes: dict[str, list[str]], now_s: float, *, forward: bool
    ) -> None:
        """Merge the crashes that a peer reported.

        Parameters
        ----------
        forward : bool
            Whether this instance forwards them to other instances.
        """
        for fingerprint, endpoints in crashes.items():
            known = self.crashes.get(fingerprint, set())
            new = [endpoint for endpoint in endpoints if endpoint not in known]
            if forward:
                self.recent.extend((now_s, fingerprint, endpoint) for endpoint in new)
            self._add(fingerprint, set(endpoints))

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether the request is refused everywhere."""
        return len(self.crashes.get(fingerprint, ())) >= MAX_CRASHES

    def count(self, fingerprint: str) -> int:
        """Return the number of endpoints that the request is known to have crashed."""
        return len(self.crashes.get(fingerprint, ()))

    def recent_crashes(self, now_s: float) -> dict[str, list[str]]:
        """Return the crashes counted or received recently, to be sent to peers."""
        while self.recent and now_s - self.recent[0][0] > RECENT_CRASH_S:
            self.recent.popleft()
        recent: dict[str, list[str]] = {}
        for _, fingerprint, endpoint in self.recent:
            recent.setdefault(fingerprint, []).append(endpoint)
        return recent

    def _add(self, fingerprint: str, endpoints: set[str]) -> int:
        known = self.crashes.setdefault(fingerprint, set())
        known |= endpoints
        self.crashes.move_to_end(fingerprint)
        while len(self.crashes) > MAX_SUSPECTS:
            self.crashes.popitem(last=False)
        return len(known)
