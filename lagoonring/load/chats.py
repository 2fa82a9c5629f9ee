"""A caller of an assistant: asks, reads the stream, re-attaches, asks again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from lagoonring.load.checker import StreamChecker
from lagoonring.load.outcomes import LOST, REFUSED, WHOLE, RequestOutcome
from lagoonring.load.sending import (
    CONNECTION_ERRORS,
    RETRY_S,
    Callers,
    Patience,
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
    """Carries one chat request to its end.

    Parameters
    ----------
    callers : Callers
        Balancer, keys and classes.
    arrival : ChatArrival
        What to ask.
    rng : random.Random
        Chooses instances.
    start_s : float
        Planned time of arrival on the event loop's clock.
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
        self.patience = Patience(target.deadline_ms / 1000)
        self.checker = StreamChecker(arrival.prompt, arrival.n_tokens)
        self.last_s: float | None = None
        self.entry: EntryTarget | None = None
        self.outcome = RequestOutcome(
            kind="chat",
            organisation=arrival.organisation,
            service_class=arrival.service_class,
        )

    async def run(self) -> RequestOutcome:
        """Ask until the answer is whole, refused for good, or too late."""
        while not self.checker.is_ended and self.patience.has_more():
            self.entry = self.callers.balancer.choose(self.rng, self.entry)
            try:
                delay_s = await self._attempt(self.entry)
            except CONNECTION_ERRORS as error:
                self.outcome.code = type(error).__name__
                delay_s = RETRY_S
            if delay_s is None:
                break
            if not self.checker.is_ended:
                await self.patience.wait(delay_s)
        self._settle()
        return self.outcome

    async def _attempt(self, entry: EntryTarget) -> float | None:
        """Ask or re-attach; return the wait before the next, None for no next."""
        if self.outcome.request_id:
            return await self._reattach(entry)
        return await self._ask(entry)

    async def _ask(self, entry: EntryTarget) -> float | None:
        body = {
            "model": self.arrival.entry,
            "messages": [
                {"role": m.role, "content": m.content} for m in self.arrival.messages
            ],
            "max_tokens": self.arrival.n_tokens,
            "stream": True,
        }
        headers = {"X-Deadline-Ms": self.patience.left_ms()}
        self.outcome.n_sent += 1
        async with self.callers.session.post(
            f"{entry.url}/v1/chat/completions",
            data=msgspec.json.encode(body),
            headers=self.callers.headers(self.arrival.organisation, **headers),
            timeout=self.patience.timeout(),
        ) as answer:
            if answer.status != 200:
                return await self._take_refusal(answer)
            self.outcome.request_id = answer.headers["X-Request-Id"]
            return await self._read(answer)

    async def _reattach(self, entry: EntryTarget) -> float | None:
        request_id = self.outcome.request_id
        last = self.checker.last_id or f"{request_id}:0"
        self.outcome.n_reattached += 1
        async with self.callers.session.get(
            f"{entry.url}/v1/streams/{request_id}",
            headers=self.callers.headers(
                self.arrival.organisation, **{"Last-Event-ID": last}
            ),
            timeout=self.patience.timeout(),
        ) as answer:
            if answer.status == 200:
                return await self._read(answer)
            error = await read_error(answer)
            self.outcome.code = error.code
            return error.retry_after_s

    async def _take_refusal(self, answer: aiohttp.ClientResponse) -> float | None:
        error = await read_error(answer)
        self.outcome.code = error.code
        self.outcome.n_refusals += 1
        is_not_run = error.outcome == "not_run"
        self.outcome.outcome = REFUSED if is_not_run else LOST
        if error.status in PERMANENT_STATUSES:
            return None
        return error.retry_after_s

    async def _read(self, answer: aiohttp.ClientResponse) -> float | None:
        """Read events until the connection ends."""
        rest = b""
        async for chunk in answer.content.iter_any():
            *events, rest = (rest + chunk).split(SEPARATOR)
            n_tokens = sum(map(self.checker.take, events))
            if n_tokens:
                self._note_tokens(n_tokens)
        if self.checker.error is not None:
            self.outcome.code = str(self.checker.error.get("code"))
            return None
        return RETRY_S

    def _note_tokens(self, n_tokens: int) -> None:
        now_s = self.loop.time()
        if self.last_s is None:
            self.outcome.first_token_s = now_s - self.start_s
        else:
            self.outcome.between_tokens_s.append(now_s - self.last_s)
        self.last_s = now_s
        self.outcome.n_tokens += n_tokens

    def _settle(self) -> None:
        outcome = self.outcome
        if self.checker.is_ended:
            outcome.outcome = WHOLE
            outcome.whole_s = self.loop.time() - self.start_s
            outcome.faults = self.checker.finish()
        elif outcome.request_id:
            outcome.outcome = LOST
