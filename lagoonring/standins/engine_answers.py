"""Encodes answers of the engine stand-in; the event frame is built once per stream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec

from lagoonring.standins.tokens import count_prompt_tokens, text_of, token_maker

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.standins.engine_requests import Job

END_EVENT = b"data: [DONE]\n\n"
TEXT_PLACEHOLDER = "\x00"


def make_event_encoder(job: Job) -> Callable[[int, int], bytes]:
    """Return a function that encodes the events of tokens start to stop - 1."""
    make_token = token_maker(job.prompt)
    delta = {"role": "assistant", "content": TEXT_PLACEHOLDER}
    chunk = encode_event(_chunk(job, [_choice(delta, None)]))
    before, after = chunk.decode().split(
        msgspec.json.encode(TEXT_PLACEHOLDER).decode()[1:-1]
    )

    def encode_token_events(start: int, stop: int) -> bytes:
        return "".join(
            f"id: {k + 1}\n{before}{make_token(k)}{after}" for k in range(start, stop)
        ).encode()

    return encode_token_events


def make_end_events(job: Job) -> bytes:
    """Return the events after the last token, with the end marker."""
    events = encode_event(_chunk(job, [_choice({}, job.finish_reason)]))
    if job.includes_usage:
        events += encode_event({**_chunk(job, []), "usage": count_usage(job)})
    return events + END_EVENT


def make_completion(job: Job) -> bytes:
    """Return the body that answers a request that is not streamed."""
    text = text_of(job.prompt, 0, job.n_tokens)
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": text},
        "finish_reason": job.finish_reason,
    }
    body = {
        **_chunk(job, [choice]),
        "object": "chat.completion",
        "usage": count_usage(job),
    }
    return msgspec.json.encode(body)


def count_usage(job: Job) -> dict[str, int]:
    """Return the token usage of a finished job; resumed tokens count once."""
    n_prompt = count_prompt_tokens(job.prompt)
    return {
        "prompt_tokens": n_prompt,
        "completion_tokens": job.n_tokens,
        "total_tokens": n_prompt + job.n_tokens,
    }


def encode_event(data: Any) -> bytes:
    """Return the server-sent event that carries ``data`` as JSON."""
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def _chunk(job: Job, choices: list[Any]) -> dict[str, Any]:
    return {
        "id": f"chatcmpl-{job.request_id}",
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": job.model,
        "choices": choices,
    }


def _choice(delta: dict[str, Any], finish_reason: str | None) -> dict[str, Any]:
    return {"index": 0, "delta": delta, "finish_reason": finish_reason}
