"""Results of a service's requests before it moves to another version.

While a service moves, its old version may be disturbed, and then shows little of what
a version should achieve. What it achieved before the move is a second standard.
"""

from __future__ import annotations

import attrs

HALF_LIFE_S = 10.0  # of results; a move is judged within some tens of seconds
MAX_ROUTES = 32  # of a service
MIN_RESULTS = 1.0  # decayed, of a route that is reported


@attrs.define
class UsualCounts:
    """Decayed numbers of results on a route, as of ``at_s``."""

    at_s: float
    n_ok: float = 0.0
    n_failed: float = 0.0

    def decay(self, now_s: float) -> None:
        """Decay the counts to the current time."""
        factor = 0.5 ** (max(now_s - self.at_s, 0.0) / HALF_LIFE_S)
        self.at_s = now_s
        self.n_ok *= factor
        self.n_failed *= factor


class UsualResults:
    """Results at this instance, by service and route."""

    def __init__(self) -> None:
        self.services: dict[str, dict[str, UsualCounts]] = {}

    def record(self, service: str, route: str, now_s: float, *, ok: bool) -> None:
        """Count a result."""
        routes = self.services.setdefault(service, {})
        if route not in routes and len(routes) >= MAX_ROUTES:
            return
        counts = routes.setdefault(route, UsualCounts(now_s))
        counts.decay(now_s)
        counts.n_ok += ok
        counts.n_failed += not ok

    def read(self, service: str, now_s: float) -> dict[str, tuple[int, int]]:
        """Return the successes and failures by route."""
        counts = self.services.get(service, {})
        for one in counts.values():
            one.decay(now_s)
        return {
            route: (round(one.n_ok), round(one.n_failed))
            for route, one in counts.items()
            if one.n_ok + one.n_failed >= MIN_RESULTS
        }


@attrs.define(eq=False)
class UsualRecorder:
    """Records the result of one attempt while the service does not move."""

    results: UsualResults
    service: str
    route: str

    def record_event(self, now_s: float) -> None:
        """Do nothing; only the end of an attempt counts."""

    def record_end(self, now_s: float, *, ok: bool) -> None:
        """Record the end of an attempt that the endpoint has run."""
        self.results.record(self.service, self.route, now_s, ok=ok)

    def record_given_up(self, now_s: float) -> None:
        """Do nothing; without an answer there is no result."""
