"""Callers of chat completions, and the expected answers."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.requests.chat import canonical_prompt
from lagoonring.standins.tokens import text_of
from lagoonring.tests.builders.barriers import (
    hold_all,
    wait_for_tokens,
    wait_until_held,
)
from lagoonring.tests.builders.deployments import chat_body, headers_of

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

    from lagoonring.tests.builders.deployments import Deployment


@attrs.define
class Caller:
    """A caller and the part of a streamed answer that it has received."""

    request_id: str = ""
    words: list[str] = attrs.field(factory=list)
    ids: list[str] = attrs.field(factory=list)
    is_ended: bool = False
    errors: list[Any] = attrs.field(factory=list)

    @property
    def text(self) -> str:
        """The answer's text so far."""
        return "".join(self.words)

    def add_event(self, event: str) -> None:
        """Process one event."""
        lines = dict(line.split(": ", 1) for line in event.split("\n"))
        data = lines.get("data", "")
        if data == "[DONE]":
            self.is_ended = True
        elif lines.get("event") == "error":
            self.errors.append(json.loads(data)["error"])
        elif data:
            for choice in json.loads(data)["choices"]:
                self.words.append(choice["delta"].get("content") or "")
            if "id" in lines:
                self.ids.append(lines["id"])

    async def read(self, answer: aiohttp.ClientResponse) -> None:
        """Read a streamed answer until its connection ends."""
        self.request_id = answer.headers["X-Request-Id"]
        incomplete = b""
        async for chunk in answer.content.iter_any():
            *events, incomplete = (incomplete + chunk).split(b"\n\n")
            for event in events:
                self.add_event(event.decode())

    def assert_whole(self, question: str, n_tokens: int) -> None:
        """Check that every token arrived exactly once and in order, with no error."""
        assert not self.errors
        assert self.is_ended
        assert self.ids == [f"{self.request_id}:{n + 1}" for n in range(n_tokens)]
        assert self.text == expected_text(question, n_tokens)


def expected_text(question: str, n_tokens: int) -> str:
    """Return the text with which the stand-in answers a question."""
    prompt = canonical_prompt(chat_body(question)["messages"]).decode()
    return text_of(prompt, 0, n_tokens)


async def ask(
    deployment: Deployment,
    question: str,
    n_tokens: int,
    *,
    entry: int = 0,
    caller: Caller | None = None,
) -> Caller:
    """Stream an answer through one entry instance and return the caller."""
    caller = caller or Caller()
    body = chat_body(question, n_tokens, stream=True)
    url = f"{deployment.url(entry)}/v1/chat/completions"
    async with deployment.session.post(url, json=body, headers=headers_of()) as answer:
        assert answer.status == 200, await answer.text()
        await caller.read(answer)
    return caller


async def attach(deployment: Deployment, caller: Caller, *, entry: int) -> Caller:
    """Re-attach a caller through another entry instance."""
    last = caller.ids[-1] if caller.ids else f"{caller.request_id}:0"
    headers = headers_of(**{"Last-Event-ID": last})
    url = f"{deployment.url(entry)}/v1/streams/{caller.request_id}"
    async with deployment.session.get(url, headers=headers) as answer:
        assert answer.status == 200, await answer.text()
        await caller.read(answer)
    return caller


@attrs.frozen
class HeldAnswer:
    """A caller, the task that reads its answer, and the endpoint that holds it back."""

    caller: Caller
    asking: asyncio.Task[Caller]
    endpoint: str


@asynccontextmanager
async def ask_and_hold(
    deployment: Deployment,
    question: str,
    n_tokens: int,
    *,
    n_before: int,
    n_at_caller: int | None = None,
) -> AsyncIterator[HeldAnswer]:
    """Stream an answer that its endpoint holds after ``n_before`` tokens.

    On entry the caller has received all of these, or at least ``n_at_caller`` if that
    is set; the rest may still be in transit. ``release_all`` lets the answer continue.
    The caller is cancelled at the end of the context.
    """
    if n_at_caller is None:
        n_at_caller = n_before
    hold_all(deployment, n_before)
    caller = Caller()
    asking = asyncio.create_task(ask(deployment, question, n_tokens, caller=caller))
    try:
        endpoint = await wait_until_held(deployment)
        await wait_for_tokens(caller, n_at_caller)
        yield HeldAnswer(caller, asking, endpoint)
    finally:
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
