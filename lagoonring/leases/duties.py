"""Runs work that one instance does at a time, while it holds a lease."""

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
    """Compete for a duty as a task of the application, for ever.

    Parameters
    ----------
    app : Application
        Runs the task; its services ``log`` and ``peers`` are used.
    name : str
        Name of the task.
    run : callable
        Coroutine function of the duty, see :class:`Duty`.
    stream : str
        Stream of the log that keeps the lease and its data.
    data : GuardedData
        What the holder keeps in the stream.
    is_candidate : callable
        Whether this instance should compete now.
    options : LeaseOptions or None
        Times of the lease.

    Returns
    -------
    Lease
        What is competed for; to be released when this instance leaves.
    """
    me = app.find("peers").me.instance
    lease = Lease(app.find("log"), stream, me, app.clock, options, data=data)
    duty = Duty(lease, run, rng=app.rng, is_candidate=is_candidate)
    app.spawn(name, duty.compete)
    return lease


class Duty:
    """Competes for a lease and runs a coroutine while it is held.

    The coroutine is cancelled when the lease is lost. Before each order with an
    effect outside, it must check ``lease.is_held()`` itself and send
    ``lease.fencing_number`` along.

    Parameters
    ----------
    lease : Lease
        The lease to hold.
    run : callable
        Coroutine function that gets the lease; when it returns, the lease is
        released and competed for again.
    rng : random.Random
        Spreads the looks of the instances.
    is_candidate : callable
        Whether this instance should compete now; see :func:`is_among_first`.
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
        """Compete and run, for ever; give it to ``Application.spawn``."""
        options = self.lease.options
        while True:
            await self.lease.clock.sleep(options.poll_s * self.rng.uniform(0.5, 1.5))
            if self.is_candidate() and await self._try():
                await self._run_while_held()

    async def _try(self) -> bool:
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
        logger.info("Lost lease {}.", self.lease.stream.stream)


def rank(name: str, instances: Iterable[str]) -> list[str]:
    """Return instances in the order of preference for a name.

    Rendezvous hashing: every instance computes the same order, and one that
    comes or goes changes only its own places.
    """

    def weigh(instance: str) -> bytes:
        data = f"{name}\x00{instance}".encode()
        return blake2b(data, digest_size=DIGEST_BYTES).digest()

    return sorted(instances, key=weigh)


def is_among_first(
    name: str, me: str, instances: Iterable[str], *, n: int = N_CANDIDATES
) -> bool:
    """Whether this instance is among the ``n`` preferred ones for a name."""
    return me in rank(name, instances)[:n]
