"""Budgets, hedging delays and the quarantine of crashing requests."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.retries.arbiter import Arbiter
from lagoonring.retries.budget import RetryBudgets
from lagoonring.retries.grants import Grants, OwnAttempt
from lagoonring.retries.homes import Homes
from lagoonring.retries.latencies import LatencyHistogram
from lagoonring.retries.messages import (
    CAUSE_ENDPOINT,
    CAUSE_REQUEST,
    CAUSE_SUSPECT,
    CRASHED,
    OTHER,
    WHOLE,
    AttemptAnswer,
    AttemptAsk,
    AttemptEnd,
    Crash,
    QuarantinedError,
    Suspicion,
)
from lagoonring.retries.metrics import RetriesMetrics
from lagoonring.retries.options import RetriesOptions
from lagoonring.retries.quarantine import QuarantineTable, Verdict
from lagoonring.retries.rows import SuspicionRows

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application

FLUSH_S = 0.25

logger = make_logger("retries")


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
        self.listeners: list[Callable[[Verdict], None]] = []
        self.sequence = itertools.count()
        self.metrics = RetriesMetrics(app)
        self.rows = SuspicionRows(app.clock, self.options)
        self.homes = Homes(
            on_ask=self._answer_ask,
            on_end=self._answer_end,
            call_timeout_s=self.options.call_timeout_s,
        )
        self.grants = Grants(
            app,
            self.options,
            table=self.table,
            homes=self.homes,
            metrics=self.metrics,
            merge=self._merge,
            check=self.check,
        )
        self.peers: Any = None

    async def start(self) -> None:
        """Follow the peers' rows and serve as a home."""
        self.peers = self.app.services.get("peers")
        if self.peers is not None:
            self.homes.serve(self.peers)
            self.rows.follow(self.peers, self._merge)
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
            await self.grants.obtain(fingerprint, own)
        self.attempts.setdefault((fingerprint, own.endpoint), []).append(own)
        return own.endpoint

    def ended(self, fingerprint: str, endpoint: str, *, ok: bool) -> None:
        """Note the end of an attempt that did not crash its endpoint."""
        own = self._pop_attempt(fingerprint, endpoint)
        if ok:
            self.arbiter.note_completed(fingerprint)
            self._clear(fingerprint)
        if own is not None:
            self.grants.give_back(fingerprint, own, WHOLE if ok else OTHER)

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
                self.grants.give_back(fingerprint, own, OTHER)
            return CAUSE_ENDPOINT
        is_supervised = own is not None and own.is_supervised
        is_strong = is_supervised or fingerprint not in self.arbiter.completed
        crash = Crash(endpoint, self.app.clock.time(), is_strong)
        self._tell_verdicts(self.table.note_crash(fingerprint, crash))
        record = self.table.get(fingerprint)
        assert record is not None
        self.rows.publish(fingerprint, record)
        if own is not None:
            self.grants.give_back(fingerprint, own, CRASHED)
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
                self.grants.release_endpoint(own)
                self.grants.flush_soon()

    def may_retry(self, entry: str) -> bool:
        """Take a retry or hedge from the entry's budget, if one is left."""
        allowed = self.budgets.take(entry)
        self.metrics.retries.labels("yes" if allowed else "no").inc()
        return allowed

    def record_latency(self, entry: str, seconds: float) -> None:
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
        await self.grants.flush()

    def _clear(self, fingerprint: str) -> None:
        record = self.table.get(fingerprint)
        if record is None or record.is_condemned or not record.is_suspected:
            return
        self._tell_verdicts(self.table.note_whole(fingerprint))
        self.rows.publish(fingerprint, record)

    def _must_ask(self, fingerprint: str) -> bool:
        record = self.table.get(fingerprint)
        if record is not None and record.is_suspected:
            return True
        if self.options.arbitration != "always":
            return False
        return fingerprint not in self.arbiter.completed

    def _pop_attempt(self, fingerprint: str, endpoint: str) -> OwnAttempt | None:
        attempts = self.attempts.get((fingerprint, endpoint))
        if not attempts:
            return None
        own = attempts.pop()
        if not attempts:
            del self.attempts[fingerprint, endpoint]
        return own

    def _is_leaving(self, endpoint: str) -> bool:
        routing = self.app.services.get("routing")
        return routing is not None and routing.is_leaving(endpoint)

    async def _flush_always(self) -> None:
        while True:
            await self.app.clock.sleep(FLUSH_S)
            self.homes.refresh()
            await self.flush()
            self.rows.withdraw_expired()
            self.metrics.suspected.set(len(self.table.records))

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

    def _instance(self) -> str:
        return self.peers.me.instance if self.peers is not None else "alone"
