"""Requests of the engine stand-in: chat bodies and jobs."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import msgspec
from aiohttp import web

from lagoonring.standins.tokens import canonical_prompt, text_of

DEFAULT_TOKENS = 64
MAX_TOKENS = 1_000_000
MAX_PRIORITY = 1000


@attrs.frozen(kw_only=True)
class TextPart:
    """Part of a message; parts of other types count as empty text."""

    type: str = "text"
    text: str = ""


@attrs.frozen(kw_only=True)
class Message:
    """Chat message with text or a list of parts."""

    role: str
    content: str | list[TextPart] | None = None

    def text(self) -> str:
        """Return the text parts of the message, joined."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content or [])


@attrs.frozen(kw_only=True)
class StreamOptions:
    """The ``stream_options`` of a chat completion."""

    include_usage: bool = False


@attrs.frozen(kw_only=True)
class Resume:
    """Continues an answer after ``n_tokens`` tokens, whose text is ``text``."""

    n_tokens: int
    text: str
    kv: str | None = None


@attrs.frozen(kw_only=True)
class ChatBody:
    """Request body of a chat completion; other keys are ignored."""

    messages: list[Message]
    model: str = ""
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    resume: Resume | None = None


@attrs.define(kw_only=True, eq=False)
class Job:
    """A request in the engine; ``n_sent`` counts the tokens sent so far."""

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
    """The request is invalid; the message is sent to the caller."""


def parse_job(body: bytes, headers: Any, *, default_version: str) -> Job:
    """Parse the body and headers of a request into a job.

    Raises
    ------
    FaultyRequestError
        If the body or a header is invalid.
    """
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise FaultyRequestError(f"Got a faulty body: {error}.") from error
    if not chat.messages:
        raise FaultyRequestError("Got no messages, expected at least one.")
    prompt = canonical_prompt([(item.role, item.text()) for item in chat.messages])
    n_requested = chat.max_completion_tokens or chat.max_tokens
    n_tokens = DEFAULT_TOKENS if n_requested is None else n_requested
    if not 0 < n_tokens <= MAX_TOKENS:
        raise FaultyRequestError(
            f"Got max_tokens {n_tokens}, expected 1 to {MAX_TOKENS}."
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
        finish_reason="stop" if n_requested is None else "length",
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
    return max(-MAX_PRIORITY, min(MAX_PRIORITY, priority))


def answer_faulty(error: FaultyRequestError) -> web.Response:
    """Return the 400 answer to an invalid request."""
    error_body = {"message": str(error), "type": "invalid_request_error", "code": None}
    return web.Response(
        body=msgspec.json.encode({"error": error_body}),
        status=400,
        content_type="application/json",
    )
