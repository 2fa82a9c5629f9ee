"""Running stand-ins, their faults and requests to them."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from lagoonring.kernel import Application
from lagoonring.platform.service import LogService
from lagoonring.standins.engine_standin import EngineStandin
from lagoonring.standins.options import EngineOptions, PlainOptions
from lagoonring.standins.plain_standin import PlainStandin
from lagoonring.standins.tokens import canonical_prompt

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

QUESTION = "When do the sharks eat?"
PROMPT = canonical_prompt([("user", QUESTION)])


@asynccontextmanager
async def running(standin: Any) -> AsyncIterator[Any]:
    """Run a stand-in for the duration of the block."""
    await standin.start()
    try:
        yield standin
    finally:
        await standin.stop()


@asynccontextmanager
async def running_log_client(url: str) -> AsyncIterator[LogService]:
    """Run the client of a log server in an application of its own."""
    app = Application()
    app.add(LogService(url=url))
    await app.start()
    try:
        yield app.find("log")
    finally:
        await app.stop()


@asynccontextmanager
async def running_engine(**options: Any) -> AsyncIterator[EngineStandin]:
    """Run an engine without delays, except those given in ``options``."""
    fast = {"token_s": 0.0, "prefill_block_s": 0.0, "load_version_s": 0.0}
    async with running(EngineStandin(EngineOptions(**(fast | options)))) as engine:
        yield engine


@asynccontextmanager
async def running_plain(**options: Any) -> AsyncIterator[PlainStandin]:
    """Run a plain service without delays, except those given in ``options``."""
    async with running(
        PlainStandin(PlainOptions(**({"answer_s": 0} | options)))
    ) as plain:
        yield plain


async def set_faults(standin: Any, **faults: Any) -> None:
    """Set faults through the stand-in's HTTP interface."""
    async with (
        aiohttp.ClientSession(raise_for_status=True) as session,
        session.post(f"{standin.url}/faults", json=faults),
    ):
        pass


def make_chat(question: str = QUESTION, *, stream: bool = True, **keys: Any) -> bytes:
    """Return the body of a chat completion."""
    messages = [{"role": "user", "content": question}]
    body = {"model": "guide", "messages": messages, "max_tokens": 20, "stream": stream}
    return msgspec.json.encode(body | keys)


def read_chunks(events: list[bytes]) -> list[dict[str, Any]]:
    """Return the chunks of events, without the end marker."""
    data = [event.partition(b"data: ")[2] for event in events]
    return [msgspec.json.decode(item) for item in data if item != b"[DONE]"]


def read_text(events: list[bytes]) -> str:
    """Return the answer text in a list of events."""
    choices = [choice for chunk in read_chunks(events) for choice in chunk["choices"]]
    return "".join(choice["delta"].get("content", "") for choice in choices)
