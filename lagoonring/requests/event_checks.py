"""Checks each event of an endpoint's stream before it is sent to the caller.

A token event consists of ``id: N`` and data; it must belong to the request and
carry the next token. Events without ``id`` carry the role, the usage or the end.
"""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

import msgspec

from lagoonring.endpoints.errors import EndpointCrossedError, EndpointCutError
from lagoonring.endpoints.events import END_EVENT
from lagoonring.requests.journal import parse_event
from lagoonring.requests.messages import REQUEST_PREFIX

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from lagoonring.requests.streams import Stream

ID_PREFIX = b"id: "
USAGE_MARKER = b'"choices":[]'


async def checked_events(
    stream: Stream, source: AsyncGenerator[list[bytes], None]
) -> AsyncGenerator[list[bytes], None]:
    """Yield batches of events in the form that the caller receives.

    Tokens that the journal already holds are skipped.

    Raises
    ------
    EndpointCrossedError
        If an event belongs to another request.
    EndpointCutError
        If a token is missing.
    """
    check = _make_event_check(stream)
    async with aclosing(source) as batches:
        async for batch in batches:
            events = [checked for checked in map(check, batch) if checked is not None]
            if events:
                yield events


def _make_event_check(stream: Stream) -> Callable[[bytes], bytes | None]:
    """Return a function that checks one event of an attempt.

    It returns the event for the caller, or None if the caller must not receive it.
    """
    request = stream.request
    journal = stream.journal
    own_data = REQUEST_PREFIX + request.request_id.encode() + b'"'
    own_id = b"id: " + request.request_id.encode() + b":"
    is_resumed = journal.n_events > 0

    def check(event: bytes) -> bytes | None:
        if event.startswith(ID_PREFIX):
            end = event.find(b"\n")
            _check_owner(event, end + 1, own_data, request.request_id)
            n_tokens = int(event[4:end])
            expected = journal.n_tokens + 1
            if n_tokens < expected:
                return None
            if n_tokens > expected:
                raise _missing_token_error(n_tokens, expected)
            journal.n_tokens = n_tokens
            return own_id + event[4:]
        if event == END_EVENT:
            return event
        if not event.startswith(b"data: "):
            return None
        _check_owner(event, 0, own_data, request.request_id)
        if USAGE_MARKER in event:
            return _usage_event(event, stream)
        if is_resumed and b'"role":' in event:
            return None
        return event

    return check


def _check_owner(event: bytes, start: int, own_data: bytes, request_id: str) -> None:
    if event.startswith(own_data, start):
        return
    chunk = parse_event(event)
    if chunk.get("id") == f"chatcmpl-{request_id}":
        return
    raise EndpointCrossedError(
        f"Got an event of {chunk.get('id')!r}, expected chatcmpl-{request_id}.",
        remedy="The request is resumed at another endpoint.",
    )


def _usage_event(event: bytes, stream: Stream) -> bytes | None:
    """Return the usage event with the tokens counted here.

    Returns None if the caller streams and did not ask for usage.
    """
    if not stream.request.wants_usage and stream.request.is_streamed:
        return None
    chunk = parse_event(event)
    usage = chunk.get("usage") or {}
    usage["completion_tokens"] = stream.journal.n_tokens
    usage["total_tokens"] = usage.get("prompt_tokens", 0) + stream.journal.n_tokens
    chunk["usage"] = usage
    return b"data: " + msgspec.json.encode(chunk)


def _missing_token_error(got: int, expected: int) -> EndpointCutError:
    return EndpointCutError(
        f"Got token {got}, expected token {expected}.",
        remedy="The request is resumed at another endpoint.",
    )
