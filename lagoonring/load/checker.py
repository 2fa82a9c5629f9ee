"""Checks answers token by token, and bookings against the services' records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.standins.tokens import token_maker

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

END_OF_STREAM = b"[DONE]"


@attrs.frozen(kw_only=True)
class TokenFaults:
    """Numbers of lost, repeated and unexpected tokens of one answer."""

    n_lost: int = 0
    n_doubled: int = 0
    n_foreign: int = 0

    @property
    def n(self) -> int:
        """Total number of faults."""
        return self.n_lost + self.n_doubled + self.n_foreign


class StreamChecker:
    """Checks the events of one answer, across any number of connections.

    Every token of the engine stand-in is a known function of the prompt and the
    token's number, and event ``N`` ends with token ``N - 1``. A token counts as
    doubled if its number was received before, as foreign if it differs from the
    expected token, and as lost if its number was skipped or never received.

    Parameters
    ----------
    prompt : str
        The canonical prompt.
    n_tokens : int
        Expected number of tokens in the complete answer.
    """

    def __init__(self, prompt: str, n_tokens: int) -> None:
        self.make_token = token_maker(prompt)
        self.n_expected = n_tokens
        self.n_received = 0
        self.last_event_id = ""
        self.is_ended = False
        self.error: dict[str, Any] | None = None
        self.seen_numbers: set[int] = set()
        self.n_doubled = 0
        self.n_foreign = 0

    def check_event(self, event: bytes) -> int:
        """Check one event and return the number of tokens in it."""
        fields = _parse_event(event)
        data = fields.get(b"data", b"")
        if data == END_OF_STREAM:
            self.is_ended = True
            return 0
        if fields.get(b"event") == b"error":
            self.error = msgspec.json.decode(data).get("error", {})
            return 0
        if not data:
            return 0
        text = _extract_text(msgspec.json.decode(data))
        if not text:
            return 0
        return self._check_tokens(text, fields.get(b"id", b"").decode())

    def finish(self) -> TokenFaults:
        """Return the faults of the answer, counting tokens not yet received as lost."""
        n_known = sum(number < self.n_expected for number in self.seen_numbers)
        n_beyond = len(self.seen_numbers) - n_known
        return TokenFaults(
            n_lost=self.n_expected - n_known,
            n_doubled=self.n_doubled,
            n_foreign=self.n_foreign + n_beyond,
        )

    def _check_tokens(self, text: str, event_id: str) -> int:
        tokens = [f" {word}" for word in text.split()]
        number = event_id.rpartition(":")[2]
        if number.isdecimal():
            self.last_event_id = event_id
            first = int(number) - len(tokens)
        else:
            first = self.n_received
        for offset, token in enumerate(tokens):
            self._check_token(first + offset, token)
        self.n_received = max(self.n_received, first + len(tokens))
        return len(tokens)

    def _check_token(self, number: int, token: str) -> None:
        if number in self.seen_numbers:
            self.n_doubled += 1
            return
        if number < 0 or token != self.make_token(number):
            self.n_foreign += 1
            return
        self.seen_numbers.add(number)


@attrs.define(kw_only=True)
class ObservedBooking:
    """What callers observed for one idempotency key.

    ``outcome`` is ``done``, ``not_run``, ``unknown`` or ``unanswered``; ``runs``
    are the distinct answer bodies received, each of which identifies a run.
    """

    outcome: str = "unanswered"
    runs: set[str] = attrs.field(factory=set)
    had_unanswered_attempt: bool = False


@attrs.frozen(kw_only=True)
class BookingFaults:
    """Differences between the observed bookings and those that services ran.

    Counts of keys: ``n_doubled`` ran more than once, ``n_not_run_but_ran`` ran
    although all attempts were refused, ``n_done_but_not_run`` were reported done
    but never ran, and ``n_answers_differ`` received answers of different runs.
    """

    n_keys: int = 0
    n_doubled: int = 0
    n_not_run_but_ran: int = 0
    n_done_but_not_run: int = 0
    n_answers_differ: int = 0


def check_bookings(
    observed: Mapping[str, ObservedBooking], runs: Iterable[Mapping[str, int]]
) -> BookingFaults:
    """Compare what callers observed with each service's number of runs by key."""
    totals: dict[str, int] = {}
    for by_key in runs:
        for key, n_runs in by_key.items():
            totals[key] = totals.get(key, 0) + n_runs
    bookings = [(booking, totals.get(key, 0)) for key, booking in observed.items()]
    return BookingFaults(
        n_keys=len(observed),
        n_doubled=sum(n_runs > 1 for _, n_runs in bookings),
        n_not_run_but_ran=sum(
            booking.outcome == "not_run"
            and not booking.had_unanswered_attempt
            and n > 0
            for booking, n in bookings
        ),
        n_done_but_not_run=sum(b.outcome == "done" and n == 0 for b, n in bookings),
        n_answers_differ=sum(len(booking.runs) > 1 for booking, _ in bookings),
    )


def _parse_event(event: bytes) -> dict[bytes, bytes]:
    fields = {}
    for line in event.split(b"\n"):
        name, separator, value = line.partition(b": ")
        if separator:
            fields[name] = value
    return fields


def _extract_text(chunk: Any) -> str:
    texts = []
    for choice in chunk.get("choices") or ():
        texts.append((choice.get("delta") or {}).get("content") or "")
    return "".join(texts)
