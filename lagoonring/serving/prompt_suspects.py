"""Detection of prompt parts that crash the endpoints that answer on them.

Answers the load in which requests that share one part of their prompts crash each
endpoint that begins to answer them, at any instance, while sound requests share their
other parts. A crash cuts everything that runs on the endpoint, so the parts of all cut
requests are suspected. Three observations tell the culprit from the others:

- Parts of which answers were completed are sound.
- The culprit crashes endpoints one after the other. Many crashes at once are one
  event, whatever the requests there have in common.
- Crashes that another culprit explains say nothing.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import attrs

from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MIN_CRASHES = 3  # one after the other, to block a part
CERTAIN_CRASHES = 5  # to block it although another part is suspected as much
DOUBTFUL_CRASHES = 2  # one after the other; a cut request is then not sent on
SOUND_S = 30.0  # for which a completed answer proves a part sound
BLOCK_S = 600.0  # after the last crash; by then a version may have been repaired
SHARE_S = 2.0  # several rounds of the exchange, to survive a lost frame
MAX_SHARED_CUTS = 60  # in a message, about 30 bytes each
MAX_SHARED_BLOCKED = 16  # in a message, about 15 bytes each
MAX_RECENT_CUTS = 600  # of which those of the likeliest culprits are shared
MAX_SUSPECTS = 400  # about 1 kB each
MAX_SOUND = 8000  # about 200 bytes each
MAX_BLOCKED = 200

# Ages in ms: of cut requests (since the send and since the cut) by part and crashed
# endpoint, of the proof of sound parts, and of the last crash of blocked parts.
SuspectRows = tuple[
    dict[str, dict[str, tuple[int, int]]], dict[str, int], dict[str, int]
]

logger = make_logger("suspects")


@attrs.frozen
class Cut:
    """When a request was sent to an endpoint that crashed, and when it was cut."""

    sent_s: float
    cut_s: float


Cuts = dict[str, Cut]  # by crashed endpoint


def count_rounds(cuts: Iterable[Cut]) -> int:
    """Return the number of crashes of which each followed upon a new request."""
    n_rounds, last_cut_s = 0, float("-inf")
    for cut in sorted(cuts, key=lambda cut: cut.cut_s):
        if cut.sent_s >= last_cut_s:
            n_rounds += 1
            last_cut_s = cut.cut_s
    return n_rounds


def find_culprits(suspects: Mapping[str, Cuts], answered_s: float) -> set[str]:
    """Return the parts that crash endpoints.

    Parameters
    ----------
    suspects : mapping
        The cuts by part; those of sound parts are left out.
    answered_s : float
        When a request was last answered completely. Until one was answered after a
        part's first crash, it may be the endpoints that crash by themselves.
    """
    culprits: set[str] = set()
    explained: set[str] = set()
    while True:
        n_rounds = {
            part: count_rounds(cuts[name] for name in cuts.keys() - explained)
            for part, cuts in suspects.items()
            if part not in culprits and len(cuts) >= MIN_CRASHES
        }
        rivals = _find_rivals(suspects, n_rounds)
        found = {
            part
            for part, n in n_rounds.items()
            if n >= MIN_CRASHES
            and min(cut.cut_s for cut in suspects[part].values()) < answered_s
            and (n >= CERTAIN_CRASHES or part not in rivals)
        }
        if not found:
            return culprits
        most = max(n_rounds[part] for part in found)
        found = {part for part in found if n_rounds[part] == most}
        culprits |= found
        explained.update(*(suspects[part] for part in found))


def _find_rivals(suspects: Mapping[str, Cuts], n_rounds: Mapping[str, int]) -> set[str]:
    """Return the parts that share a crash with one that explains as many crashes."""
    by_endpoint: dict[str, list[int]] = {}
    for part, n in n_rounds.items():
        for endpoint in suspects[part]:
            by_endpoint.setdefault(endpoint, []).append(n)
    most = {endpoint: max(counts) for endpoint, counts in by_endpoint.items()}
    n_most = {
        endpoint: counts.count(most[endpoint])
        for endpoint, counts in by_endpoint.items()
    }
    return {
        part
        for part, n in n_rounds.items()
        if any(most[one] > n or n_most[one] > 1 for one in suspects[part])
    }


class PromptSuspects:
    """Parts of prompts by what happened to endpoints that answered on them.

    Attributes
    ----------
    suspects : dict
        Cuts by part and endpoint, of parts that are not known to be sound.
    sound : dict
        When an answer was last completed, by part.
    blocked : dict
        When the last crash was, by part of which requests are refused.
    answered_s : float
        When an answer was last completed here.
    crashed_s : float
        When a suspected part was last cut.
    is_assessed : bool
        Whether ``blocked`` accounts for all that is known.
    """

    def __init__(self) -> None:
        self.suspects: OrderedDict[str, Cuts] = OrderedDict()
        self.sound: OrderedDict[str, float] = OrderedDict()
        self.blocked: OrderedDict[str, float] = OrderedDict()
        self.answered_s = float("-inf")
        self.crashed_s = float("-inf")
        self.is_assessed = True
        self.recent_cuts: deque[tuple[float, str, str]] = deque(maxlen=MAX_RECENT_CUTS)
        self.recent_sound: OrderedDict[str, float] = OrderedDict()

    def record_crash(
        self, parts: Iterable[str], endpoint: str, *, sent_s: float, now_s: float
    ) -> None:
        """Record that a request was cut as an endpoint crashed."""
        for part in parts:
            if not self.is_sound(part, now_s):
                self._add(part, endpoint, Cut(sent_s, now_s), now_s, share=True)

    def record_answer(self, parts: Iterable[str], now_s: float) -> None:
        """Record that an answer was completed, or went on for long."""
        for part in parts:
            self._mark_sound(part, now_s)
        if self.answered_s < self.crashed_s:
            self.is_assessed = False
        self.answered_s = now_s

    def is_sound(self, part: str, now_s: float) -> bool:
        """Return whether an answer on the part was completed lately."""
        return now_s - self.sound.get(part, float("-inf")) < SOUND_S

    def find_blocked(self, parts: Iterable[str], now_s: float) -> str | None:
        """Return the first of the parts of which requests are refused, if any."""
        self._assess()
        for part in parts:
            crashed_s = self.blocked.get(part)
            if crashed_s is not None and now_s - crashed_s < BLOCK_S:
                return part
        return None

    def is_doubtful(self, parts: Iterable[str]) -> bool:
        """Return whether another attempt may crash yet another endpoint."""
        return any(
            part in self.blocked
            or count_rounds(self.suspects.get(part, {}).values()) >= DOUBTFUL_CRASHES
            for part in parts
        )

    def restore(self, blocked: Mapping[str, float], now_s: float) -> None:
        """Block parts that were blocked before; values are ages in seconds."""
        for part, age_s in blocked.items():
            is_doubted = age_s < BLOCK_S and not self.is_sound(part, now_s)
            if is_doubted and not self._is_explained(part):
                self._block(part, now_s - age_s, source="other instances")

    def ages_of_blocked(self, now_s: float) -> dict[str, float]:
        """Return the seconds since the last crash of each part that is blocked."""
        self._assess()
        return {
            part: now_s - crashed_s
            for part, crashed_s in self.blocked.items()
            if now_s - crashed_s < BLOCK_S
        }

    def rows(self, now_s: float) -> SuspectRows:
        """Return what other instances have to know."""
        while self.recent_cuts and now_s - self.recent_cuts[0][0] > SHARE_S:
            self.recent_cuts.popleft()
        recent = [
            (part, endpoint)
            for _, part, endpoint in self.recent_cuts
            if endpoint in self.suspects.get(part, ())
        ]
        # Parts that were cut most often are the likeliest culprits.
        recent.sort(key=lambda one: -len(self.suspects[one[0]]))
        cuts: dict[str, dict[str, tuple[int, int]]] = {}
        for part, endpoint in recent[:MAX_SHARED_CUTS]:
            cut = self.suspects[part][endpoint]
            ages = _age_ms(cut.sent_s, now_s), _age_ms(cut.cut_s, now_s)
            cuts.setdefault(part, {})[endpoint] = ages
        self.recent_sound = OrderedDict(
            (part, at_s)
            for part, at_s in self.recent_sound.items()
            if now_s - at_s <= SHARE_S
        )
        sound = {
            part: _age_ms(self.sound[part], now_s)
            for part in self.recent_sound
            if part in self.sound
        }
        newest = list(self.ages_of_blocked(now_s).items())[-MAX_SHARED_BLOCKED:]
        return cuts, sound, {part: round(age_s * 1e3) for part, age_s in newest}

    def update_peer(self, rows: SuspectRows, now_s: float, *, forward: bool) -> None:
        """Merge what a peer knows.

        Parameters
        ----------
        forward : bool
            Whether this instance forwards it to other instances.
        """
        cuts, sound, blocked = rows
        for part, age_ms in sound.items():
            self._hear_sound(part, now_s - age_ms / 1e3, now_s, forward=forward)
        for part in cuts.keys() | blocked.keys():
            if self.is_sound(part, now_s):
                self._share_sound(part, now_s)
        for part, by_endpoint in cuts.items():
            if self.is_sound(part, now_s):
                continue
            for endpoint, (sent_ms, cut_ms) in by_endpoint.items():
                cut = Cut(now_s - sent_ms / 1e3, now_s - cut_ms / 1e3)
                self._add(part, endpoint, cut, now_s, share=forward)
        self.restore({part: age / 1e3 for part, age in blocked.items()}, now_s)

    def _add(
        self, part: str, endpoint: str, cut: Cut, now_s: float, *, share: bool
    ) -> None:
        cuts = self.suspects.setdefault(part, {})
        if endpoint in cuts:
            return
        cuts[endpoint] = cut
        self.is_assessed = False
        self.crashed_s = max(self.crashed_s, cut.cut_s)
        self.suspects.move_to_end(part)
        if share:
            self.recent_cuts.append((now_s, part, endpoint))
        if part in self.blocked:
            self.blocked[part] = max(self.blocked[part], cut.cut_s)
        _trim(self.suspects, MAX_SUSPECTS)

    def _is_explained(self, part: str) -> bool:
        """Return whether other blocked parts explain the crashes of a part."""
        endpoints = self.suspects.get(part, {}).keys()
        others = [self.suspects.get(one, {}) for one in self.blocked if one != part]
        return bool(endpoints) and endpoints <= set().union(*others)

    def _assess(self) -> None:
        """Block the culprits, and release parts whose crashes they explain.

        Called when the result is needed, since a crash cuts many requests at once.
        """
        if self.is_assessed:
            return
        self.is_assessed = True
        culprits = find_culprits(self.suspects, self.answered_s)
        for part in culprits:
            last_s = max(cut.cut_s for cut in self.suspects[part].values())
            self._block(part, last_s, source="crashes")
        for part in self.blocked.keys() - culprits:
            if self._is_explained(part):
                self._release(part, "explained by another part")

    def _block(self, part: str, crashed_s: float, *, source: str) -> None:
        known_s = self.blocked.get(part)
        self.blocked[part] = max(crashed_s, known_s or crashed_s)
        if known_s is None:
            _trim(self.blocked, MAX_BLOCKED)
            logger.warning(
                "Prompt part blocked.",
                extra={
                    "part": part,
                    "source": source,
                    "endpoints": sorted(self.suspects.get(part, ())),
                },
            )

    def _release(self, part: str, reason: str) -> None:
        del self.blocked[part]
        logger.warning("Prompt part released.", extra={"part": part, "reason": reason})

    def _mark_sound(self, part: str, at_s: float) -> None:
        self.sound[part] = max(at_s, self.sound.get(part, at_s))
        self.sound.move_to_end(part)
        _trim(self.sound, MAX_SOUND)
        self.suspects.pop(part, None)
        if part in self.blocked:
            self._release(part, "an answer was completed")

    def _hear_sound(
        self, part: str, at_s: float, now_s: float, *, forward: bool
    ) -> None:
        if now_s - at_s >= SOUND_S:
            return
        if forward and (part in self.suspects or part in self.blocked):
            self._share_sound(part, now_s)
        self._mark_sound(part, at_s)

    def _share_sound(self, part: str, now_s: float) -> None:
        self.recent_sound[part] = now_s
        _trim(self.recent_sound, MAX_SHARED_CUTS)


def _trim(entries: OrderedDict, n_most: int) -> None:
    while len(entries) > n_most:
        entries.popitem(last=False)


def _age_ms(at_s: float, now_s: float) -> int:
    return round((now_s - at_s) * 1e3)
