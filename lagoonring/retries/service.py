"""Budgets, hedging delays and the quarantine of crashing requests."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.retries.arbiter import Arbiter
from lagoonring.retries.budget import RetryBudgets
from lagoonring.retries.homes import Homes, HomeUnreachableError
from lagoonring.retries.latencies import LatencyHistogram
from lagoonring.retries.messages import (
    BUSY,
    CAUSE_ENDPOINT,
    CAUSE_REQUEST,
    CAUSE_SUSPECT,
    CRASHED,
    GRANTED,
    OTHER,
    WHOLE,
    AttemptAnswer,
    AttemptAsk,
    AttemptEnd,
    Crash,
    QuarantinedError,
    SuspectBusyError,
    Suspicion,
)
from lagoonring.retries.metrics import RetriesMetrics
from lagoonring.retries.options import RetriesOptions
from lagoonring.retries.quarantine import QuarantineTable, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application

FLUSH_S = 0.25
WAIT_STEP_S = 0.02
WAIT_STEP_MOST_S = 0.4
BUSY_RETRY_AFTER_S = 1.0
ENDS_KEPT = 2_000
ROWS_MOST = 512
ENDPOINT_KEY = "endpoint:"

logger = make_logger("retries")


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


class RetriesService(BaseService):
    """Retries as a service of the application."""

    name = "retries"

    def __init__(self, app: Application, options: RetriesOptions | None = None):
        self.app = app
        self.options = options or RetriesOptions()
        self.table = QuarantineTable(app.clock, self.options)
        self.arbiter = Arbiter(self.table, app.clock, self.options)
        self.budgets = RetryBudgets(app.clock, self.options)
        self.latencies: dict[str, LatencyHistogram] = {}
        self.attempts: dict[tuple[str, str], list[OwnAttempt]] = {}
        self.ends: list[AttemptEnd] = []
        self.published: dict[str, float] = {}
        self.listeners: list[Callable[[Verdict], None]] = []
        self.sequence = itertools.count()
        self.metrics = RetriesMetrics(app)
        self.homes = self._make_homes(None)
        self.peers: Any = None

    async def start(self) -> None:
        """Follow the peers' rows and serve as a home."""
        self.peers = self.app.services.get("peers")
        self.homes = self._make_homes(self.peers)
        self.homes.serve()
        if self.peers is not None:
            self.peers.subscribe("quarantine", Suspicion, self._take_row)
        self.app.spawn("retries-flush", self._flush_always)

    def subscribe(self, callback: Callable[[Verdict], None]) -> None:
        """Call back whenever the cause of a crash has been decided."""
        self.listeners.append(callback)

    def check(self, fingerprint: str) -> None:
        """Refuse a request that has crashed endpoints twice.

        Raises
        ------
        QuarantinedError
            If it is in quarantine.
        """
        record = self.table.get(fingerprint)
        if record is None or not record.is_condemned:
            return
        self.metrics.refused.labels("quarantined").inc()
        raise QuarantinedError(
            f"Got a request that took {len(record.crashes)} endpoints down, "
            "expected another one.",
            remedy="Change the request; it is not run again for now.",
            retry_after_s=record.expires_s - self.app.clock.monotonic(),
        )

    async def attempt(self, fingerprint: str, endpoint: str, *, entry: str = "") -> str:
        """Wait for leave to start an attempt.

        Returns
        -------
        str
            The endpoint to use; another one than asked for if equal requests
            are in progress there.

        Raises
        ------
        QuarantinedError
            If the request is in quarantine.
        SuspectBusyError
            If it is suspected and did not get its turn, or its home can't be
            asked. It was not run.
        """
        self.check(fingerprint)
        self.budgets.note_attempt(entry)
        own = OwnAttempt(f"{self._instance()}-{next(self.sequence)}", endpoint)
        if self._must_ask(fingerprint):
            await self._ask_home(fingerprint, own)
        self.attempts.setdefault((fingerprint, own.endpoint), []).append(own)
        return own.endpoint

    def ended(self, fingerprint: str, endpoint: str, *, ok: bool) -> None:
        """Note the end of an attempt that did not crash its endpoint."""
        own = self._pop_attempt(fingerprint, endpoint)
        if ok:
            self.arbiter.note_completed(fingerprint)
            self._clear(fingerprint)
        if own is not None:
            self._end(fingerprint, own, WHOLE if ok else OTHER)

    def crashed(self, fingerprint: str, endpoint: str) -> str:
        """Note that an endpoint went down with the request in progress.

        Returns
        -------
        str
            ``request`` if the request is condemned, ``suspect`` while it may
            also be the endpoint's own fault, empty if the endpoint was leaving.
        """
        own = self._pop_attempt(fingerprint, endpoint)
        if self._is_leaving(endpoint):
            if own is not None:
                self._end(fingerprint, own, OTHER)
            return CAUSE_ENDPOINT
        is_supervised = own is not None and own.is_supervised
        is_strong = is_supervised or fingerprint not in self.arbiter.completed
        crash = Crash(endpoint, self.app.clock.time(), is_strong)
        self._tell_verdicts(self.table.note_crash(fingerprint, crash))
        record = self.table.get(fingerprint)
        assert record is not None
        self._publish(fingerprint, record.as_suspicion(), urgent=True)
        if own is not None:
            self._end(fingerprint, own, CRASHED)
        cause = CAUSE_REQUEST if record.is_condemned else CAUSE_SUSPECT
        self.metrics.crashes.labels(cause).inc()
        logger.warning("Endpoint {} went down with a request: {}.", endpoint, cause)
        return cause

    def progressed(self, fingerprint: str, endpoint: str) -> None:
        """Note that an attempt has got further than where a crash cut one off.

        To be called at an attempt's first new token. A suspected request then
        gives up the exclusive use of its endpoint, but stays suspected.
        """
        for own in self.attempts.get((fingerprint, endpoint), ()):
            if own.is_exclusive:
                self._release_endpoint(own)
                self.app.spawn("retries-flush-now", self.flush)

    def may_retry(self, entry: str) -> bool:
        """Take a retry or hedge from the entry's budget, if one is left."""
        allowed = self.budgets.take(entry)
        self.metrics.retries.labels("yes" if allowed else "no").inc()
        return allowed

    def note_latency(self, entry: str, seconds: float) -> None:
        """Take the latency of a call in."""
        histogram = self.latencies.get(entry)
        if histogram is None:
            histogram = self.latencies[entry] = LatencyHistogram()
        histogram.add(seconds)

    def hedge_delay_s(self, entry: str) -> float | None:
        """Return after how long to hedge, None while too little is known."""
        histogram = self.latencies.get(entry)
        if histogram is None:
            return None
        delay_s = histogram.quantile(self.options.hedge_quantile)
        if delay_s is None:
            return None
        return max(self.options.hedge_delay_least_s, delay_s)

    async def drain(self, grace_s: float) -> None:
        """Tell the homes of all attempts that have ended."""
        await self.flush()

    async def flush(self) -> None:
        """Tell the homes of attempts that have ended."""
        ends, self.ends = self.ends, []
        if ends:
            await self.homes.end(ends)

    def _clear(self, fingerprint: str) -> None:
        record = self.table.get(fingerprint)
        if record is None or record.is_condemned or not record.is_suspected:
            return
        self._tell_verdicts(self.table.note_whole(fingerprint))
        self._publish(fingerprint, record.as_suspicion(), urgent=True)

    def _must_ask(self, fingerprint: str) -> bool:
        record = self.table.get(fingerprint)
        if record is not None and record.is_suspected:
            return True
        if self.options.arbitration != "always":
            return False
        return fingerprint not in self.arbiter.completed

    async def _ask_home(self, fingerprint: str, own: OwnAttempt) -> None:
        """Ask until the attempt may start; own.endpoint is what to use.

        Earlier attempts of the request are told to have ended first, so that
        they do not count as in progress.
        """
        if any(end.key == fingerprint for end in self.ends):
            await self.flush()
        deadline_s = self.app.clock.monotonic() + self.options.wait_most_s
        step_s = WAIT_STEP_S
        try:
            while await self._ask_once(fingerprint, own) == BUSY:
                if self.app.clock.monotonic() + step_s > deadline_s:
                    raise _busy("an equal request in progress")
                await self.app.clock.sleep(step_s)
                step_s = min(2 * step_s, WAIT_STEP_MOST_S)
        except BaseException as error:
            self._end(fingerprint, own, OTHER)
            if isinstance(error, SuspectBusyError):
                self.metrics.refused.labels("busy").inc()
            raise

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
        self._merge(fingerprint, answer.suspicion)
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

    def _pop_attempt(self, fingerprint: str, endpoint: str) -> OwnAttempt | None:
        attempts = self.attempts.get((fingerprint, endpoint))
        if not attempts:
            return None
        own = attempts.pop()
        if not attempts:
            del self.attempts[fingerprint, endpoint]
        return own

    def _end(self, fingerprint: str, own: OwnAttempt, result: str) -> None:
        """Tell the homes of the end, soon where it matters."""
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
            self._release_endpoint(own)
        del self.ends[:-ENDS_KEPT]
        if result == CRASHED or self.table.get(fingerprint) is not None:
            self.app.spawn("retries-flush-now", self.flush)

    def _release_endpoint(self, own: OwnAttempt) -> None:
        key = ENDPOINT_KEY + own.endpoint
        self.ends.append(AttemptEnd(key=key, grant_id=own.grant_id))
        own.is_exclusive = False

    def _is_leaving(self, endpoint: str) -> bool:
        routing = self.app.services.get("routing")
        return routing is not None and routing.is_leaving(endpoint)

    async def _flush_always(self) -> None:
        while True:
            await self.app.clock.sleep(FLUSH_S)
            self.homes.refresh()
            await self.flush()
            self._withdraw_old_rows()
            self.metrics.suspected.set(len(self.table.records))

    def _withdraw_old_rows(self) -> None:
        now_s = self.app.clock.monotonic()
        for fingerprint, until_s in list(self.published.items()):
            if until_s <= now_s:
                self._withdraw(fingerprint)

    def _withdraw(self, fingerprint: str) -> None:
        del self.published[fingerprint]
        if self.peers is not None:
            self.peers.publish("quarantine", fingerprint, None)

    def _publish(
        self, fingerprint: str, row: Suspicion, *, urgent: bool = False
    ) -> None:
        self.published.pop(fingerprint, None)
        record = self.table.get(fingerprint)
        is_condemned = record is not None and record.is_condemned
        options = self.options
        keep_s = options.quarantine_s if is_condemned else options.suspect_s
        self.published[fingerprint] = self.app.clock.monotonic() + keep_s
        if len(self.published) > ROWS_MOST:
            self._withdraw(next(iter(self.published)))
        if self.peers is not None:
            self.peers.publish("quarantine", fingerprint, row, urgent=urgent)

    def _take_row(self, origin: str, name: str, row: Suspicion | None) -> None:
        if row is not None:
            self._merge(name, row)

    def _merge(self, fingerprint: str, suspicion: Suspicion) -> None:
        if suspicion.crashes or suspicion.cleared_s:
            self._tell_verdicts(self.table.merge(fingerprint, suspicion))

    def _tell_verdicts(self, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            if verdict.cause == CAUSE_REQUEST:
                logger.warning(
                    "Request {} is the cause of a crash.", verdict.fingerprint
                )
            for listener in self.listeners:
                listener(verdict)

    def _answer_ask(self, ask: AttemptAsk) -> AttemptAnswer:
        answer, verdicts = self.arbiter.ask(ask)
        self._tell_verdicts(verdicts)
        return answer

    def _answer_end(self, end: AttemptEnd) -> None:
        self._tell_verdicts(self.arbiter.end(end))

    def _make_homes(self, peers: Any) -> Homes:
        return Homes(
            peers,
            on_ask=self._answer_ask,
            on_end=self._answer_end,
            call_timeout_s=self.options.call_timeout_s,
        )

    def _instance(self) -> str:
        return self.peers.me.instance if self.peers is not None else "alone"


def _busy(reason: str) -> SuspectBusyError:
    return SuspectBusyError(
        f"Got {reason}, expected leave to run a request that may crash endpoints.",
        remedy="Send it again after Retry-After; it was not run.",
        retry_after_s=BUSY_RETRY_AFTER_S,
    )
