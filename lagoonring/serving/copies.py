"""Frees copies of runs that no stream was continued from."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.platform.engine_calls import MovedRun
    from lagoonring.serving.endpoints import Endpoint
    from lagoonring.serving.evacuation import Engines
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.requests import Job

MAX_CALLS = 3  # for each copy; its engine frees it by itself later
RETRY_PAUSE_S = 0.5
MAX_CALLS_AT_ONCE = 16

logger = make_logger("copies")


class Copies:
    """Frees the copies that moves made on other engines, apart from the requests.

    Parameters
    ----------
    engines : Engines
        Frees copies.
    """

    def __init__(self, engines: Engines, clock: Clock) -> None:
        self.engines = engines
        self.clock = clock
        self.tasks: set[asyncio.Task[None]] = set()
        self.calls = asyncio.Semaphore(MAX_CALLS_AT_ONCE)

    def add(self, job: Job, target: Endpoint, run: MovedRun | None) -> None:
        """Note a copy on an engine; it is freed at once if the job has ended."""
        if run is None or not run.is_copied:
            return
        job.copies.add((target.record.address, run.handle))
        if job.is_ended:
            self.release(job)

    def release(self, job: Job) -> None:
        """Free the copies of a job that are not used."""
        for address, handle in job.copies:
            task = asyncio.create_task(
                self._free(job.request.request_id, address, handle)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        job.copies.clear()

    async def stop(self) -> None:
        """Cancel the calls in progress."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _free(self, request_id: str, address: str, handle: str) -> None:
        is_freed = False
        for n_calls in range(MAX_CALLS):
            if n_calls:
                await self.clock.sleep(RETRY_PAUSE_S)
            async with self.calls:
                is_freed = await self.engines.free(address, handle)
            if is_freed:
                break
        logger.info(
            "Copy freed." if is_freed else "Copy not freed.",
            extra={
                "request_id": request_id,
                "address": address,
                "handle": handle,
                "n_calls": n_calls + 1,
            },
        )


def take_copies(job: Job, target: Endpoint) -> set[tuple[str, str]]:
    """Forget the copies on an engine that a stream is continued from; return them."""
    taken = {copy for copy in job.copies if copy[0] == target.record.address}
    job.copies -= taken
    return taken


def release_copies(parts: ServingParts, job: Job, *, is_ended: bool = False) -> None:
    """Free the copies of a job that are not used, also later ones once it has ended."""
    job.is_ended = job.is_ended or is_ended
    if parts.copies is not None:
        parts.copies.release(job)
