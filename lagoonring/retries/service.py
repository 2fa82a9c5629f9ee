"""Retry budgets, hedging delays and the quarantine of crashing requests."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.retries.arbiter import Arbiter
from lagoonring.retries.budget import RetryBudgets
from lagoonring.retries.grants import GrantClient, LocalAttempt
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
    AttemptEnd,
    AttemptQuery,
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

FLUSH_INTERVAL_S = 0.25
MAX_TRIAL_CRASHES = 3  # of a request that a version on trial may explain

logger = make_logger("retries")


class RetriesService(BaseService):
    """Application service for retries, hedging and the quarantine."""

    name = "retries"

    def __init__(self, app: Application, options: RetriesOptions | None = None):
        self.app = app
        self.options = options or RetriesOptions()
        self.table = QuarantineTable(app.clock, self.options)
        self.arbiter = Arbiter(self.table, app.clock, self.options)
        self.budgets = RetryBudgets(app.clock, self.options)
        self.latencies: dict[str, LatencyHistogram] = {}
        self.attempts: dict[tuple[str, str], list[LocalAttempt]] = {}
        self.listeners: list[Callable[[Verdict], None]] = []
        self.sequence = itertools.count()
        self.metrics = RetriesMetrics(app)
        self.rows = SuspicionRows(app.clock, self.options)
        self.homes = Homes(
            on_ask=self._handle_query,
            on_end=self._handle_end,
            call_timeout_s=self.options.call_timeout_s,
        )
        self.grants = GrantClient(
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
        """Subscribe to the peers' rows and start serving as a home."""
        self.peers = self.app.services.get("peers")
        if self.peers is not None:
            self.homes.serve(self.peers)
            self.rows.follow(self.peers, self._merge)
        self.app.spawn("retries-flush", self._flush_loop)

    def subscribe(self, callback: Callable[[Verdict], None]) -> None:
        """Register a callback for verdicts on the cause of crashes."""
        self.listeners.append(callback)

    def check(self, fingerprint: str) -> None:
        """Refuse a request that is in quarantine.

        Raises
        ------
        QuarantinedError
            If the request is in quarantine.
        """
        record = self.table.get(fingerprint)
        if record is None or not record.is_quarantined:
            return
        self.metrics.refused.labels("quarantined").inc()
        raise QuarantinedError(
            f"Got a request that took {len(record.crashes)} endpoints down, "
            "expected another one.",
            remedy="Change the request; it is not run again for now.",
            retry_after_s=record.expires_s - self.app.clock.monotonic(),
        )

    async def attempt(self, fingerprint: str, endpoint: str, *, entry: str = "") -> str:
        """Wait until an attempt may start, and record it as in progress.

        Returns
        -------
        str
            The endpoint to use. It differs from ``endpoint`` if equal requests
            are already in progress on others.

        Raises
        ------
        QuarantinedError
            If the request is in quarantine.
        SuspectBusyError
            If the request is suspected and got no grant in time, or its home
            did not answer. The request was not run.
        """
        self.check(fingerprint)
        self.budgets.record_attempt(entry)
        attempt = LocalAttempt(f"{self._instance()}-{next(self.sequence)}", endpoint)
        if self._needs_grant(fingerprint):
            await self.grants.acquire(fingerprint, attempt)
        self.attempts.setdefault((fingerprint, attempt.endpoint), []).append(attempt)
        return attempt.endpoint

    def ended(self, fingerprint: str, endpoint: str, *, ok: bool) -> None:
        """Record the end of an attempt that did not crash its endpoint."""
        attempt = self._pop_attempt(fingerprint, endpoint)
        if ok:
            self.arbiter.record_completion(fingerprint)
            self._clear(fingerprint)
        if attempt is not None:
            self.grants.release(fingerprint, attempt, WHOLE if ok else OTHER)

    def crashed(
        self, fingerprint: str, endpoint: str, *, is_beside_trial: bool = False
    ) -> str:
        """Record that an endpoint crashed with the request in progress.

        Parameters
        ----------
        is_beside_trial : bool
            Whether the request ran on the version in force while the endpoint may also
            have run requests on a version on trial, which may have crashed it.

        Returns
        -------
        str
            ``request`` if the request is now in quarantine, ``suspect`` if the
            endpoint may also be the cause, empty if the endpoint was leaving.
        """
        attempt = self._pop_attempt(fingerprint, endpoint)
        if self._is_leaving(endpoint):
            if attempt is not None:
                self.grants.release(fingerprint, attempt, OTHER)
            return CAUSE_ENDPOINT
        is_supervised = attempt is not None and attempt.is_supervised
        is_strong = is_supervised or fingerprint not in self.arbiter.completed
        if is_beside_trial and self._count_crashes(fingerprint) < MAX_TRIAL_CRASHES:
            is_strong = False
        crash = Crash(endpoint, self.app.clock.time(), is_strong)
        self._notify_listeners(self.table.record_crash(fingerprint, crash))
        record = self.table.get(fingerprint)
        assert record is not None
        self.rows.publish(fingerprint, record)
        if attempt is not None:
            self.grants.release(fingerprint, attempt, CRASHED)
        cause = CAUSE_REQUEST if record.is_quarantined else CAUSE_SUSPECT
        self.metrics.crashes.labels(cause).inc()
        logger.warning(
            "Endpoint {} crashed with a request in progress, cause: {}.",
            endpoint,
            cause,
        )
        return cause

    def _count_crashes(self, fingerprint: str) -> int:
        record = self.table.get(fingerprint)
        return len(record.crashes) if record is not None else 0

    def progressed(self, fingerprint: str, endpoint: str) -> None:
        """Record that an attempt got further than the one that a crash cut off.

        To be called at an attempt's first new token. A suspected request then
        releases the exclusive use of its endpoint, but stays suspected.
        """
        for attempt in self.attempts.get((fingerprint, endpoint), ()):
            if attempt.is_exclusive:
                self.grants.release_endpoint(attempt)
                self.grants.flush_soon()

    def may_retry(self, entry: str) -> bool:
        """Take a retry or hedge from the entry's budget; False if none is left."""
        allowed = self.budgets.take(entry)
        self.metrics.retries.labels("yes" if allowed else "no").inc()
        return allowed

    def record_latency(self, entry: str, seconds: float) -> None:
        """Add the latency of a call to the entry's histogram."""
        histogram = self.latencies.get(entry)
        if histogram is None:
            histogram = self.latencies[entry] = LatencyHistogram()
        histogram.add(seconds)

    def hedge_delay_s(self, entry: str) -> float | None:
        """Return the delay before a hedge, or None with too few samples."""
        histogram = self.latencies.get(entry)
        if histogram is None:
            return None
        delay_s = histogram.quantile(self.options.hedge_quantile)
        if delay_s is None:
            return None
        return max(self.options.hedge_delay_least_s, delay_s)

    async def drain(self, grace_s: float) -> None:
        """Report all ended attempts to the homes before stopping."""
        await self.flush()

    async def flush(self) -> None:
        """Report ended attempts to the homes."""
        await self.grants.flush()

    def _clear(self, fingerprint: str) -> None:
        record = self.table.get(fingerprint)
        if record is None or record.is_quarantined or not record.is_suspected:
            return
        self._notify_listeners(self.table.record_completion(fingerprint))
        self.rows.publish(fingerprint, record)

    def _needs_grant(self, fingerprint: str) -> bool:
        record = self.table.get(fingerprint)
        if record is not None and record.is_suspected:
            return True
        if self.options.arbitration != "always":
            return False
        return fingerprint not in self.arbiter.completed

    def _pop_attempt(self, fingerprint: str, endpoint: str) -> LocalAttempt | None:
        attempts = self.attempts.get((fingerprint, endpoint))
        if not attempts:
            return None
        attempt = attempts.pop()
        if not attempts:
            del self.attempts[fingerprint, endpoint]
        return attempt

    def _is_leaving(self, endpoint: str) -> bool:
        routing = self.app.services.get("routing")
        return routing is not None and routing.is_leaving(endpoint)

    async def _flush_loop(self) -> None:
        while True:
            await self.app.clock.sleep(FLUSH_INTERVAL_S)
            self.homes.refresh()
            await self.flush()
            self.rows.withdraw_expired()
            self.metrics.suspected.set(len(self.table.records))

    def _merge(self, fingerprint: str, suspicion: Suspicion) -> None:
        if suspicion.crashes or suspicion.cleared_s:
            self._notify_listeners(self.table.merge(fingerprint, suspicion))

    def _notify_listeners(self, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            if verdict.cause == CAUSE_REQUEST:
                logger.warning(
                    "Request {} caused the crash of an endpoint.", verdict.fingerprint
                )
            for listener in self.listeners:
                listener(verdict)

    def _handle_query(self, query: AttemptQuery) -> AttemptAnswer:
        answer, verdicts = self.arbiter.decide(query)
        self._notify_listeners(verdicts)
        return answer

    def _handle_end(self, end: AttemptEnd) -> None:
        self._notify_listeners(self.arbiter.end(end))

    def _instance(self) -> str:
        return self.peers.me.instance if self.peers is not None else "alone"
