"""The application: registers services, supervises tasks and runs the life cycle."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Protocol

from lagoonring.errors import LagoonringError
from lagoonring.kernel.clock import Clock
from lagoonring.logs.logger import make_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

MIN_RESTART_DELAY_S = 0.2
MAX_RESTART_DELAY_S = 5.0
CANCEL_INTERVAL_S = 0.5
MAX_RETIRE_S = 5.0

logger = make_logger("kernel")


class UnknownServiceError(LagoonringError, LookupError):
    """No service is registered under the requested name."""

    code = "unknown_service"


class Service(Protocol):
    """A component that the application starts, drains and stops.

    ``start`` is called in order of registration, ``drain`` and ``stop`` in reverse
    order. ``retire`` is called on all services concurrently before the first
    ``drain``, which receives the seconds that work in progress may take.
    """

    name: str

    async def start(self) -> None:
        """Begin to serve."""

    async def retire(self) -> None:
        """Release duties that another instance can take over at once."""

    async def drain(self, grace_s: float) -> None:
        """Accept no new work and complete the work in progress."""

    async def stop(self) -> None:
        """Release all resources."""


class BaseService:
    """A service whose hooks do nothing unless overridden."""

    name = "service"

    async def start(self) -> None:
        """Begin to serve."""

    async def retire(self) -> None:
        """Release duties that another instance can take over at once."""

    async def drain(self, grace_s: float) -> None:
        """Accept no new work and complete the work in progress."""

    async def stop(self) -> None:
        """Release all resources."""


class Application:
    """Holds the services by name, supervises tasks and runs the life cycle.

    Parameters
    ----------
    settings : object
        The checked settings of the process.
    clock : Clock
        Source of time for all services.
    rng : random.Random
        Source of randomness for all services.

    Attributes
    ----------
    left_s : float
        Time on the clock of the first call of :meth:`leave`.
    drain_end_s : float or None
        Time on the clock at which the drain ends; None before it begins.
    """

    def __init__(
        self,
        settings: Any = None,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        self.rng = rng or random.Random()
        self.services: dict[str, Any] = {}
        self.started: list[Any] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.draining = False
        self.leaving = asyncio.Event()
        self.grace_s: float | None = None
        self.left_s = float("-inf")
        self.drain_end_s: float | None = None

    def leave(self, grace_s: float) -> None:
        """Request that the process drain for at most ``grace_s`` seconds, then stop.

        Only the first call has an effect.
        """
        if not self.leaving.is_set():
            self.grace_s = grace_s
            self.left_s = self.clock.monotonic()
            self.leaving.set()

    def remaining_grace_s(self) -> float:
        """Return what is left of the grace period since :meth:`leave`, or 0."""
        if self.grace_s is None:
            return 0.0
        return max(self.left_s + self.grace_s - self.clock.monotonic(), 0.0)

    def add(self, service: Any) -> Any:
        """Register a service under its ``name`` and return it."""
        self.services[service.name] = service
        return service

    def find(self, name: str) -> Any:
        """Return the service registered under a name.

        Raises
        ------
        UnknownServiceError
            If there is none.
        """
        try:
            return self.services[name]
        except KeyError:
            known = ", ".join(sorted(self.services))
            raise UnknownServiceError(
                f"Got service name {name!r}, expected one of: {known}.",
                remedy="Add the service to the application before it is used.",
            ) from None

    def spawn(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> asyncio.Task[None]:
        """Run ``run`` as a supervised task, which is restarted after an exception."""
        task = asyncio.create_task(self._supervise(name, run), name=name)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self) -> None:
        """Start all services in order; if one fails, stop those already started."""
        try:
            for service in list(self.services.values()):
                self.started.append(service)
                await service.start()
        except BaseException:
            await self.stop()
            raise

    async def drain(self, grace_s: float) -> None:
        """Retire all services, then drain them in reverse order.

        Duties are released first, so that other instances can take them over while
        requests finish here, and because the process may be killed before the last
        service is drained. The grace period starts at the call and is shared by all
        services.
        """
        self.draining = True
        end_s = self.drain_end_s = self.clock.monotonic() + grace_s
        await self.retire_all(min(grace_s, MAX_RETIRE_S))
        await drain_all(self.started, end_s, self.clock)

    async def retire_all(self, timeout_s: float = MAX_RETIRE_S) -> None:
        """Retire all services concurrently, within a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await retire_together(self.started)
        except TimeoutError:
            logger.warning(
                "Duties were not released in time, their leases will expire."
            )

    async def stop(self) -> None:
        """Stop all tasks and services; errors are logged and do not interrupt it.

        Tasks are cancelled repeatedly until all have ended, because a library may
        swallow a cancellation.
        """
        while self.tasks:
            for task in self.tasks:
                task.cancel()
            await asyncio.wait(self.tasks, timeout=CANCEL_INTERVAL_S)
        while self.started:
            service = self.started.pop()
            try:
                await service.stop()
            except Exception:
                logger.exception("Service {} failed to stop.", service.name)

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_s = self.clock.monotonic()
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("Task {} failed, restarting it.", name)
            if self.clock.monotonic() - started_s > MAX_RESTART_DELAY_S:
                delay_s = MIN_RESTART_DELAY_S
            await self.clock.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)


async def retire_together(services: Iterable[Any]) -> None:
    """Retire services concurrently; errors are logged and do not interrupt it."""

    async def retire(service: Any) -> None:
        try:
            await service.retire()
        except Exception:
            logger.exception("Service {} failed to retire.", service.name)

    await asyncio.gather(*(retire(service) for service in services))


async def drain_all(services: Sequence[Any], end_s: float, clock: Clock) -> None:
    """Drain services in reverse order until a time on the clock.

    Errors are logged and do not interrupt it: the others have work in progress.
    """
    for service in reversed(services):
        try:
            await service.drain(max(end_s - clock.monotonic(), 0.0))
        except Exception:
            logger.exception("Service {} failed to drain.", service.name)
