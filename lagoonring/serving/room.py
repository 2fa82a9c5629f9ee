"""How much work is asked of each service, by level, and how far down room reaches.

Answers the load in which callers ask for several times what the engines can do, for
seconds: what is admitted must not exceed what they do, or all of it is answered late.
A level is a rank, and within it first the organisations that keep to their share. The
sums over all instances travel in the reports, summaries and digests. They are some
tenths of a second old, so an instance assumes that the others have sent since as much
as itself.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lagoonring.serving.demand import Rate

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonring.kernel import Clock
    from lagoonring.serving.messages import Source

# Seconds of endpoints' time asked for per second, by service and level.
Asked = dict[str, dict[int, float]]

HALF_LIFE_S = 0.5  # about the delay of the sums, so that they follow a burst at once
MAX_AGE_S = 2.0  # of sums; then a lost hub has been replaced
MAX_USE = 0.9  # of the endpoints; the rest is for the tokens of running requests
BACKLOG_S = 1.2  # within which a queue is to be drained or filled
MIN_RATE = 0.001


def admitted_share(asked: Mapping[int, float], room: float, level: int) -> float:
    """Return the share of a level's requests that there is room for.

    Parameters
    ----------
    asked : mapping
        Work asked for by level, in endpoints that are fully busy with it.
    room : float
        Endpoints' worth of work that can be done.
    """
    above = sum(rate for other, rate in asked.items() if other < level)
    own = asked.get(level, 0.0)
    if own <= 0:
        return 1.0
    return min(max((room - above) / own, 0.0), 1.0)


def room_of(n_endpoints: float, *, queue_s: float, target_s: float) -> float:
    """Return the work that may be admitted per second, in typical endpoints.

    Parameters
    ----------
    n_endpoints : float
        Endpoints, in typical ones.
    queue_s, target_s : float
        Mean time until an endpoint has done what it has already, and the one wanted.
    """
    per_endpoint = MAX_USE - (queue_s - target_s) / BACKLOG_S
    return n_endpoints * max(per_endpoint, 0.0)


class Room:
    """Work asked for by this instance's callers and by all, and what was sent here."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rates: dict[str, dict[int, Rate]] = {}
        self.peers: dict[Source, tuple[float, Asked]] = {}
        self.everywhere: tuple[float, Asked] = (float("-inf"), {})
        self.sent: dict[str, deque[tuple[float, float]]] = {}

    def record_arrival(self, service: str, level: int, seconds: float) -> None:
        """Count a request that takes ``seconds`` of an endpoint's time."""
        levels = self.rates.setdefault(service, {})
        rate = levels.setdefault(level, Rate(half_life_s=HALF_LIFE_S))
        rate.add(seconds, self.clock.monotonic())

    def record_sent(self, service: str, seconds: float) -> None:
        """Count the work of a request that is sent."""
        sent = self.sent.setdefault(service, deque())
        now_s = self.clock.monotonic()
        sent.append((now_s, seconds))
        while sent and sent[0][0] < now_s - MAX_AGE_S:
            sent.popleft()

    def sent_since(self, service: str, since_s: float) -> float:
        """Return the work that this instance sent since a time."""
        return sum(
            seconds for at_s, seconds in self.sent.get(service, ()) if at_s >= since_s
        )

    def own(self) -> Asked:
        """Return the work that this instance's callers ask for."""
        now_s = self.clock.monotonic()
        asked: Asked = {}
        for service, levels in self.rates.items():
            rates = {
                level: round(rate.read(now_s), 3) for level, rate in levels.items()
            }
            asked[service] = {
                level: rate for level, rate in rates.items() if rate >= MIN_RATE
            }
        return {service: levels for service, levels in asked.items() if levels}

    def local(self) -> Asked:
        """Return the sums over the instances of this data centre."""
        fresh = self._fresh()
        return add_asked(self.own(), *(asked for s, asked in fresh if s.is_local))

    def total(self) -> Asked:
        """Return the sums over all instances, as far as they are known here."""
        at_s, asked = self.everywhere
        if self.clock.monotonic() - at_s < MAX_AGE_S:
            return asked
        return add_asked(self.own(), *(asked for _, asked in self._fresh()))

    def update_peer(self, source: Source, asked: Asked) -> None:
        """Replace what the callers of a peer ask for."""
        self.peers[source] = (self.clock.monotonic(), asked)

    def update_total(self, asked: Asked) -> None:
        """Replace the sums over all instances by those of the hub."""
        self.everywhere = (self.clock.monotonic(), asked)

    def reset(self) -> None:
        """Discard received sums when the hub role changes."""
        self.peers.clear()
        self.everywhere = (float("-inf"), {})

    def _fresh(self) -> list[tuple[Source, Asked]]:
        now_s = self.clock.monotonic()
        return [
            (source, asked)
            for source, (at_s, asked) in self.peers.items()
            if now_s - at_s < MAX_AGE_S
        ]


def add_asked(*sums: Asked) -> Asked:
    """Return the sums of what several sources ask for."""
    total: Asked = {}
    for asked in sums:
        for service, levels in asked.items():
            known = total.setdefault(service, {})
            for level, rate in levels.items():
                known[level] = round(known.get(level, 0.0) + rate, 3)
    return total
