"""Admits requests within limits and in fair order."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.catalogue import CatalogueContent, Limits
from lagoonring.kernel import BaseService
from lagoonring.limits.entry_queue import EntryQueue, cost_of
from lagoonring.limits.gates import (
    Gate,
    enter,
    find_obstacle,
    leave,
    turn_back,
    update_gate,
)
from lagoonring.limits.messages import (
    AdmitRequest,
    LimitRefusedError,
    OverloadRefusedError,
    Permit,
)
from lagoonring.limits.metrics import LimitsMetrics
from lagoonring.limits.options import LimitsOptions
from lagoonring.limits.share_tracker import ShareTracker

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application

SMOOTHING = 0.05
NO_LIMITS = Limits()


@attrs.define
class TokenEstimate:
    """Smoothed tokens that an entry's requests really use."""

    n_tokens: float = 0.0
    n_requests: int = 0

    def note(self, n_tokens: float) -> None:
        """Take a finished request in."""
        self.n_requests += 1
        rate = max(SMOOTHING, 1.0 / self.n_requests)
        self.n_tokens += rate * (n_tokens - self.n_tokens)

    def expect(self, n_tokens_most: int) -> float:
        """Return the tokens that a request is expected to use."""
        if self.n_requests == 0:
            return float(n_tokens_most)
        return min(float(n_tokens_most), self.n_tokens)


class LimitsService(BaseService):
    """Limits as a service of the application.

    Parameters
    ----------
    app : Application
        Finds ``catalogue``, ``peers`` and ``routing`` at start.
    options : LimitsOptions
        Options of limits.
    capacity : callable or None
        Takes an entry's name, returns how many requests its endpoints in this
        data centre take at once; None asks ``routing``.
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
        self.gates: dict[str, Gate] = {}
        self.queues: dict[str, EntryQueue] = {}
        self.places: dict[str, int] = {}
        self.estimates: dict[str, TokenEstimate] = {}
        self.metrics = LimitsMetrics(app)

    async def start(self) -> None:
        """Follow the catalogue and the peers' demand."""
        peers: Any = self.app.services.get("peers")
        routing: Any = self.app.services.get("routing")
        self.tracker = ShareTracker(
            peers,
            self.app.clock,
            self.options,
            find_busy=routing.measure_utilisation if routing is not None else dict,
        )
        if self.capacity is None:
            self.capacity = self.app.find("routing").capacity
        self.app.find("catalogue").subscribe(self._take_catalogue)
        self.app.spawn("limits-refresh", self._refresh_always)
        self.app.spawn("limits-sweep", self._sweep_always)

    async def admit(self, request: AdmitRequest) -> Permit:
        """Return a permit when the request may be dispatched.

        Raises
        ------
        LimitRefusedError
            If a limit of its organisation, class or entry is used up.
        OverloadRefusedError
            If it can't be dispatched in time.
        """
        now_s = self.app.clock.monotonic()
        gates = self._gates_of(request)
        self._check(request, gates, now_s)
        n_expected = self._estimate(request.entry).expect(request.n_tokens_most)
        for gate in gates:
            enter(gate, n_expected)
        queue = self._queue(request.entry)
        try:
            await queue.enter(
                request,
                weight=self._weight(request.organisation),
                priority=self._priority(request.service_class),
                now_s=now_s,
            )
        except BaseException as error:
            for gate in gates:
                turn_back(gate, n_expected)
            if isinstance(error, OverloadRefusedError):
                self.metrics.refused.labels(request.entry, error.code).inc()
            queue.dispatch(self.app.clock.monotonic())
            raise
        return self._make_permit(request, gates, n_expected, now_s)

    def refresh(self) -> None:
        """Work the shares out again and bring gates and places up to date."""
        now_s = self.app.clock.monotonic()
        self.tracker.refresh()
        for scope, gate in self.gates.items():
            limits = self._limits_of(scope)
            update_gate(gate, limits, self.tracker, self.options.burst_s, now_s)
        for entry, queue in self.queues.items():
            self.places[entry] = self._count_places(entry)
            queue.dispatch(now_s)
            self.metrics.waiting.labels(entry).set(queue.queue.n_waiting)
            self.metrics.running.labels(entry).set(queue.n_running)

    def sweep(self) -> None:
        """Answer the waiting requests whose deadline can't be met any more."""
        now_s = self.app.clock.monotonic()
        for queue in self.queues.values():
            if queue.queue.n_waiting:
                queue.dispatch(now_s)
                queue.refuse_late(now_s)

    def _check(self, request: AdmitRequest, gates: list[Gate], now_s: float) -> None:
        for gate in gates:
            self.tracker.note_asked(gate.scope)
        for gate in gates:
            obstacle = find_obstacle(gate, now_s)
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
        gates: list[Gate],
        n_expected: float,
        asked_s: float,
    ) -> Permit:
        now_s = self.app.clock.monotonic()
        self.metrics.admitted.labels(request.entry).inc()
        self.metrics.waited.observe(now_s - asked_s)

        def release(permit: Permit, n_tokens: int) -> None:
            ended_s = self.app.clock.monotonic()
            for gate in gates:
                leave(gate, n_expected, n_tokens)
            self._estimate(request.entry).note(n_tokens)
            self._queue(request.entry).leave(
                cost=cost_of(request),
                held_s=ended_s - permit.granted_s,
                now_s=ended_s,
            )

        return Permit(
            request=request,
            granted_s=now_s,
            waited_s=now_s - asked_s,
            on_release=release,
        )

    def _gates_of(self, request: AdmitRequest) -> list[Gate]:
        scopes = (
            f"org:{request.organisation}",
            f"class:{request.service_class}",
            f"entry:{request.entry}",
        )
        gates = []
        for scope in scopes:
            gate = self.gates.get(scope)
            if gate is None:
                gate = self._make_gate(scope)
            if gate.limits != NO_LIMITS or scope.startswith("entry:"):
                gates.append(gate)
        return gates

    def _make_gate(self, scope: str) -> Gate:
        limits = self._limits_of(scope)
        gate = self.gates[scope] = Gate(scope, limits)
        now_s = self.app.clock.monotonic()
        update_gate(gate, limits, self.tracker, self.options.burst_s, now_s)
        return gate

    def _limits_of(self, scope: str) -> Limits:
        section, _, name = scope.partition(":")
        content = self.content
        if section == "org" and name in content.organisations:
            return content.organisations[name].limits
        if section == "class" and name in content.classes:
            return content.classes[name].limits
        if section == "entry" and name in content.entries:
            return content.entries[name].limits
        return NO_LIMITS

    def _weight(self, organisation: str) -> float:
        known = self.content.organisations.get(organisation)
        return known.weight if known else 1.0

    def _priority(self, service_class: str) -> int:
        known = self.content.classes.get(service_class)
        return known.priority if known else 0

    def _estimate(self, entry: str) -> TokenEstimate:
        estimate = self.estimates.get(entry)
        if estimate is None:
            estimate = self.estimates[entry] = TokenEstimate()
        return estimate

    def _queue(self, entry: str) -> EntryQueue:
        queue = self.queues.get(entry)
        if queue is None:
            self.places[entry] = self._count_places(entry)
            queue = EntryQueue(
                entry, lambda: self.places[entry], self.options.n_waiting_most
            )
            self.queues[entry] = queue
        return queue

    def _count_places(self, entry: str) -> int:
        """Return how many of the entry's places this instance may fill."""
        n_places = self.capacity(entry) if self.capacity else 0
        if n_places <= 0:
            return 0
        share = self.tracker.slots_share(f"entry:{entry}")
        return max(1, round(n_places * share))

    def _take_catalogue(self, content: CatalogueContent, revision: int) -> None:
        self.content = content
        for entry in self.queues.keys() - content.entries.keys():
            queue = self.queues[entry]
            if queue.n_running == 0 and queue.queue.n_waiting == 0:
                del self.queues[entry]
        known = {f"org:{name}" for name in content.organisations}
        known |= {f"class:{name}" for name in content.classes}
        known |= {f"entry:{name}" for name in content.entries}
        for scope in self.gates.keys() - known:
            if self.gates[scope].n_running == 0:
                del self.gates[scope]
        self.refresh()

    async def _refresh_always(self) -> None:
        while True:
            await self.app.clock.sleep(self.options.refresh_s)
            self.refresh()

    async def _sweep_always(self) -> None:
        while True:
            await self.app.clock.sleep(self.options.sweep_s)
            self.sweep()
