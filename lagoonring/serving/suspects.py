"""Requests that crash the endpoints that run them, over plain data.

A request counts a crash at an endpoint when its connection breaks there before
its answer is whole. Three endpoints are enough to refuse it everywhere: a fourth
would cost the requests of other callers that run there.
"""

from __future__ import annotations

from collections import OrderedDict, deque

N_CRASHES_MOST = 3
NEWS_S = 2.0  # several rounds of the exchange, so that a lost frame does no harm
N_NEWS_MOST = 200  # some 60 bytes each; an engine that crashes breaks as many requests
N_SUSPECTS_MOST = 2000  # some 100 bytes each


class Suspects:
    """Endpoints that broke off, by the fingerprint of the request."""

    def __init__(self) -> None:
        self.crashes: OrderedDict[str, set[str]] = OrderedDict()
        self.news: deque[tuple[float, str, str]] = deque(maxlen=N_NEWS_MOST)

    def record_crash(self, fingerprint: str, endpoint: str, now_s: float) -> int:
        """Count a broken attempt; return the endpoints counted so far."""
        self.news.append((now_s, fingerprint, endpoint))
        return self._add(fingerprint, {endpoint})

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that was answered in full."""
        self.crashes.pop(fingerprint, None)

    def update_peer(
        self, crashes: dict[str, list[str]], now_s: float, *, forward: bool
    ) -> None:
        """Take in what a peer has counted lately.

        Parameters
        ----------
        passes_on : bool
            Whether others hear of it through this instance.
        """
        for fingerprint, endpoints in crashes.items():
            known = self.crashes.get(fingerprint, set())
            new = [endpoint for endpoint in endpoints if endpoint not in known]
            if forward:
                self.news.extend((now_s, fingerprint, endpoint) for endpoint in new)
            self._add(fingerprint, set(endpoints))

    def is_blocked(self, fingerprint: str) -> bool:
        """Whether the request may run nowhere any more."""
        return len(self.crashes.get(fingerprint, ())) >= N_CRASHES_MOST

    def count(self, fingerprint: str) -> int:
        """Return the endpoints that the request is known to have broken."""
        return len(self.crashes.get(fingerprint, ()))

    def recent_crashes(self, now_s: float) -> dict[str, list[str]]:
        """Return what was counted or heard lately, for several rounds of telling."""
        while self.news and now_s - self.news[0][0] > NEWS_S:
            self.news.popleft()
        told: dict[str, list[str]] = {}
        for _, fingerprint, endpoint in self.news:
            told.setdefault(fingerprint, []).append(endpoint)
        return told

    def _add(self, fingerprint: str, endpoints: set[str]) -> int:
        known = self.crashes.setdefault(fingerprint, set())
        known |= endpoints
        self.crashes.move_to_end(fingerprint)
        while len(self.crashes) > N_SUSPECTS_MOST:
            self.crashes.popitem(last=False)
        return len(known)
