"""Checks that a stream is one series of events, also across endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import EndpointCrossedError
from lagoonring.serving.attempt_errors import MAX_EVENT_BYTES, endless_event_error

if TYPE_CHECKING:
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.events import EventSplitter, StreamEvent
    from lagoonring.serving.requests import EndpointAnswer, Job


def read_media_type(answer: EndpointAnswer) -> str:
    """Return the media type of an answer without parameters, empty if not given."""
    for name, value in answer.headers:
        if name.lower() == "content-type":
            return value.partition(";")[0].strip().lower()
    return ""


def check_continues(job: Job, endpoint: Endpoint, answer: EndpointAnswer) -> None:
    """Raise ``EndpointCrossedError`` if a stream's rest is another answer.

    An error may come with any status, also with that of a success, but it is no
    stream of the same type.
    """
    if not job.has_begun:
        return
    media_type = read_media_type(answer)
    if answer.status >= 300 or media_type != job.media_type:
        raise EndpointCrossedError(
            f"Got status {answer.status} with {media_type!r} of {endpoint.name}, "
            f"expected the rest of a stream with {job.media_type!r}.",
            remedy="Break the stream off; its status was sent already.",
        )


def take_events(
    job: Job, endpoint: Endpoint, splitter: EventSplitter, data: bytes, *, is_rest: bool
) -> tuple[bytes, EndpointCrossedError | None]:
    """Return the events that received data completes, up to the first faulty one.

    Those before it are to be relayed: the job's last event counts them.

    Parameters
    ----------
    is_rest : bool
        Whether the caller has earlier events of another answer. If not, events
        without an id are relayed as well, but no other endpoint can go on after them.

    Returns
    -------
    bytes
        The events.
    EndpointCrossedError or None
        Set if an event does not follow the last one, lacks an id in a stream's rest,
        or does not end.
    """
    complete = bytearray()
    for event in splitter.feed(data):
        if event.event_id is None and not is_rest:
            job.has_ids = False
        elif event.event_id is None or not _is_next(event.event_id, job.last_event):
            return bytes(complete), _order_error(job, endpoint, event)
        else:
            if job.last_event is None:
                job.first_event = event.event_id
            job.last_event = event.event_id
        complete += event.data
    if len(splitter.buffer) > MAX_EVENT_BYTES:
        return bytes(complete), endless_event_error(endpoint, len(splitter.buffer))
    return bytes(complete), None


def _is_next(event_id: int, last_id: int | None) -> bool:
    return last_id is None or event_id == last_id + 1


def _order_error(
    job: Job, endpoint: Endpoint, event: StreamEvent
) -> EndpointCrossedError:
    expected = "an id" if job.last_event is None else job.last_event + 1
    return EndpointCrossedError(
        f"Got event {event.event_id} of {endpoint.name}, expected {expected}.",
        remedy="Drop the stream; events are missing or come twice.",
    )
