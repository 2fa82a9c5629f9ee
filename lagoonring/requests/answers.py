"""Builds the HTTP responses that callers receive."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from lagoonring.endpoints.events import SEPARATOR
from lagoonring.errors import LagoonringError, Outcome
from lagoonring.requests.chat import join_chunks
from lagoonring.requests.errors import HandedOverError

if TYPE_CHECKING:
    from lagoonring.requests.messages import PlainAnswer
    from lagoonring.requests.streams import Stream

REQUEST_ID_HEADER = "X-Request-Id"
COST_HEADER = "X-Cost"
OUTCOME_HEADER = "X-Outcome"


def json_response(
    content: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return ``content``, encoded as JSON, as a response."""
    return web.Response(
        body=msgspec.json.encode(content),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def error_document(error: LagoonringError, request_id: str) -> dict[str, Any]:
    """Return an error in the format that chat completion clients expect."""
    return {
        "error": {
            "message": error.message,
            "type": error.code,
            "code": error.code,
            "param": None,
            "outcome": error.outcome.value,
            "remedy": error.remedy,
            "request_id": request_id,
            "retry_after_s": error.retry_after_s,
        }
    }


def error_response(error: LagoonringError, request_id: str) -> web.Response:
    """Return an error as a response, with the headers that clients act on."""
    headers = {OUTCOME_HEADER: error.outcome.value}
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    if error.outcome is not Outcome.NOT_RUN:
        headers["X-Should-Retry"] = "false"
    if error.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    document = error_document(error, request_id)
    return json_response(document, status=error.status, headers=headers)


def plain_response(
    answer: PlainAnswer, request_id: str, cost: float
) -> web.StreamResponse:
    """Return a plain service's answer as a response to the caller."""
    headers = dict(answer.headers)
    headers[REQUEST_ID_HEADER] = request_id
    headers[COST_HEADER] = f"{cost:.6f}"
    if answer.replayed:
        headers["X-Replayed"] = "true"
    return web.Response(body=answer.body, status=answer.status, headers=headers)


def complete_response(stream: Stream) -> web.StreamResponse:
    """Return a finished stream as one chat completion."""
    request_id = stream.request.request_id
    if stream.error is not None:
        return error_response(stream.error, request_id)
    headers = {REQUEST_ID_HEADER: request_id, COST_HEADER: f"{stream.cost:.6f}"}
    return json_response(join_chunks(stream.journal.chunks()), headers=headers)


async def send_stream(
    request: web.Request, stream: Stream, n_tokens: int
) -> web.StreamResponse:
    """Send the events after token ``n_tokens`` until the stream ends.

    The connection becomes the stream's sink. If another connection replaces it,
    this response ends without the end event.
    """
    request_id = stream.request.request_id
    await stream.changed.wait()
    if stream.error is not None and stream.journal.n_events == 0:
        return error_response(stream.error, request_id)
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream; charset=utf-8",
            "Cache-Control": "no-cache",
            REQUEST_ID_HEADER: request_id,
        }
    )
    await response.prepare(request)
    sink_lost = await _replay_and_attach(response, stream, n_tokens)
    if sink_lost is not None:
        await _wait_for_first(stream.finished, sink_lost)
    if stream.error is not None and stream.sink is response:
        await _send_error(response, stream)
    if stream.sink is response:
        stream.sink = None
    return response


async def _replay_and_attach(
    response: web.StreamResponse, stream: Stream, n_tokens: int
) -> asyncio.Event | None:
    """Write the journal's events, then attach to the stream without a gap.

    Returns the event that is set when the connection is replaced, or None if the
    stream has ended.
    """
    journal = stream.journal
    events = journal.events_after(n_tokens)
    n_written = journal.n_events
    while events:
        await response.write(SEPARATOR.join(events) + SEPARATOR)
        events = journal.events()[n_written:] if journal.n_events > n_written else []
        n_written += len(events)
    stream.attach(response)
    return None if stream.is_done else stream.sink_lost


async def _wait_for_first(first: asyncio.Event, second: asyncio.Event) -> None:
    tasks = [asyncio.create_task(event.wait()) for event in (first, second)]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


async def _send_error(response: web.StreamResponse, stream: Stream) -> None:
    """Write the error of a stream that failed after its first event."""
    error = stream.error
    assert error is not None
    if isinstance(error, HandedOverError):
        await response.write(b": handed over, re-attach with Last-Event-ID\n\n")
        return
    document = error_document(error, stream.request.request_id)
    data = msgspec.json.encode(document)
    await response.write(b"event: error\ndata: " + data + SEPARATOR)
