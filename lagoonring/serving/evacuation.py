"""Moves running streams off endpoints that are being reclaimed.

A whole data centre may be reclaimed with a notice of seconds. Streams that end within
that time stay; the others are continued on another endpoint with their KV cache.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Protocol

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.serving.stopping import MAX_REPORT_AGE_S, StopState

if TYPE_CHECKING:
    from lagoonring.platform.engine_calls import CopyResult, MovedRun
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import Job, Ways

COPY_TIME_S = 0.5  # to copy all streams of an endpoint one after the other

# Changes that may begin or end the draining of an endpoint.
NOTICES = frozenset({"draining", "ready", "appeared"})
# Between calls for a report that was not read, doubled each time; longer in total than
# the usual notice.
REPORT_PAUSE_S = 0.1
MAX_REPORT_PAUSE_S = 0.8
MAX_REPORT_CALLS = 8

logger = make_logger("evacuation")


class Engines(Protocol):
    """Stops runs on model engines and copies their KV cache."""

    async def read_time_left(self, address: str) -> float | None:
        """Return the seconds until an engine is taken away.

        Infinite if it tells no time, None if it gave no answer that can be read.
        """

    async def still_answers(self, address: str) -> bool:
        """Return whether an engine answers on a new connection."""

    async def copy(self, source: str, request_id: str, target: str) -> CopyResult:
        """Copy the KV cache of a run that goes on, if there is room."""

    async def stop_and_copy(
        self, source: str, request_id: str, target: str
    ) -> MovedRun | None:
        """Stop a run and copy its KV cache from one engine to another."""

    async def free(self, address: str, handle: str) -> bool:
        """Free a copy on an engine; return whether that has it no longer."""


class Evacuation(BaseService):
    """Moves the streams of this instance before their endpoint is reclaimed.

    Parameters
    ----------
    engines : Engines
        Stops and copies runs.
    """

    name = "evacuation"

    def __init__(self, parts: ServingParts, engines: Engines) -> None:
        self.parts = parts
        self.engines = engines
        self.tasks: set[asyncio.Task[None]] = set()
        self.reading: set[str] = set()

    def endpoint_changed(self, endpoint: Endpoint, change: str) -> None:
        """Schedule the evacuation of a draining endpoint that runs own streams.

        An endpoint whose record lapsed appears again, maybe as a draining one.
        """
        if change not in NOTICES or not self.parts.placer.streams_at(endpoint):
            return
        if endpoint.takes_new_work():
            for known in self.parts.placer.known_as(endpoint):
                known.forget_notice()
            return
        task = asyncio.create_task(self._evacuate(endpoint))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self) -> None:
        """Cancel the scheduled evacuations."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.parts.copies is not None:
            await self.parts.copies.stop()

    async def _evacuate(self, endpoint: Endpoint) -> None:
        """Wait for streams that end in time, then move the others concurrently."""
        leaves_in_s = await self._read_time_left(endpoint)
        if leaves_in_s is None or math.isinf(leaves_in_s):
            return
        now_s = self.parts.app.clock.monotonic()
        for known in self.parts.placer.known_as(endpoint):
            known.taken_away_s = min(known.taken_away_s, now_s + leaves_in_s)
        wait_s = max(leaves_in_s - MAX_REPORT_AGE_S - COPY_TIME_S, 0.0)
        await self.parts.app.clock.sleep(wait_s)
        jobs = self.parts.placer.streams_at(endpoint)
        if jobs:
            logger.info(
                "Moving streams.",
                extra={
                    "endpoint": endpoint.name,
                    "n_streams": len(jobs),
                    "leaves_in_s": leaves_in_s,
                },
            )
        await asyncio.gather(*(self._move(job, endpoint) for job in jobs))

    async def _read_time_left(self, endpoint: Endpoint) -> float | None:
        """Return the seconds until an endpoint is taken away, None if not known.

        A report that was not read is asked for again while own streams run there.
        """
        if endpoint.name in self.reading:
            return None
        self.reading.add(endpoint.name)
        for known in self.parts.placer.known_as(endpoint):
            known.is_report_unread = True
        pause_s = REPORT_PAUSE_S
        try:
            for _ in range(MAX_REPORT_CALLS):
                left_s = await self.engines.read_time_left(endpoint.record.address)
                if endpoint.takes_new_work():
                    return None
                if left_s is not None:
                    for known in self.parts.placer.known_as(endpoint):
                        known.is_report_unread = False
                    return left_s
                await self.parts.app.clock.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_REPORT_PAUSE_S)
                if not self.parts.placer.streams_at(endpoint):
                    return None
        finally:
            self.reading.discard(endpoint.name)
        return None

    async def _move(self, job: Job, endpoint: Endpoint) -> None:
        """Copy a stream's run and stop it; the request path then continues it.

        A run whose copy finds no room goes on while its endpoint lasts: sent back, it
        would reach an endpoint that is leaving.
        """
        placement = self.parts.placer.place(job)
        target = self.parts.table.find(placement.name) if placement else None
        if target is None or job.move is not None or not job.may_continue:
            return
        request_id = job.request.request_id
        source, to = endpoint.record.address, target.record.address
        copied = await self.engines.copy(source, request_id, to)
        if not copied.has_room:
            logger.info(
                "Stream not moved.",
                extra={
                    "request_id": request_id,
                    "endpoint": endpoint.name,
                    "target": target.name,
                },
            )
            return
        if self.parts.copies is not None:
            self.parts.copies.add(job, target, copied.run)
        is_running = job in self.parts.placer.streams_at(endpoint)
        if job.move is not None or not is_running or not job.may_continue:
            return
        _record_generated(job, copied.run)
        job.move = asyncio.get_running_loop().create_future()
        job.stops[endpoint.name] = StopState.PENDING
        moved = None
        try:
            moved = await self.engines.stop_and_copy(source, request_id, to)
        finally:
            state = StopState.UNKNOWN if moved is None else StopState.STOPPED
            job.stops[endpoint.name] = state
            _record_generated(job, moved)
            if self.parts.copies is not None:
                self.parts.copies.add(job, target, moved)
            if not job.move.done():
                job.move.set_result(find_ways(endpoint, target, copied.run, moved))


def _record_generated(job: Job, run: MovedRun | None) -> None:
    """Record the events of a run that its engine told with a copy."""
    if run is not None:
        job.n_generated = max(job.n_generated, run.n_events)


def find_ways(
    source: Endpoint, target: Endpoint, copy: MovedRun | None, stopped: MovedRun | None
) -> Ways:
    """Return where a run can be continued after a call to stop it, best first.

    Parameters
    ----------
    copy : MovedRun or None
        What the target holds since before the call.
    stopped : MovedRun or None
        The result of the call, None if its effect is unknown.
    """
    if stopped is not None and stopped.is_copied:
        return [(target, stopped)]
    ways: Ways = [] if copy is None else [(target, copy)]
    if stopped is not None:
        ways.append((source, stopped))
    return ways
