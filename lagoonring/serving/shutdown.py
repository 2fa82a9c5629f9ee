"""Planned stop of the request path: what it still accepts, and what it gives up.

An instance that leaves is sent new requests for some seconds, and for longer where
most instances of its data centre leave as well. It accepts what ends before the
process does, waits until all of it has ended, and refuses the rest at once. Requests
that are in progress at the end of the grace period get a final answer.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.requests.errors import NotReadyError
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.errors import AnswerUnknownError

if TYPE_CHECKING:
    from lagoonring.errors import LagoonringError
    from lagoonring.kernel import Application
    from lagoonring.serving.requests import Job

MAX_LATE_ARRIVAL_S = 3.0  # two missed checks of a second each, and one in progress
RETRY_S = 0.05  # another instance accepts the request at once
FINAL_ANSWER_TIMEOUT_S = 0.2

logger = make_logger("path")


class Shutdown(BaseService):
    """Tracks the requests in progress and stops the request path.

    Attributes
    ----------
    retired_s : float or None
        Time on the clock at which the instance began to leave.
    is_closed : bool
        Whether all requests are refused, because none may be in progress any more.
    """

    name = "shutdown"

    def __init__(self, app: Application) -> None:
        self.app = app
        self.tasks: set[asyncio.Task[Any]] = set()
        self.idle = asyncio.Event()
        self.idle.set()
        self.retired_s: float | None = None
        self.is_closed = False
        self.is_interrupting = False

    def begin(self) -> None:
        """Track a request, which is served by the current task."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.idle.clear()

    def end(self) -> None:
        """Stop tracking the request of the current task."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.discard(task)
        if not self.tasks:
            self.idle.set()

    async def retire(self) -> None:
        """Begin to refuse requests that may not end before the process does."""
        self.retired_s = self.app.clock.monotonic()
        logger.info("Retired.", extra={"n_in_progress": len(self.tasks)})

    async def drain(self, grace_s: float) -> None:
        """Wait for late arrivals and the requests in progress, then accept no more."""
        left_s = self._late_arrivals_left_s()
        await self.app.clock.sleep(min(left_s, grace_s))
        try:
            async with asyncio.timeout(max(grace_s - left_s, 0.0)):
                while self.tasks:
                    await self.idle.wait()
            self.is_closed = True
            logger.info("No request in progress.", extra=self.describe())
        except TimeoutError:
            self.is_closed = True
            logger.warning(
                "Drain timed out with requests in progress.",
                extra={"n": len(self.tasks), **self.describe()},
            )
            await self._interrupt()

    def check_open(self) -> None:
        """Raise ``NotReadyError`` once all requests are refused."""
        if self.is_closed:
            raise _refusal()

    def check(self, job: Job) -> None:
        """Raise ``NotReadyError`` for a request that the shutdown may cut off.

        A request that ends by its deadline has its final answer by then.
        """
        if self.retired_s is None or self._late_arrivals_left_s():
            return
        end_s = self.app.drain_end_s
        is_stream = job.route.kind is RequestKind.STREAM
        if is_stream or (end_s is not None and job.deadline_s > end_s):
            raise _refusal()

    def describe(self) -> dict[str, Any]:
        """Return the time since this instance began to leave, if it did."""
        if self.retired_s is None:
            return {}
        return {"leaving_s": round(self.app.clock.monotonic() - self.retired_s, 3)}

    def end_interrupted(self, job: Job | None) -> LagoonringError | None:
        """Return the final error of a cancelled request, None if its caller left.

        The cancellation is undone, so that the error can be sent.
        """
        task = asyncio.current_task()
        if not self.is_interrupting or task is None:
            return None
        task.uncancel()
        if job is None or (job.n_runs == 0 and job.move is None):
            return _refusal()
        return AnswerUnknownError(
            "Got no whole answer before the instance stopped.",
            remedy="Send it again only if it is idempotent.",
        )

    async def _interrupt(self) -> None:
        """Cancel the requests in progress, and wait for their final answers."""
        self.is_interrupting = True
        tasks = set(self.tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=FINAL_ANSWER_TIMEOUT_S)
        self.is_interrupting = False

    def _late_arrivals_left_s(self) -> float:
        """Return the seconds in which many late requests may still arrive."""
        if self.retired_s is None:
            return 0.0
        end_s = self.retired_s + MAX_LATE_ARRIVAL_S
        return max(end_s - self.app.clock.monotonic(), 0.0)


def _refusal() -> NotReadyError:
    return NotReadyError(
        "Got a request that may not end before the instance stops, expected it "
        "earlier.",
        remedy="Send it again; another instance takes it.",
        retry_after_s=RETRY_S,
    )
