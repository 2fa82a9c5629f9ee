"""The application object: owns services, tasks and their clean-up."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Protocol

from lagoonring.errors import LagoonringError
from lagoonring.kernel.clock import Clock
from lagoonring.logs.logger import make_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RESTART_DELAY_S = 0.2
RESTART_DELAY_LIMIT_S = 5.0
STOP_STEP_S = 0.5
RETIRE_LIMIT_S = 5.0

logger = make_logger("kernel")


class UnknownServiceError(LagoonringError, LookupError):
    """No service has the name asked for."""

    code = "unknown_service"


class Service(Protocol):
    """A part that the application starts, drains and stops.

    ``start`` is called in order of addition, ``drain`` and ``stop`` in reverse.
    ``drain`` gets the seconds that are left for work in progress; before it
    every service gets ``retire``, all at once.
    """

    name: str

    async def start(self) -> None:
        """Begin to serve."""

    async def retire(self) -> None:
        """Give up duties that another instance can take on at once."""

    async def drain(self, grace_s: float) -> None:
        """Take no new work and finish what is in progress."""

    async def stop(self) -> None:
        """Release everything that is held."""


class BaseService:
    """A service whose hooks do nothing until they are overridden."""

    name = "service"

    async def start(self) -> None:
        """Begin to serve."""

    async def retire(self) -> None:
        """Give up duties that another instance can take on at once."""

    async def drain(self, grace_s: float) -> None:
        """Take no new work and finish what is in progress."""

    async def stop(self) -> None:
        """Release everything that is held."""


class Application:
    """Finds services by name, supervises tasks and runs the life cycle.

    Parameters
    ----------
    settings : object
        The checked settings of the process.
    clock : Clock
        Source of time for all services.
    rng : random.Random
        Source of randomness for all services.
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

    def leave(self, grace_s: float) -> None:
        """Ask the process to drain and stop within ``grace_s`` seconds."""
        if not self.leaving.is_set():
            self.grace_s = grace_s
            self.leaving.set()

    def add(self, service: Any) -> Any:
        """Register a service under its ``name`` and return it."""
        self.services[service.name] = service
        return service

    def find(self, name: str) -> Any:
        """Return the service of that name.

        Raises
        ------
        UnknownServiceError
            If no such service was added.
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
        """Run ``run`` as a supervised task, started again after a failure."""
        task = asyncio.create_task(self._supervise(name, run), name=name)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self) -> None:
        """Start all services in order; on a failure stop those started."""
        try:
            for service in list(self.services.values()):
                self.started.append(service)
                await service.start()
        except BaseException:
            await self.stop()
            raise

    async def drain(self, grace_s: float) -> None:
        """Give up duties, then let every service finish, the last added first.

        Duties go first: nobody must wait for them while requests finish here,
        and the process may be killed before the last service's turn.
        """
        self.draining = True
        await self.retire_all(min(grace_s, RETIRE_LIMIT_S))
        for service in reversed(self.started):
            await service.drain(grace_s)

    async def retire_all(self, limit_s: float = RETIRE_LIMIT_S) -> None:
        """Let every service give up its duties, all at once."""
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.gather(*(service.retire() for service in self.started))
        except TimeoutError:
            logger.warning("Duties were not given up in time, their leases lapse.")

    async def stop(self) -> None:
        """Stop tasks and services; every one is tried, errors are logged.

        Tasks are cancelled until all have ended: a library may swallow one
        cancellation.
        """
        while self.tasks:
            for task in self.tasks:
                task.cancel()
            await asyncio.wait(self.tasks, timeout=STOP_STEP_S)
        while self.started:
            service = self.started.pop()
            try:
                await service.stop()
            except Exception:
                logger.exception("Service {} failed to stop.", service.name)

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        delay_s = RESTART_DELAY_S
        while True:
            started_s = self.clock.monotonic()
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("Task {} failed, starting it again.", name)
            if self.clock.monotonic() - started_s > RESTART_DELAY_LIMIT_S:
                delay_s = RESTART_DELAY_S
            await self.clock.sleep(delay_s)
            delay_s = min(2 * delay_s, RESTART_DELAY_LIMIT_S)
