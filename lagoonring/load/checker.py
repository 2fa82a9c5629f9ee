"""Checks answers token by token, and bookings against what the services ran."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.standins.tokens import token_maker

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

END = b"[DONE]"


@attrs.frozen(kw_only=True)
class TokenFaults:
    """Tokens of one answer that are missing, repeated, or not its own."""

    n_lost: int = 0
    n_doubled: int = 0
    n_foreign: int = 0

    @property
    def n(self) -> int:
        """All faults."""
        return self.n_lost + self.n_doubled + self.n_foreign


class StreamChecker:
    """Takes the events of one answer, over any number of connections.

    Every token of the stand-in is a known function of prompt and number, and
    event ``N`` ends with token ``N - 1``. A token is counted as doubled if its
    number came before, as foreign if it is not what belongs there, and as lost
    if its number was passed over or never came.

    Parameters
    ----------
    prompt : str
        The canonical prompt.
    n_tokens : int
        Tokens of the whole answer.
    """

    def __init__(self, prompt: str, n_tokens: int) -> None:
        self.make_token = token_maker(prompt)
        self.n_wanted = n_tokens
        self.n_received = 0
        self.last_id = ""
        self.is_ended = False
        self.error: dict[str, Any] | None = None
        self.numbers: set[int] = set()
        self.n_doubled = 0
        self.n_foreign = 0

    def take(self, event: bytes) -> int:
        """Take one event in and return how many tokens it brought."""
        fields = _split(event)
        data = fields.get(b"data", b"")
        if data == END:
            self.is_ended = True
            return 0
        if fields.get(b"event") == b"error":
            self.error = msgspec.json.decode(data).get("error", {})
            return 0
        if not data:
            return 0
        text = _text_of(msgspec.json.decode(data))
        if not text:
            return 0
        return self._take_tokens(text, fields.get(b"id", b"").decode())

    def finish(self) -> TokenFaults:
        """Return the faults of the answer, which must be whole by now."""
        n_known = sum(number < self.n_wanted for number in self.numbers)
        n_beyond = len(self.numbers) - n_known
        return TokenFaults(
            n_lost=self.n_wanted - n_known,
            n_doubled=self.n_doubled,
            n_foreign=self.n_foreign + n_beyond,
        )

    def _take_tokens(self, text: str, event_id: str) -> int:
        tokens = [f" {word}" for word in text.split()]
        number = event_id.rpartition(":")[2]
        if number.isdecimal():
            self.last_id = event_id
            first = int(number) - len(tokens)
        else:
            first = self.n_received
        for offset, token in enumerate(tokens):
            self._take_token(first + offset, token)
        self.n_received = max(self.n_received, first + len(tokens))
        return len(tokens)

    def _take_token(self, number: int, token: str) -> None:
        if number in self.numbers:
            self.n_doubled += 1
            return
        if number < 0 or token != self.make_token(number):
            self.n_foreign += 1
            return
        self.numbers.add(number)


@attrs.define(kw_only=True)
class ToldBooking:
    """What callers were told of one key.

    ``outcome`` is ``done``, ``not_run``, ``unknown`` or ``unanswered``; ``runs``
    are the runs that answers named.
    """

    outcome: str = "unanswered"
    runs: set[str] = attrs.field(factory=set)
    is_ever_unanswered: bool = False


@attrs.frozen(kw_only=True)
class BookingFaults:
    """How the bookings told differ from those run.

    ``n_doubled`` keys ran more than once, ``n_not_run_but_ran`` were refused
    only and ran, ``n_done_but_not_run`` were told done and never ran, and
    ``n_answers_differ`` got answers of different runs.
    """

    n_keys: int = 0
    n_doubled: int = 0
    n_not_run_but_ran: int = 0
    n_done_but_not_run: int = 0
    n_answers_differ: int = 0


def check_bookings(
    told: Mapping[str, ToldBooking], runs: Iterable[Mapping[str, int]]
) -> BookingFaults:
    """Compare what callers were told with each service's runs by key."""
    totals: dict[str, int] = {}
    for by_key in runs:
        for key, n_runs in by_key.items():
            totals[key] = totals.get(key, 0) + n_runs
    found = [(booking, totals.get(key, 0)) for key, booking in told.items()]
    return BookingFaults(
        n_keys=len(told),
        n_doubled=sum(n_runs > 1 for _, n_runs in found),
        n_not_run_but_ran=sum(
            booking.outcome == "not_run" and not booking.is_ever_unanswered and n > 0
            for booking, n in found
        ),
        n_done_but_not_run=sum(b.outcome == "done" and n == 0 for b, n in found),
        n_answers_differ=sum(len(booking.runs) > 1 for booking, _ in found),
    )


def _split(event: bytes) -> dict[bytes, bytes]:
    fields = {}
    for line in event.split(b"\n"):
        name, separator, value = line.partition(b": ")
        if separator:
            fields[name] = value
    return fields


def _text_of(chunk: Any) -> str:
    texts = []
    for choice in chunk.get("choices") or ():
        texts.append((choice.get("delta") or {}).get("content") or "")
    return "".join(texts)
