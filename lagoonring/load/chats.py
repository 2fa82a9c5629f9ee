"""Client of an assistant: sends chats, reads streams, re-attaches and retries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from lagoonring.load.checker import StreamChecker
from lagoonring.load.outcomes import LOST, REFUSED, WHOLE, RequestOutcome
from lagoonring.load.sending import (
    CONNECTION_ERRORS,
    RETRY_DELAY_S,
    AttemptBudget,
    Callers,
    read_error,
)

if TYPE_CHECKING:
    import random

    import aiohttp

    from lagoonring.load.arrivals import ChatArrival
    from lagoonring.load.options import EntryTarget

SEPARATOR = b"\n\n"
PERMANENT_STATUSES = (400, 401, 403, 404, 413, 422)


class ChatCaller:
    """Runs one chat request, retries and re-attachments included, to its outcome.

    Parameters
    ----------
    callers : Callers
        Session, balancer and settings shared by all callers.
    arrival : ChatArrival
        The planned chat request.
    rng : random.Random
        Source of randomness for the choice of instances.
    start_s : float
        Planned arrival time on the event loop's clock.
    """

    def __init__(
        self,
        callers: Callers,
        arrival: ChatArrival,
        rng: random.Random,
        start_s: float,
    ) -> None:
        self.callers = callers
        self.arrival = arrival
        self.rng = rng
        self.start_s = start_s
        self.loop = asyncio.get_running_loop()
        target = callers.settings.classes[arrival.service_class]
        self.budget = AttemptBudget(target.deadline_ms / 1000)
        self.checker = StreamChecker(arrival.prompt, arrival.n_tokens)
        self.last_token_s: float | None = None
        self.entry: EntryTarget | None = None
        self.outcome = RequestOutcome(
            kind="chat",
            organisation=arrival.organisation,
            service_class=arrival.service_class,
        )

    async def run(self) -> RequestOutcome:
        """Retry until the answer is complete, permanently refused, or out of time."""
        while not self.checker.is_ended and self.budget.begin_attempt():
            self.entry = self.callers.balancer.choose(self.rng, self.entry)
            try:
                delay_s = await self._attempt(self.entry)
            except CONNECTION_ERRORS as error:
                self.outcome.code = type(error).__name__
                delay_s = RETRY_DELAY_S
            if delay_s is None:
                break
            if not self.checker.is_ended:
                await self.budget.wait(delay_s)
        self._set_outcome()
        return self.outcome

    async def _attempt(self, entry: EntryTarget) -> float | None:
        """Send or re-attach; return the delay before a retry, None for no retry."""
        if self.outcome.request_id:
            return await self._reattach(entry)
        return await self._send_request(entry)

    async def _send_request(self, entry: EntryTarget) -> float | None:
        body = {
            "model": self.arrival.entry,
            "messages": [
                {"role": m.role, "content": m.content} for m in self.arrival.messages
            ],
            "max_tokens": self.arrival.n_tokens,
            "stream": True,
        }
        headers = {"X-Deadline-Ms": self.budget.remaining_ms()}
        self.outcome.n_sent += 1
        async with self.callers.session.post(
            f"{entry.url}/v1/chat/completions",
            data=msgspec.json.encode(body),
            headers=self.callers.headers(self.arrival.organisation, **headers),
            timeout=self.budget.timeout(),
        ) as answer:
            if answer.status != 200:
                return await self._handle_refusal(answer)
            self.outcome.request_id = answer.headers["X-Request-Id"]
            return await self._read_stream(answer)

    async def _reattach(self, entry: EntryTarget) -> float | None:
        request_id = self.outcome.request_id
        resume_after = self.checker.last_event_id or f"{request_id}:0"
        self.outcome.n_reattached += 1
        async with self.callers.session.get(
            f"{entry.url}/v1/streams/{request_id}",
            headers=self.callers.headers(
                self.arrival.organisation, **{"Last-Event-ID": resume_after}
            ),
            timeout=self.budget.timeout(),
        ) as answer:
            if answer.status == 200:
                return await self._read_stream(answer)
            error = await read_error(answer)
            self.outcome.code = error.code
            return error.retry_after_s

    async def _handle_refusal(self, answer: aiohttp.ClientResponse) -> float | None:
        error = await read_error(answer)
        self.outcome.code = error.code
        self.outcome.n_refusals += 1
        is_not_run = error.outcome == "not_run"
        self.outcome.outcome = REFUSED if is_not_run else LOST
        if error.status in PERMANENT_STATUSES:
            return None
        return error.retry_after_s

    async def _read_stream(self, answer: aiohttp.ClientResponse) -> float | None:
        """Read events until the connection ends; return the delay before a retry."""
        buffer = b""
        async for chunk in answer.content.iter_any():
            *events, buffer = (buffer + chunk).split(SEPARATOR)
            n_tokens = sum(map(self.checker.check_event, events))
            if n_tokens:
                self._record_tokens(n_tokens)
        if self.checker.error is not None:
            self.outcome.code = str(self.checker.error.get("code"))
            return None
        return RETRY_DELAY_S

    def _record_tokens(self, n_tokens: int) -> None:
        now_s = self.loop.time()
        if self.last_token_s is None:
            self.outcome.first_token_s = now_s - self.start_s
        else:
            self.outcome.between_tokens_s.append(now_s - self.last_token_s)
        self.last_token_s = now_s
        self.outcome.n_tokens += n_tokens

    def _set_outcome(self) -> None:
        outcome = self.outcome
        if self.checker.is_ended:
            outcome.outcome = WHOLE
            outcome.whole_s = self.loop.time() - self.start_s
            outcome.faults = self.checker.finish()
        elif outcome.request_id:
            outcome.outcome = LOST
