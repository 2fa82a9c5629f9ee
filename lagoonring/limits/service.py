"""The service ``limits``: admits requests within limits and in fair order."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.catalogue import CatalogueContent, Limits
from lagoonring.kernel import BaseService
from lagoonring.limits.entry_queue import EntryQueue, cost_of
from lagoonring.limits.messages import (
    AdmitRequest,
    LimitRefusedError,
    OverloadRefusedError,
    Permit,
)
from lagoonring.limits.metrics import LimitsMetrics
from lagoonring.limits.options import LimitsOptions
from lagoonring.limits.scope_limiter import (
    ScopeLimiter,
    cancel_reservation,
    find_obstacle,
    reserve,
    settle,
    update_limiter,
)
from lagoonring.limits.share_tracker import ShareTracker

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application

MIN_SMOOTHING_FACTOR = 0.05
NO_LIMITS = Limits()


@attrs.define
class TokenEstimate:
    """Smoothed number of tokens used per request of an entry."""

    n_tokens: float = 0.0
    n_requests: int = 0

    def record(self, n_tokens: float) -> None:
        """Record the tokens used by a finished request."""
        self.n_requests += 1
        rate = max(MIN_SMOOTHING_FACTOR, 1.0 / self.n_requests)
        self.n_tokens += rate * (n_tokens - self.n_tokens)

    def expect(self, n_tokens_most: int) -> float:
        """Return the expected tokens of a request, at most ``n_tokens_most``."""
        if self.n_requests == 0:
            return float(n_tokens_most)
        return min(float(n_tokens_most), self.n_tokens)


class LimitsService(BaseService):
    """Admission control of an instance.

    Parameters
    ----------
    app : Application
        Provides the services ``catalogue``, ``peers`` and ``routing`` at start.
    options : LimitsOptions
        Options of admission control.
    capacity : callable or None
        Maps an entry's name to the number of concurrent requests that its
        endpoints in this data centre accept. Defaults to ``routing.capacity``.
    """

    name = "limits"

    def __init__(
        self,
        app: Application,
        options: LimitsOptions | None = None,
        *,
        capacity: Callable[[str], int] | None = None,
    ) -> None:
        self.app = app
        self.options = options or LimitsOptions()
        self.capacity = capacity
        self.content = CatalogueContent()
        self.tracker = ShareTracker(None, app.clock, self.options)
        self.limiters: dict[str, ScopeLimiter] = {}
        self.queues: dict[str, EntryQueue] = {}
        self.slots: dict[str, int] = {}
        self.estimates: dict[str, TokenEstimate] = {}
        self.metrics = LimitsMetrics(app)

    async def start(self) -> None:
        """Subscribe to the catalogue and start the refresh and sweep tasks."""
        peers: Any = self.app.services.get("peers")
        routing: Any = self.app.services.get("routing")
        self.tracker = ShareTracker(
            peers,
            self.app.clock,
            self.options,
            measure_utilisation=routing.measure_utilisation
            if routing is not None
            else dict,
        )
        if self.capacity is None:
            self.capacity = self.app.find("routing").capacity
        self.app.find("catalogue").subscribe(self._apply_catalogue)
        self.app.spawn("limits-refresh", self._run_refresh)
        self.app.spawn("limits-sweep", self._run_sweep)

    async def admit(self, request: AdmitRequest) -> Permit:
        """Wait until the request may be dispatched and return its permit.

        Raises
        ------
        LimitRefusedError
            If a limit of its organisation, class or entry is used up.
        OverloadRefusedError
            If it can't be dispatched before its deadline.
        """
        now_s = self.app.clock.monotonic()
        limiters = self._limiters_for(request)
        self._check(request, limiters, now_s)
        n_expected = self._estimate_for(request.entry).expect(request.n_tokens_most)
        for limiter in limiters:
            reserve(limiter, n_expected)
        queue = self._queue_for(request.entry)
        try:
            await queue.acquire(
                request,
                weight=self._weight_of(request.organisation),
                priority=self._priority_of(request.service_class),
                now_s=now_s,
            )
        except BaseException as error:
            for limiter in limiters:
                cancel_reservation(limiter, n_expected)
            if isinstance(error, OverloadRefusedError):
                self.metrics.refused.labels(request.entry, error.code).inc()
            queue.dispatch(self.app.clock.monotonic())
            raise
        return self._make_permit(request, limiters, n_expected, now_s)

    def refresh(self) -> None:
        """Recompute the shares and update limiters, slots and gauges."""
        now_s = self.app.clock.monotonic()
        self.tracker.refresh()
        for scope, limiter in self.limiters.items():
            limits = self._limits_for(scope)
            update_limiter(limiter, limits, self.tracker, self.options.burst_s, now_s)
        for entry, queue in self.queues.items():
            self.slots[entry] = self._count_slots(entry)
            queue.dispatch(now_s)
            self.metrics.waiting.labels(entry).set(queue.queue.n_waiting)
            self.metrics.running.labels(entry).set(queue.n_running)

    def sweep(self) -> None:
        """Refuse queued requests whose deadline can no longer be met."""
        now_s = self.app.clock.monotonic()
        for queue in self.queues.values():
            if queue.queue.n_waiting:
                queue.dispatch(now_s)
                queue.refuse_expired(now_s)

    def _check(
        self, request: AdmitRequest, limiters: list[ScopeLimiter], now_s: float
    ) -> None:
        for limiter in limiters:
            self.tracker.record_request(limiter.scope)
        for limiter in limiters:
            obstacle = find_obstacle(limiter, now_s)
            if obstacle is None:
                continue
            self.metrics.refused.labels(request.entry, obstacle.limit).inc()
            raise LimitRefusedError(
                f"Got more than {obstacle.limit} of {obstacle.scope} allows here, "
                "expected less.",
                remedy="Send the request again after Retry-After; it was not run.",
                retry_after_s=min(obstacle.retry_after_s, 3600.0),
            )

    def _make_permit(
        self,
        request: AdmitRequest,
        limiters: list[ScopeLimiter],
        n_expected: float,
        requested_s: float,
    ) -> Permit:
        now_s = self.app.clock.monotonic()
        self.metrics.admitted.labels(request.entry).inc()
        self.metrics.waited.observe(now_s - requested_s)

        def release(permit: Permit, n_tokens: int) -> None:
            ended_s = self.app.clock.monotonic()
            for limiter in limiters:
                settle(limiter, n_expected, n_tokens)
            self._estimate_for(request.entry).record(n_tokens)
            self._queue_for(request.entry).release(
                cost=cost_of(request),
                held_s=ended_s - permit.granted_s,
                now_s=ended_s,
            )

        return Permit(
            request=request,
            granted_s=now_s,
            waited_s=now_s - requested_s,
            on_release=release,
        )

    def _limiters_for(self, request: AdmitRequest) -> list[ScopeLimiter]:
        scopes = (
            f"org:{request.organisation}",
            f"class:{request.service_class}",
            f"entry:{request.entry}",
        )
        limiters = []
        for scope in scopes:
            limiter = self.limiters.get(scope)
            if limiter is None:
                limiter = self._make_limiter(scope)
            if limiter.limits != NO_LIMITS or scope.startswith("entry:"):
                limiters.append(limiter)
        return limiters

    def _make_limiter(self, scope: str) -> ScopeLimiter:
        limits = self._limits_for(scope)
        limiter = self.limiters[scope] = ScopeLimiter(scope, limits)
        now_s = self.app.clock.monotonic()
        update_limiter(limiter, limits, self.tracker, self.options.burst_s, now_s)
        return limiter

    def _limits_for(self, scope: str) -> Limits:
        section, _, name = scope.partition(":")
        content = self.content
        if section == "org" and name in content.organisations:
            return content.organisations[name].limits
        if section == "class" and name in content.classes:
            return content.classes[name].limits
        if section == "entry" and name in content.entries:
            return content.entries[name].limits
        return NO_LIMITS

    def _weight_of(self, organisation: str) -> float:
        known = self.content.organisations.get(organisation)
        return known.weight if known else 1.0

    def _priority_of(self, service_class: str) -> int:
        known = self.content.classes.get(service_class)
        return known.priority if known else 0

    def _estimate_for(self, entry: str) -> TokenEstimate:
        estimate = self.estimates.get(entry)
        if estimate is None:
            estimate = self.estimates[entry] = TokenEstimate()
        return estimate

    def _queue_for(self, entry: str) -> EntryQueue:
        queue = self.queues.get(entry)
        if queue is None:
            self.slots[entry] = self._count_slots(entry)
            queue = EntryQueue(
                entry, lambda: self.slots[entry], self.options.n_waiting_most
            )
            self.queues[entry] = queue
        return queue

    def _count_slots(self, entry: str) -> int:
        """Return how many of the entry's slots this instance may use."""
        n_slots = self.capacity(entry) if self.capacity else 0
        if n_slots <= 0:
            return 0
        share = self.tracker.slots_share(f"entry:{entry}")
        return max(1, round(n_slots * share))

    def _apply_catalogue(self, content: CatalogueContent, revision: int) -> None:
        self.content = content
        for entry in self.queues.keys() - content.entries.keys():
            queue = self.queues[entry]
            if queue.n_running == 0 and queue.queue.n_waiting == 0:
                del self.queues[entry]
        known = {f"org:{name}" for name in content.organisations}
        known |= {f"class:{name}" for name in content.classes}
        known |= {f"entry:{name}" for name in content.entries}
        for scope in self.limiters.keys() - known:
            if self.limiters[scope].n_running == 0:
                del self.limiters[scope]
        self.refresh()

    async def _run_refresh(self) -> None:
        while True:
            await self.app.clock.sleep(self.options.refresh_s)
            self.refresh()

    async def _run_sweep(self) -> None:
        while True:
            await self.app.clock.sleep(self.options.sweep_s)
            self.sweep()
