"""Singleton duties: work that runs only on the instance holding a lease."""

from __future__ import annotations

import asyncio
from hashlib import blake2b
from typing import TYPE_CHECKING

from lagoonring.leases.errors import LeaseLostError
from lagoonring.leases.lease import Lease
from lagoonring.logs import make_logger
from lagoonring.platform.log import LogAnswerLostError, LogUnavailableError

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Iterable

    from lagoonring.kernel import Application
    from lagoonring.leases.options import LeaseOptions
    from lagoonring.leases.stream import GuardedData

N_CANDIDATES = 3
DIGEST_BYTES = 8

logger = make_logger("leases")


def compete_for_duty(
    app: Application,
    name: str,
    run: Callable[[Lease], Awaitable[None]],
    *,
    stream: str,
    data: GuardedData,
    is_candidate: Callable[[], bool],
    options: LeaseOptions | None = None,
) -> Lease:
    """Spawn a task of the application that competes for a duty until shutdown.

    Parameters
    ----------
    app : Application
        Runs the task; must have the services ``log`` and ``peers``.
    name : str
        Name of the task.
    run : callable
        Coroutine function of the duty, see :class:`Duty`.
    stream : str
        Log stream that stores the lease and its data.
    data : GuardedData
        State rebuilt from the records that the holder appends to the stream.
    is_candidate : callable
        Returns whether this instance should compete now.
    options : LeaseOptions or None
        Timing of the lease; None uses the defaults.

    Returns
    -------
    Lease
        The lease of the duty; release it when this instance leaves.
    """
    me = app.find("peers").me.instance
    lease = Lease(app.find("log"), stream, me, app.clock, options, data=data)
    duty = Duty(lease, run, rng=app.rng, is_candidate=is_candidate)
    app.spawn(name, duty.compete)
    return lease


class Duty:
    """Competes for a lease and runs a coroutine while it is held.

    The coroutine is cancelled when the lease is lost. Before each operation with
    external effects, it must check ``lease.is_held()`` itself and pass
    ``lease.fencing_number`` along.

    Parameters
    ----------
    lease : Lease
        The lease to acquire and renew.
    run : callable
        Coroutine function that is passed the lease; when it returns, the lease is
        released and competed for again.
    rng : random.Random
        Adds jitter to the polling interval.
    is_candidate : callable
        Returns whether this instance should compete now; see
        :func:`is_among_first`.
    """

    def __init__(
        self,
        lease: Lease,
        run: Callable[[Lease], Awaitable[None]],
        *,
        rng: random.Random,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        self.lease = lease
        self.run = run
        self.rng = rng
        self.is_candidate = is_candidate

    async def compete(self) -> None:
        """Poll for the lease and run the duty until cancelled.

        Intended as a task for ``Application.spawn``.
        """
        options = self.lease.options
        while True:
            await self.lease.clock.sleep(options.poll_s * self.rng.uniform(0.5, 1.5))
            if self.is_candidate() and await self._try_acquire():
                await self._run_while_held()

    async def _try_acquire(self) -> bool:
        try:
            return await self.lease.acquire() is not None
        except (LogUnavailableError, LogAnswerLostError):
            return False

    async def _run_while_held(self) -> None:
        work = asyncio.ensure_future(self.run(self.lease))
        renewal = asyncio.create_task(self._renew_until_lost())
        try:
            await asyncio.wait({work, renewal}, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                work.result()
        finally:
            for task in (work, renewal):
                task.cancel()
            await asyncio.gather(work, renewal, return_exceptions=True)
            await self.lease.release()

    async def _renew_until_lost(self) -> None:
        options = self.lease.options
        while self.lease.is_held():
            wait_s = min(options.renew_interval_s, self.lease.remaining_s())
            await self.lease.clock.sleep(wait_s)
            try:
                async with asyncio.timeout(self.lease.remaining_s()):
                    await self.lease.renew()
            except (LogUnavailableError, LogAnswerLostError, TimeoutError):
                continue
            except LeaseLostError:
                break
        logger.info("Lease {} lost.", self.lease.stream.stream)


def rank(name: str, instances: Iterable[str]) -> list[str]:
    """Return the instances in order of preference for a name.

    Uses rendezvous hashing: every instance computes the same order, and adding
    or removing an instance does not reorder the others.
    """

    def score(instance: str) -> bytes:
        data = f"{name}\x00{instance}".encode()
        return blake2b(data, digest_size=DIGEST_BYTES).digest()

    return sorted(instances, key=score)


def is_among_first(
    name: str, me: str, instances: Iterable[str], *, n: int = N_CANDIDATES
) -> bool:
    """Return whether this instance is among the first ``n`` ranked for a name."""
    return me in rank(name, instances)[:n]
