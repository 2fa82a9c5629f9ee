"""Requests of the engine stand-in: chat bodies and jobs."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import msgspec
from aiohttp import web

from lagoonring.standins.tokens import canonical_prompt, text_of

N_TOKENS_DEFAULT = 64
N_TOKENS_MOST = 1_000_000
PRIORITY_LIMIT = 1000


@attrs.frozen(kw_only=True)
class TextPart:
    """A part of a message; parts other than text count as empty."""

    type: str = "text"
    text: str = ""


@attrs.frozen(kw_only=True)
class Message:
    """A message of the chat."""

    role: str
    content: str | list[TextPart] | None = None

    def text(self) -> str:
        """Return the message's text parts as one text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content or [])


@attrs.frozen(kw_only=True)
class StreamOptions:
    """Options of a streamed answer."""

    include_usage: bool = False


@attrs.frozen(kw_only=True)
class Resume:
    """Goes on after ``n_tokens`` tokens, whose text is ``text``."""

    n_tokens: int
    text: str
    kv: str | None = None


@attrs.frozen(kw_only=True)
class ChatBody:
    """Body of a chat completion; other keys are ignored."""

    messages: list[Message]
    model: str = ""
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    resume: Resume | None = None


@attrs.define(kw_only=True, eq=False)
class Job:
    """A request on its way through the engine; ``n_sent`` counts its tokens."""

    request_id: str
    attempt_id: str
    version: str
    model: str
    prompt: str
    n_tokens: int
    resume: Resume | None
    priority: int
    is_streamed: bool
    includes_usage: bool
    finish_reason: str
    transport: asyncio.Transport | None = None
    stall_at: int | None = None
    cut_at: int | None = None
    crash_at: int | None = None
    slow_factor: float = 1.0
    n_sent: int = 0
    is_frozen: bool = False
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)


class FaultyRequestError(ValueError):
    """A request can't be run; the message says why."""


def parse_job(body: bytes, headers: Any, *, default_version: str) -> Job:
    """Return the job that a request asks for.

    Raises
    ------
    FaultyRequestError
        If the body or a header is faulty.
    """
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise FaultyRequestError(f"Got a faulty body: {error}.") from error
    if not chat.messages:
        raise FaultyRequestError("Got no messages, expected at least one.")
    prompt = canonical_prompt([(item.role, item.text()) for item in chat.messages])
    n_asked = chat.max_completion_tokens or chat.max_tokens
    n_tokens = N_TOKENS_DEFAULT if n_asked is None else n_asked
    if not 0 < n_tokens <= N_TOKENS_MOST:
        raise FaultyRequestError(
            f"Got max_tokens {n_tokens}, expected 1 to {N_TOKENS_MOST}."
        )
    _check_resume(chat.resume, prompt, n_tokens)
    return Job(
        request_id=headers.get("X-Request-Id", ""),
        attempt_id=headers.get("X-Attempt-Id", ""),
        version=headers.get("X-Version") or default_version,
        model=chat.model,
        prompt=prompt,
        n_tokens=n_tokens,
        resume=chat.resume,
        priority=_read_priority(headers.get("X-Priority", "0")),
        is_streamed=bool(chat.stream),
        includes_usage=bool(chat.stream_options and chat.stream_options.include_usage),
        finish_reason="stop" if n_asked is None else "length",
    )


def _check_resume(resume: Resume | None, prompt: str, n_tokens: int) -> None:
    if resume is None:
        return
    if not 0 <= resume.n_tokens <= n_tokens:
        raise FaultyRequestError(
            f"Got resume after token {resume.n_tokens}, expected 0 to {n_tokens}."
        )
    if resume.text != text_of(prompt, 0, resume.n_tokens):
        raise FaultyRequestError(
            f"Got a text to resume that is not the first {resume.n_tokens} tokens."
        )


def _read_priority(text: str) -> int:
    try:
        priority = int(text)
    except ValueError as error:
        raise FaultyRequestError(
            f"Got X-Priority {text!r}, expected a number."
        ) from error
    return max(-PRIORITY_LIMIT, min(PRIORITY_LIMIT, priority))


def answer_faulty(error: FaultyRequestError) -> web.Response:
    """Return the answer to a request that can't be run."""
    shape = {"message": str(error), "type": "invalid_request_error", "code": None}
    return web.Response(
        body=msgspec.json.encode({"error": shape}),
        status=400,
        content_type="application/json",
    )
