"""Client of a plain service: keyed bookings with resends, and lookups."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from lagoonring.load.checker import ObservedBooking
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
    RETRY_DELAY_S,
    AttemptBudget,
    Callers,
    ErrorAnswer,
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
    """Runs one call of a plain service, retries included, to its outcome.

    Parameters
    ----------
    callers : Callers
        Session, balancer and settings shared by all callers.
    arrival : CallArrival
        The planned call.
    rng : random.Random
        Source of randomness for the choice of instances.
    start_s : float
        Planned arrival time on the event loop's clock.
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
        self.observed = ObservedBooking()
        self.outcome = RequestOutcome(
            kind="booking" if arrival.key else "lookup",
            organisation=arrival.organisation,
            service_class=arrival.service_class,
        )

    async def run(self) -> RequestOutcome:
        """Send the call, and its planned resend if any, and return the outcome."""
        senders = [self._send_until_answered()]
        if self.arrival.resend_after_s is not None:
            senders.append(self._resend(self.arrival.resend_after_s))
        chain_outcomes = await asyncio.gather(*senders)
        self._set_outcome(chain_outcomes)
        return self.outcome

    async def _resend(self, delay_s: float) -> str:
        await asyncio.sleep(delay_s)
        return await self._send_until_answered()

    async def _send_until_answered(self) -> str:
        """Retry until a final answer or the deadline; return the chain's outcome."""
        budget = AttemptBudget(self.deadline_s)
        entry = None
        chain_outcome = UNREACHED
        while budget.begin_attempt():
            entry = self.callers.balancer.choose(self.rng, entry)
            try:
                error = await self._send(entry, budget)
            except CONNECTION_ERRORS as exception:
                self.observed.had_unanswered_attempt = True
                self.outcome.code = type(exception).__name__
                await budget.wait(RETRY_DELAY_S)
                continue
            if error is None:
                return WHOLE
            chain_outcome = self._classify_error(error)
            if chain_outcome == UNKNOWN or error.status in PERMANENT_STATUSES:
                return chain_outcome
            await budget.wait(error.retry_after_s)
        return chain_outcome

    async def _send(
        self, entry: EntryTarget, budget: AttemptBudget
    ) -> ErrorAnswer | None:
        """Send one attempt; return its error, or None on success."""
        arrival = self.arrival
        headers = {"X-Deadline-Ms": budget.remaining_ms()}
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
            timeout=budget.timeout(),
        ) as answer:
            if answer.status == 200:
                await self._handle_answer(answer)
                return None
            self.outcome.n_refusals += 1
            return await read_error(answer)

    async def _handle_answer(self, answer: aiohttp.ClientResponse) -> None:
        data = await answer.read()
        if self.outcome.whole_s is None:
            self.outcome.whole_s = self.loop.time() - self.start_s
        self.outcome.request_id = answer.headers.get("X-Request-Id", "")
        self.outcome.n_replayed += answer.headers.get("X-Replayed") == "true"
        if not self._is_own_answer(data):
            self.outcome.n_foreign_answers += 1
        self.observed.runs.add(data.decode(errors="replace"))

    def _is_own_answer(self, data: bytes) -> bool:
        try:
            run: Any = msgspec.json.decode(data)
        except msgspec.DecodeError:
            return False
        expected = (self.arrival.key, self.arrival.path)
        return isinstance(run, dict) and (run.get("key"), run.get("path")) == expected

    def _classify_error(self, error: ErrorAnswer) -> str:
        """Return the outcome that an error implies."""
        self.outcome.code = error.code
        if error.outcome == "not_run":
            return REFUSED
        if not self.arrival.key or error.code == IN_PROGRESS:
            return LOST
        return UNKNOWN

    def _set_outcome(self, chain_outcomes: list[str]) -> None:
        """Set the outcome from all chains; one that may have run outranks refusals."""
        order = (WHOLE, UNKNOWN, LOST, UNREACHED, REFUSED)
        best = min(chain_outcomes, key=order.index)
        self.outcome.outcome = best
        names = {WHOLE: "done", REFUSED: "not_run", UNKNOWN: "unknown"}
        self.observed.outcome = names.get(best, "unanswered")
