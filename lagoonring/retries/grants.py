"""Gets leave for suspected attempts from their homes, and gives it back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.retries.homes import HomeUnreachableError
from lagoonring.retries.messages import (
    BUSY,
    CRASHED,
    GRANTED,
    OTHER,
    AttemptAsk,
    AttemptEnd,
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

WAIT_STEP_S = 0.02
WAIT_STEP_MOST_S = 0.4
BUSY_RETRY_AFTER_S = 1.0
ENDS_KEPT = 2_000
ENDPOINT_KEY = "endpoint:"


@attrs.define(eq=False)
class OwnAttempt:
    """An attempt of this instance that is in progress.

    ``is_asked`` says that the home knows of it, ``is_supervised`` that it is the
    only one of a suspected fingerprint, ``is_exclusive`` that it holds the
    exclusive use of its endpoint among suspected requests.
    """

    grant_id: str
    endpoint: str
    is_asked: bool = False
    is_supervised: bool = False
    is_exclusive: bool = False


class Grants:
    """Leave to run attempts, as the homes grant it to this instance.

    Parameters
    ----------
    app : Application
        Its clock paces the asking; it runs what tells homes soon.
    options : RetriesOptions
        How long to ask, in seconds.
    table : QuarantineTable
        What is known of fingerprints.
    homes : Homes
        Whom to ask and to tell.
    metrics : RetriesMetrics
        Counts the answers.
    merge : callable
        Takes in what a home knows of a fingerprint.
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
        self.ends: list[AttemptEnd] = []

    async def obtain(self, fingerprint: str, own: OwnAttempt) -> None:
        """Ask until the attempt may start; ``own.endpoint`` is then what to use.

        Earlier attempts of the request are told to have ended first, so that
        they do not count as in progress.

        Raises
        ------
        QuarantinedError
            If the request is in quarantine.
        SuspectBusyError
            If it did not get its turn, or its home can't be asked.
        """
        if any(end.key == fingerprint for end in self.ends):
            await self.flush()
        deadline_s = self.clock.monotonic() + self.options.wait_most_s
        step_s = WAIT_STEP_S
        try:
            while await self._ask_once(fingerprint, own) == BUSY:
                if self.clock.monotonic() + step_s > deadline_s:
                    raise _busy("an equal request in progress")
                await self.clock.sleep(step_s)
                step_s = min(2 * step_s, WAIT_STEP_MOST_S)
        except BaseException as error:
            self.give_back(fingerprint, own, OTHER)
            if isinstance(error, SuspectBusyError):
                self.metrics.refused.labels("busy").inc()
            raise

    def give_back(self, fingerprint: str, own: OwnAttempt, result: str) -> None:
        """Note an attempt's end for the homes; tell it soon where it matters.

        ``result`` is one of those of :class:`AttemptEnd`.
        """
        if own.is_asked:
            record = self.table.get(fingerprint)
            suspicion = record.as_suspicion() if record else Suspicion()
            self.ends.append(
                AttemptEnd(
                    key=fingerprint,
                    grant_id=own.grant_id,
                    result=result,
                    suspicion=suspicion,
                )
            )
        if own.is_exclusive:
            self.release_endpoint(own)
        del self.ends[:-ENDS_KEPT]
        if result == CRASHED or self.table.get(fingerprint) is not None:
            self.flush_soon()

    def release_endpoint(self, own: OwnAttempt) -> None:
        """Give up the exclusive use of the attempt's endpoint."""
        key = ENDPOINT_KEY + own.endpoint
        self.ends.append(AttemptEnd(key=key, grant_id=own.grant_id))
        own.is_exclusive = False

    def flush_soon(self) -> None:
        """Tell the homes of ended attempts without waiting for it."""
        self.app.spawn("retries-flush-now", self.flush)

    async def flush(self) -> None:
        """Tell the homes of attempts that have ended."""
        ends, self.ends = self.ends, []
        if ends:
            await self.homes.end(ends)

    async def _ask_once(self, fingerprint: str, own: OwnAttempt) -> str:
        """Ask the home once and return the state that it answered."""
        record = self.table.get(fingerprint)
        suspicion = record.as_suspicion() if record else Suspicion()
        ask = AttemptAsk(
            key=fingerprint,
            grant_id=own.grant_id,
            endpoint=own.endpoint,
            suspicion=suspicion,
        )
        own.is_asked = True
        try:
            answer = await self.homes.ask(ask)
        except HomeUnreachableError:
            if record is not None and record.is_suspected:
                raise _busy("no answer of the request's home") from None
            return GRANTED
        self.metrics.asked.labels(answer.state).inc()
        self.merge(fingerprint, answer.suspicion)
        self.check(fingerprint)
        if answer.state == BUSY:
            return BUSY
        own.endpoint = answer.endpoint or own.endpoint
        own.is_supervised = bool(answer.suspicion.crashes)
        if not own.is_supervised or self.table.is_wave():
            return answer.state
        if not await self._hold_endpoint(own):
            return BUSY
        return answer.state

    async def _hold_endpoint(self, own: OwnAttempt) -> bool:
        """Get the exclusive use of an endpoint among suspected requests."""
        ask = AttemptAsk(
            key=ENDPOINT_KEY + own.endpoint,
            grant_id=own.grant_id,
            endpoint=own.endpoint,
            is_exclusive=True,
        )
        try:
            answer = await self.homes.ask(ask)
        except HomeUnreachableError:
            return False
        own.is_exclusive = answer.state != BUSY
        return own.is_exclusive


def _busy(reason: str) -> SuspectBusyError:
    return SuspectBusyError(
        f"Got {reason}, expected leave to run a request that may crash endpoints.",
        remedy="Send it again after Retry-After; it was not run.",
        retry_after_s=BUSY_RETRY_AFTER_S,
    )
