"""Chat completions: validates callers' bodies, builds those for endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import xxhash

from lagoonring.decoding import decode_json
from lagoonring.requests.errors import BadJsonError
from lagoonring.requests.journal import text_of_chunk

if TYPE_CHECKING:
    from lagoonring.requests.journal import Journal
    from lagoonring.requests.messages import ChatRequest

MAX_REQUESTED_TOKENS = 1_000_000
N_PROMPT_ROUTES = 64


def parse_chat_body(body: bytes) -> dict[str, Any]:
    """Parse a chat completion body and validate the fields that are used here.

    Raises
    ------
    BadJsonError
        If the body is not JSON, or ``model``, ``messages`` or a token limit is not
        valid.
    """
    try:
        document = decode_json(body)
    except msgspec.DecodeError as error:
        raise BadJsonError(
            f"Got a body with {error}, expected JSON.",
            remedy="Send a JSON object with 'model' and 'messages'.",
        ) from error
    if not isinstance(document, dict):
        raise _bad_json_error(type(document).__name__, "an object")
    if not isinstance(document.get("model"), str):
        raise _bad_json_error(
            f"model {document.get('model')!r:.80}", "the name of an entry"
        )
    _check_messages(document.get("messages"))
    _check_n_tokens(document)
    return document


def canonical_prompt(messages: list[dict[str, Any]]) -> bytes:
    """Return the bytes of the prompt from which prefix blocks are hashed."""
    parts = []
    for message in messages:
        content = message.get("content")
        text = content if isinstance(content, str) else _encode(content)
        parts.append(f"{message['role']}\x00{text}\x01")
    return "".join(parts).encode("utf-8", "surrogatepass")


def n_tokens_most(document: dict[str, Any], default: int) -> int:
    """Return the caller's limit of answer tokens, or ``default`` without one."""
    limit = document.get("max_completion_tokens") or document.get("max_tokens")
    return limit or default


def wants_usage(document: dict[str, Any]) -> bool:
    """Return whether the caller asked for usage at the end of the stream."""
    options = document.get("stream_options")
    return isinstance(options, dict) and bool(options.get("include_usage"))


def route_name(messages: list[dict[str, Any]]) -> str:
    """Return the route of a request, derived from its system prompt.

    System prompts are hashed to ``N_PROMPT_ROUTES`` routes; requests without one
    share the route ``chat``.
    """
    first = messages[0]
    if first["role"] != "system":
        return "chat"
    digest = xxhash.xxh3_64_intdigest(canonical_prompt([first]))
    return f"system-{digest % N_PROMPT_ROUTES}"


def endpoint_body(
    request: ChatRequest, journal: Journal, *, kv: str | None = None
) -> bytes:
    """Return the body for an attempt, which resumes after the journal's tokens."""
    document = dict(request.document)
    document["stream"] = True
    document["stream_options"] = {"include_usage": True}
    document["max_tokens"] = request.n_tokens_most
    if journal.n_tokens:
        document["resume"] = {
            "n_tokens": journal.n_tokens,
            "text": journal.text(),
            "kv": kv,
        }
    return msgspec.json.encode(document)


def join_chunks(chunks: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the chat completion that corresponds to streamed chunks."""
    first = chunks[0] if chunks else {}
    finish_reason = None
    usage = None
    for chunk in chunks:
        usage = chunk.get("usage") or usage
        for choice in chunk.get("choices") or ():
            finish_reason = choice.get("finish_reason") or finish_reason
    text = "".join(text_of_chunk(chunk) for chunk in chunks)
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    return {
        "id": first.get("id"),
        "object": "chat.completion",
        "created": first.get("created"),
        "model": first.get("model"),
        "choices": [choice],
        "usage": usage,
    }


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not messages:
        raise _bad_json_error("no messages", "a list of messages")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _bad_json_error(
                f"messages[{index}] {message!r:.80}", "an object with a role"
            )


def _check_n_tokens(document: dict[str, Any]) -> None:
    for name in ("max_tokens", "max_completion_tokens"):
        limit = document.get(name)
        if limit is None:
            continue
        is_count = isinstance(limit, int) and not isinstance(limit, bool)
        if not is_count or not 1 <= limit <= MAX_REQUESTED_TOKENS:
            raise _bad_json_error(
                f"{name} {limit!r:.80}", f"a number from 1 to {MAX_REQUESTED_TOKENS}"
            )


def _bad_json_error(got: str, expected: str) -> BadJsonError:
    return BadJsonError(
        f"Got {got}, expected {expected}.",
        remedy="Correct the body; it follows the chat completions interface.",
    )


def _encode(content: Any) -> str:
    return msgspec.json.encode(content).decode()
