"""Acquires grants for attempts from their homes and releases them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.retries.homes import HomeUnreachableError
from lagoonring.retries.messages import (
    BUSY,
    CRASHED,
    GRANTED,
    OTHER,
    AttemptEnd,
    AttemptQuery,
    SuspectBusyError,
    Suspicion,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application
    from lagoonring.retries.homes import Homes
    from lagoonring.retries.metrics import RetriesMetrics
    from lagoonring.retries.options import RetriesOptions
    from lagoonring.retries.quarantine import QuarantineTable

INITIAL_POLL_INTERVAL_S = 0.02
MAX_POLL_INTERVAL_S = 0.4
BUSY_RETRY_AFTER_S = 1.0
MAX_PENDING_ENDS = 2_000
ENDPOINT_KEY = "endpoint:"


@attrs.define(eq=False)
class LocalAttempt:
    """An attempt of this instance that is in progress.

    ``is_known_to_home`` is set once the home has been asked about it,
    ``is_supervised`` if it is the only attempt of a suspected fingerprint, and
    ``is_exclusive`` while it has the exclusive use of its endpoint among
    suspected requests.
    """

    grant_id: str
    endpoint: str
    is_known_to_home: bool = False
    is_supervised: bool = False
    is_exclusive: bool = False


class GrantClient:
    """Acquires and releases the grants of this instance's attempts.

    Parameters
    ----------
    app : Application
        Provides the clock and runs the task that flushes ended attempts.
    options : RetriesOptions
        Options of retries; ``wait_most_s`` limits the wait for a grant.
    table : QuarantineTable
        Suspected and quarantined fingerprints.
    homes : Homes
        Sends queries and ended attempts to the homes.
    metrics : RetriesMetrics
        Counts the answers.
    merge : callable
        Merges a home's suspicion of a fingerprint.
    check : callable
        Raises ``QuarantinedError`` for a fingerprint in quarantine.
    """

    def __init__(
        self,
        app: Application,
        options: RetriesOptions,
        *,
        table: QuarantineTable,
        homes: Homes,
        metrics: RetriesMetrics,
        merge: Callable[[str, Suspicion], None],
        check: Callable[[str], None],
    ) -> None:
        self.app = app
        self.clock = app.clock
        self.options = options
        self.table = table
        self.homes = homes
        self.metrics = metrics
        self.merge = merge
        self.check = check
        self.pending_ends: list[AttemptEnd] = []

    async def acquire(self, fingerprint: str, attempt: LocalAttempt) -> None:
        """Wait until the attempt may start; updates ``attempt.endpoint``.

        Ended attempts of the same request are reported first, so that they no
        longer count as in progress.

        Raises
        ------
        QuarantinedError
            If the request is in quarantine.
        SuspectBusyError
            If no grant was given in time, or the home of a suspected request
            did not answer.
        """
        if any(end.key == fingerprint for end in self.pending_ends):
            await self.flush()
        deadline_s = self.clock.monotonic() + self.options.wait_most_s
        poll_interval_s = INITIAL_POLL_INTERVAL_S
        try:
            while await self._ask_once(fingerprint, attempt) == BUSY:
                if self.clock.monotonic() + poll_interval_s > deadline_s:
                    raise _busy_error("an equal request in progress")
                await self.clock.sleep(poll_interval_s)
                poll_interval_s = min(2 * poll_interval_s, MAX_POLL_INTERVAL_S)
        except BaseException as error:
            self.release(fingerprint, attempt, OTHER)
            if isinstance(error, SuspectBusyError):
                self.metrics.refused.labels("busy").inc()
            raise

    def release(self, fingerprint: str, attempt: LocalAttempt, result: str) -> None:
        """Record an attempt's end for its home.

        The homes are notified at once if the endpoint crashed or the request is
        in the quarantine table, otherwise with the next periodic flush.
        ``result`` is one of those of :class:`AttemptEnd`.
        """
        if attempt.is_known_to_home:
            record = self.table.get(fingerprint)
            suspicion = record.as_suspicion() if record else Suspicion()
            self.pending_ends.append(
                AttemptEnd(
                    key=fingerprint,
                    grant_id=attempt.grant_id,
                    result=result,
                    suspicion=suspicion,
                )
            )
        if attempt.is_exclusive:
            self.release_endpoint(attempt)
        del self.pending_ends[:-MAX_PENDING_ENDS]
        if result == CRASHED or self.table.get(fingerprint) is not None:
            self.flush_soon()

    def release_endpoint(self, attempt: LocalAttempt) -> None:
        """Release the exclusive use of the attempt's endpoint."""
        key = ENDPOINT_KEY + attempt.endpoint
        self.pending_ends.append(AttemptEnd(key=key, grant_id=attempt.grant_id))
        attempt.is_exclusive = False

    def flush_soon(self) -> None:
        """Report ended attempts to the homes in the background."""
        self.app.spawn("retries-flush-now", self.flush)

    async def flush(self) -> None:
        """Report ended attempts to the homes."""
        ends, self.pending_ends = self.pending_ends, []
        if ends:
            await self.homes.end(ends)

    async def _ask_once(self, fingerprint: str, attempt: LocalAttempt) -> str:
        """Ask the home once and return the state in its answer.

        If the home is unreachable, an attempt that is not suspected counts as
        granted.
        """
        record = self.table.get(fingerprint)
        suspicion = record.as_suspicion() if record else Suspicion()
        query = AttemptQuery(
            key=fingerprint,
            grant_id=attempt.grant_id,
            endpoint=attempt.endpoint,
            suspicion=suspicion,
        )
        attempt.is_known_to_home = True
        try:
            answer = await self.homes.ask(query)
        except HomeUnreachableError:
            if record is not None and record.is_suspected:
                raise _busy_error("no answer of the request's home") from None
            return GRANTED
        self.metrics.asked.labels(answer.state).inc()
        self.merge(fingerprint, answer.suspicion)
        self.check(fingerprint)
        if answer.state == BUSY:
            return BUSY
        attempt.endpoint = answer.endpoint or attempt.endpoint
        attempt.is_supervised = bool(answer.suspicion.crashes)
        if not attempt.is_supervised or self.table.is_mass_failure():
            return answer.state
        if not await self._acquire_endpoint(attempt):
            return BUSY
        return answer.state

    async def _acquire_endpoint(self, attempt: LocalAttempt) -> bool:
        """Acquire the exclusive use of an endpoint among suspected requests."""
        query = AttemptQuery(
            key=ENDPOINT_KEY + attempt.endpoint,
            grant_id=attempt.grant_id,
            endpoint=attempt.endpoint,
            is_exclusive=True,
        )
        try:
            answer = await self.homes.ask(query)
        except HomeUnreachableError:
            return False
        attempt.is_exclusive = answer.state != BUSY
        return attempt.is_exclusive


def _busy_error(reason: str) -> SuspectBusyError:
    return SuspectBusyError(
        f"Got {reason}, expected leave to run a request that may crash endpoints.",
        remedy="Send it again after Retry-After; it was not run.",
        retry_after_s=BUSY_RETRY_AFTER_S,
    )
