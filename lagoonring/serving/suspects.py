"""Detection of requests that crash the endpoints on which they run.

A crash is counted against a request when its connection to an endpoint breaks before
the answer is complete. After crashes on three endpoints the request is blocked, that
is, refused everywhere: a fourth crash would also break the requests of other callers
there. Instances go on telling each other what is blocked, so that those that start
later, or were cut off, learn of it.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_CRASHES = 3
BLOCK_S = 600.0  # after the last crash; by then a version may have been repaired
SOUND_S = 30.0  # for which a complete answer outweighs what others report
RECENT_S = 2.0  # several rounds of the exchange, to survive a lost frame
MAX_RECENT_CRASHES = 200  # ~60 bytes each; a crashing engine breaks as many requests
MAX_SUSPECTS = 2000  # about 100 bytes each
MAX_BLOCKED = 500
MAX_SHARED = 8  # blocked requests in a message, about 40 bytes each

# Ages in ms by fingerprint: of the last crash of blocked requests, and of complete
# answers to requests that were suspected.
SuspectAges = tuple[dict[str, int], dict[str, int]]

logger = make_logger("suspects")


class Suspects:
    """Crashed endpoints by the fingerprint of the request that they ran.

    Attributes
    ----------
    crashes : dict
        Names of the crashed endpoints, by request.
    blocked : dict
        When the last crash was, by request that is refused. The request that was
        shared with other instances longest ago comes first.
    sound : dict
        When a suspected request was last answered completely.
    """

    def __init__(self) -> None:
        self.crashes: OrderedDict[str, set[str]] = OrderedDict()
        self.blocked: OrderedDict[str, float] = OrderedDict()
        self.sound: OrderedDict[str, float] = OrderedDict()
        self.recent: deque[tuple[float, str, str]] = deque(maxlen=MAX_RECENT_CRASHES)

    def record_crash(self, fingerprint: str, endpoint: str, now_s: float) -> int:
        """Count a crash; return the number of endpoints counted for the request."""
        self.recent.append((now_s, fingerprint, endpoint))
        return self._add(fingerprint, {endpoint}, now_s)

    def record_success(self, fingerprint: str, now_s: float) -> None:
        """Clear the crashes of a request that was answered completely."""
        if fingerprint in self.crashes or fingerprint in self.blocked:
            self._clear(fingerprint, now_s)

    def update_peer(
        self,
        crashes: dict[str, list[str]],
        ages: SuspectAges,
        now_s: float,
        *,
        forward: bool,
    ) -> None:
        """Merge what a peer reported.

        Parameters
        ----------
        forward : bool
            Whether this instance forwards crashes to other instances.
        """
        blocked, sound = ages
        for fingerprint, age_ms in sound.items():
            at_s = now_s - age_ms / 1e3
            if at_s > self.sound.get(fingerprint, float("-inf")) + RECENT_S:
                self._clear(fingerprint, at_s)
        for fingerprint, endpoints in crashes.items():
            if self._is_sound(fingerprint, now_s):
                continue
            known = self.crashes.get(fingerprint, set())
            new = [endpoint for endpoint in endpoints if endpoint not in known]
            if forward:
                self.recent.extend((now_s, fingerprint, endpoint) for endpoint in new)
            if new:
                self._add(fingerprint, set(new), now_s)
        self.restore({name: age / 1e3 for name, age in blocked.items()}, now_s)

    def restore(self, blocked: Mapping[str, float], now_s: float) -> None:
        """Block requests that were blocked elsewhere; values are ages in seconds."""
        for fingerprint, age_s in blocked.items():
            if age_s < BLOCK_S and not self._is_sound(fingerprint, now_s):
                self._block(fingerprint, now_s - age_s, source="other instances")

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request is refused everywhere."""
        crashed_s = self.blocked.get(fingerprint, float("-inf"))
        return now_s - crashed_s < BLOCK_S

    def ages_of_blocked(self, now_s: float) -> dict[str, float]:
        """Return the seconds since the last crash of each request that is blocked."""
        return {
            fingerprint: now_s - crashed_s
            for fingerprint, crashed_s in self.blocked.items()
            if now_s - crashed_s < BLOCK_S
        }

    def recent_crashes(self, now_s: float) -> dict[str, list[str]]:
        """Return the crashes counted or received recently, to be sent to peers."""
        while self.recent and now_s - self.recent[0][0] > RECENT_S:
            self.recent.popleft()
        recent: dict[str, list[str]] = {}
        for _, fingerprint, endpoint in self.recent:
            if fingerprint in self.crashes:
                recent.setdefault(fingerprint, []).append(endpoint)
        return recent

    def take_ages(self, now_s: float) -> SuspectAges:
        """Return what peers have to know; blocked requests take turns."""
        ages_s = self.ages_of_blocked(now_s)
        shared = list(ages_s)[:MAX_SHARED]
        for fingerprint in shared:
            self.blocked.move_to_end(fingerprint)
        newest = list(self.sound.items())[-MAX_SHARED:]
        return (
            {fingerprint: round(ages_s[fingerprint] * 1e3) for fingerprint in shared},
            {
                fingerprint: round((now_s - at_s) * 1e3)
                for fingerprint, at_s in newest
                if now_s - at_s <= RECENT_S
            },
        )

    def _is_sound(self, fingerprint: str, now_s: float) -> bool:
        return now_s - self.sound.get(fingerprint, float("-inf")) < SOUND_S

    def _clear(self, fingerprint: str, at_s: float) -> None:
        self._release(fingerprint)
        self.sound[fingerprint] = at_s
        self.sound.move_to_end(fingerprint)
        _trim(self.sound, MAX_SUSPECTS)

    def _release(self, fingerprint: str) -> None:
        self.crashes.pop(fingerprint, None)
        if self.blocked.pop(fingerprint, None) is not None:
            logger.info("Request released.", extra={"fingerprint": fingerprint})

    def _add(self, fingerprint: str, endpoints: set[str], now_s: float) -> int:
        known = self.crashes.setdefault(fingerprint, set())
        known |= endpoints
        self.crashes.move_to_end(fingerprint)
        _trim(self.crashes, MAX_SUSPECTS)
        if len(known) >= MAX_CRASHES or fingerprint in self.blocked:
            self._block(fingerprint, now_s, source="crashes")
        return len(known)

    def _block(self, fingerprint: str, crashed_s: float, *, source: str) -> None:
        known_s = self.blocked.get(fingerprint)
        # Reports are late; each would otherwise make the crash look younger.
        if known_s is None or crashed_s > known_s + RECENT_S:
            self.blocked[fingerprint] = crashed_s
        if known_s is None:
            _trim(self.blocked, MAX_BLOCKED)
            logger.warning(
                "Request blocked.",
                extra={
                    "fingerprint": fingerprint,
                    "source": source,
                    "endpoints": sorted(self.crashes.get(fingerprint, ())),
                },
            )


def _trim(entries: OrderedDict, n_most: int) -> None:
    while len(entries) > n_most:
        entries.popitem(last=False)
