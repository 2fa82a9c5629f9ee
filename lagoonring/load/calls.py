"""A caller of a plain service: books at most once, resends, looks things up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from lagoonring.load.checker import ToldBooking
from lagoonring.load.outcomes import (
    LOST,
    REFUSED,
    UNKNOWN,
    UNREACHED,
    WHOLE,
    RequestOutcome,
)
from lagoonring.load.sending import (
    CONNECTION_ERRORS,
    RETRY_S,
    Callers,
    ErrorAnswer,
    Patience,
    read_error,
)

if TYPE_CHECKING:
    import random

    import aiohttp

    from lagoonring.load.arrivals import CallArrival
    from lagoonring.load.options import EntryTarget

PERMANENT_STATUSES = (400, 401, 403, 404, 413, 422)
IN_PROGRESS = "in_progress"
BODY = {"seats": 1}


class CallCaller:
    """Carries one call of a plain service to its end.

    Parameters
    ----------
    callers : Callers
        Balancer, keys and classes.
    arrival : CallArrival
        What to call.
    rng : random.Random
        Chooses instances.
    start_s : float
        Planned time of arrival on the event loop's clock.
    """

    def __init__(
        self,
        callers: Callers,
        arrival: CallArrival,
        rng: random.Random,
        start_s: float,
    ) -> None:
        self.callers = callers
        self.arrival = arrival
        self.rng = rng
        self.start_s = start_s
        self.loop = asyncio.get_running_loop()
        target = callers.settings.classes[arrival.service_class]
        self.deadline_s = target.deadline_ms / 1000
        self.told = ToldBooking()
        self.outcome = RequestOutcome(
            kind="booking" if arrival.key else "lookup",
            organisation=arrival.organisation,
            service_class=arrival.service_class,
        )

    async def run(self) -> RequestOutcome:
        """Call until there is an answer, and once more if that was planned."""
        senders = [self._send_until_answered()]
        if self.arrival.resend_after_s is not None:
            senders.append(self._resend(self.arrival.resend_after_s))
        words = await asyncio.gather(*senders)
        self._settle(words)
        return self.outcome

    async def _resend(self, delay_s: float) -> str:
        await asyncio.sleep(delay_s)
        return await self._send_until_answered()

    async def _send_until_answered(self) -> str:
        """Return the last word of one chain of sends, an outcome."""
        patience = Patience(self.deadline_s)
        entry = None
        word = UNREACHED
        while patience.has_more():
            entry = self.callers.balancer.choose(self.rng, entry)
            try:
                error = await self._send(entry, patience)
            except CONNECTION_ERRORS as exception:
                self.told.is_ever_unanswered = True
                self.outcome.code = type(exception).__name__
                await patience.wait(RETRY_S)
                continue
            if error is None:
                return WHOLE
            word = self._weigh(error)
            if word == UNKNOWN or error.status in PERMANENT_STATUSES:
                return word
            await patience.wait(error.retry_after_s)
        return word

    async def _send(self, entry: EntryTarget, patience: Patience) -> ErrorAnswer | None:
        """Send once; return the error, or None after an answer."""
        arrival = self.arrival
        headers = {"X-Deadline-Ms": patience.left_ms()}
        data = None
        if arrival.key:
            headers["Idempotency-Key"] = arrival.key
            data = msgspec.json.encode(BODY)
        self.outcome.n_sent += 1
        async with self.callers.session.request(
            arrival.method,
            f"{entry.url}/services/{arrival.entry}{arrival.path}",
            data=data,
            headers=self.callers.headers(arrival.organisation, **headers),
            timeout=patience.timeout(),
        ) as answer:
            if answer.status == 200:
                await self._take_answer(answer)
                return None
            self.outcome.n_refusals += 1
            return await read_error(answer)

    async def _take_answer(self, answer: aiohttp.ClientResponse) -> None:
        data = await answer.read()
        if self.outcome.whole_s is None:
            self.outcome.whole_s = self.loop.time() - self.start_s
        self.outcome.request_id = answer.headers.get("X-Request-Id", "")
        self.outcome.n_replayed += answer.headers.get("X-Replayed") == "true"
        if not self._is_own(data):
            self.outcome.n_foreign_answers += 1
        self.told.runs.add(data.decode(errors="replace"))

    def _is_own(self, data: bytes) -> bool:
        try:
            run: Any = msgspec.json.decode(data)
        except msgspec.DecodeError:
            return False
        expected = (self.arrival.key, self.arrival.path)
        return isinstance(run, dict) and (run.get("key"), run.get("path")) == expected

    def _weigh(self, error: ErrorAnswer) -> str:
        """Return the word that an error amounts to."""
        self.outcome.code = error.code
        if error.outcome == "not_run":
            return REFUSED
        if not self.arrival.key or error.code == IN_PROGRESS:
            return LOST
        return UNKNOWN

    def _settle(self, words: list[str]) -> None:
        """Take the best word of all chains for what the caller knows."""
        order = (WHOLE, UNKNOWN, LOST, UNREACHED, REFUSED)
        best = min(words, key=order.index)
        self.outcome.outcome = best
        names = {WHOLE: "done", REFUSED: "not_run", UNKNOWN: "unknown"}
        self.told.outcome = names.get(best, "unanswered")
