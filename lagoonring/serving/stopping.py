"""Calls that stop a run, and how the stream of that run ends.

A stream may end with its connection alone. Whoever closes that, the engine at the end
of the run or by a call that stops it, its end looks alike.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import EndpointCrossedError, EndpointStoppedError
from lagoonring.logs import make_logger
from lagoonring.serving.moves import MoveState

if TYPE_CHECKING:
    from lagoonring.endpoints.errors import EndpointError
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.evacuation import Engines
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import EndpointAnswer, Job

# Endpoints tell how long they are left as of some tenths of a second ago.
MAX_REPORT_AGE_S = 0.3
MAX_NEWS_S = 1.0  # until an instance hears that a move has completed
NEWS_CHECK_S = 0.05
MAX_EXIT_S = 1.0  # from the closes of an endpoint's connections to its exit
EXIT_CHECK_S = 0.1

logger = make_logger("path")


class StopState(enum.Enum):
    """What is known of a call that stops a run.

    The effect of a call is ``UNKNOWN`` if its answer was lost or denies the run: it may
    have been executed, and may be executed later.
    """

    PENDING = "pending"
    UNKNOWN = "unknown"
    STOPPED = "stopped"


def begin_run(job: Job, endpoint: Endpoint) -> None:
    """Forget a call at an endpoint that stopped an earlier run of the job there.

    A call of unknown effect may still be executed, on the run that begins.
    """
    if job.stops.get(endpoint.name) is StopState.STOPPED:
        del job.stops[endpoint.name]


def is_being_stopped(job: Job, endpoint: Endpoint) -> bool:
    """Return whether the run of a job is stopped, or is about to be."""
    stop = job.stops.get(endpoint.name)
    return stop in (StopState.PENDING, StopState.STOPPED)


async def check_end(
    parts: ServingParts,
    job: Job,
    endpoint: Endpoint,
    answer: EndpointAnswer,
    *,
    is_empty_rest: bool = False,
) -> None:
    """Check that a stream which ended regularly did so at the end of its run.

    Parameters
    ----------
    is_empty_rest : bool
        Whether the answer is the rest of a stream, and has no events.

    Raises
    ------
    EndpointStoppedError
        If only the close of its connection ended it, after a call to stop the run, or
        as its endpoint was taken away or replaced by another version; or before the
        first event of a rest, if its endpoint no longer answers.
    """
    if answer.is_framed:
        return
    is_over = _is_gone if is_empty_rest else _is_taken_away
    stop = job.stops.get(endpoint.name)
    if stop is not None:
        cause = f"after a call to stop the run ({stop.value})"
    elif await is_over(parts, job, endpoint):
        cause = "as that was taken away"
    elif await _is_replaced(parts, job, endpoint):
        cause = "as that was replaced by another version"
    else:
        return
    raise EndpointStoppedError(
        f"Got the end of a connection to {endpoint.name} {cause}, expected an end in "
        "the answer itself.",
        remedy="Go on with the stream elsewhere where that is allowed.",
    )


def may_have_ended(job: Job, endpoint: Endpoint, error: EndpointError) -> bool:
    """Return whether a stream that broke off may have had no further event.

    A call may also stop a run between its last event and its end.
    """
    if isinstance(error, EndpointCrossedError):
        return False  # there was one, though not the next
    is_unclear = endpoint.name in job.stops or isinstance(error, EndpointStoppedError)
    return is_unclear and job.has_begun


def may_be_empty(job: Job) -> bool:
    """Return whether the rest of a stream may have no events.

    It has some if an engine has generated more events than the caller got.
    """
    if job.last_event is None:
        return False
    n_received = job.last_event - job.first_event + 1
    return job.may_be_over and job.n_generated <= n_received


async def _is_replaced(parts: ServingParts, job: Job, endpoint: Endpoint) -> bool:
    """Return whether an endpoint is stopped since a move to another version completed.

    Instances hear of that after the endpoints were stopped. While all requests go to
    the new version, the news are awaited.
    """
    order = parts.follower.orders.get(endpoint.record.service)
    if order is None or endpoint.record.version == order.target:
        return False
    clock, gate = parts.app.clock, parts.gate
    end_s = min(clock.monotonic() + MAX_NEWS_S, job.deadline_s)
    while (
        gate.state_of(order) is MoveState.RUNNING
        and gate.share_of(order) == 1.0
        and clock.monotonic() < end_s
    ):
        await clock.sleep(NEWS_CHECK_S)
    return gate.state_of(order) is MoveState.COMPLETED


async def _is_taken_away(parts: ServingParts, job: Job, endpoint: Endpoint) -> bool:
    """Return whether an endpoint is gone, by its time left or for want of that.

    One that serves beyond its notice still answers, and has closed by itself.
    """
    now_s = parts.app.clock.monotonic()
    is_over = now_s >= endpoint.taken_away_s - MAX_REPORT_AGE_S
    if not is_over and not endpoint.is_report_unread:
        return False
    if parts.engines is None:
        return True
    is_gone = await _exits(parts, parts.engines, job, endpoint)
    logger.info(
        "Endpoint asked after a close.",
        extra={
            "request_id": job.request.request_id,
            "endpoint": endpoint.name,
            "is_answered": not is_gone,
            "waited_s": round(parts.app.clock.monotonic() - now_s, 3),
        },
    )
    return is_gone


async def _is_gone(parts: ServingParts, job: Job, endpoint: Endpoint) -> bool:
    """Return whether an endpoint no longer answers after it closed a connection."""
    return parts.engines is None or await _exits(parts, parts.engines, job, endpoint)


async def _exits(
    parts: ServingParts, engines: Engines, job: Job, endpoint: Endpoint
) -> bool:
    """Return whether an endpoint exits, or is replaced, soon after it closed a stream.

    It may close its connections before it ceases to listen.
    """
    clock = parts.app.clock
    now_s = clock.monotonic()
    until_s = now_s + min(MAX_EXIT_S, (job.deadline_s - now_s) / 2)
    while True:
        is_answered = await _ask(engines, endpoint, clock.monotonic())
        current = parts.table.find(endpoint.name) or endpoint
        if not is_answered or not endpoint.is_same(current):
            return True
        if clock.monotonic() >= until_s:
            return False
        await clock.sleep(EXIT_CHECK_S)


async def _ask(engines: Engines, endpoint: Endpoint, now_s: float) -> bool:
    """Return whether an endpoint answers, asked at most once per ``EXIT_CHECK_S``."""
    if endpoint.question is None or now_s - endpoint.asked_s >= EXIT_CHECK_S:
        asking = engines.still_answers(endpoint.record.address)
        endpoint.question = asyncio.ensure_future(asking)
        endpoint.asked_s = now_s
    return await asyncio.shield(endpoint.question)


def log_stream_end(
    job: Job,
    endpoint: Endpoint,
    answer: EndpointAnswer,
    error: EndpointError | None,
    *,
    n_partial_bytes: int,
) -> None:
    """Log how a stream ended, if that was in the midst or after a call to stop it."""
    stop = job.stops.get(endpoint.name)
    if stop is None and error is None:
        return
    logger.info(
        "Stream ended.",
        extra={
            "request_id": job.request.request_id,
            "endpoint": endpoint.name,
            "is_framed": answer.is_framed,
            "stop": None if stop is None else stop.value,
            "end": "regular" if error is None else error.kind,
            "error": None if error is None else error.message,
            "last_event": job.last_event,
            "n_partial_bytes": n_partial_bytes,
            "relay": job.relay.address if job.relay else None,
        },
    )
