"""Watches endpoints: reads their load and cache events, publishes their load.

Each endpoint is watched by a few instances of its data centre, chosen by
rendezvous hashing. All of them use what they read; only the first one
publishes the load to the other instances.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, Protocol

from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.routing.messages import EndpointLoad
from lagoonring.routing.prefixes import rank_by_rendezvous

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator

    from lagoonring.kernel import Application
    from lagoonring.routing.options import RoutingOptions
    from lagoonring.routing.prefix_index import PrefixIndex
    from lagoonring.routing.state import EndpointState
    from lagoonring.routing.table import EndpointTable

REVIEW_INTERVAL_S = 1.0
LOAD_ROW_BYTES = 90
RETRY_DELAY_S = 1.0
STORED = "stored"
WATCHING_STATES = ("alive", "suspect")

logger = make_logger("routing")


class ReadLoad(Protocol):
    """Reads an endpoint's load report."""

    async def __call__(self, url: str) -> Any:
        """Return n_running, n_waiting, n_slots, tokens_per_s, versions, time_s."""


class FollowCacheEvents(Protocol):
    """Follows an engine's cache events."""

    def __call__(self, url: str) -> AsyncIterator[Any]:
        """Yield updates with events, n_missing and is_restarted."""


class EndpointWatch:
    """Runs one task per watched endpoint and data source (load, cache events).

    Parameters
    ----------
    app : Application
        Runs the tasks.
    table, index : EndpointTable, PrefixIndex
        Endpoints to watch, and the index that cache events are applied to.
    peers : PeersService
        Provides the members among which the endpoints are divided.
    options : RoutingOptions
        Options of routing.
    read_load, follow_cache_events : callable
        Read an endpoint's load report and follow its cache events.
    handle_load : callable
        Handles a load row with its origin, name and value.
    """

    def __init__(
        self,
        app: Application,
        table: EndpointTable,
        index: PrefixIndex,
        peers: Any,
        options: RoutingOptions,
        *,
        read_load: ReadLoad,
        follow_cache_events: FollowCacheEvents,
        handle_load: Any,
    ) -> None:
        self.app = app
        self.table = table
        self.index = index
        self.peers = peers
        self.options = options
        self.read_load = read_load
        self.follow_cache_events = follow_cache_events
        self.handle_load = handle_load
        self.tasks: dict[tuple[str, str], list[asyncio.Task[None]]] = {}
        self.last_published_s: dict[str, float] = {}
        self.primary_for: set[str] = set()

    async def run(self) -> None:
        """Watch the endpoints assigned to this instance until cancelled."""
        try:
            while True:
                self.update_watches()
                await self.app.clock.sleep(REVIEW_INTERVAL_S)
        finally:
            for tasks in self.tasks.values():
                for task in tasks:
                    task.cancel()
            self.tasks.clear()

    def update_watches(self) -> None:
        """Start and stop watches as endpoints and members change."""
        assigned = self.assign_endpoints()
        for key in self.tasks.keys() - assigned.keys():
            for task in self.tasks.pop(key):
                task.cancel()
            self._withdraw(key[0])
        for key, state in assigned.items():
            if key in self.tasks:
                continue
            reads = [functools.partial(self._watch_load, state)]
            if self.table.is_model(state.entry):
                reads.append(functools.partial(self._watch_cache, state))
            self.tasks[key] = [
                self.app.spawn(f"routing-watch-{state.name}", read) for read in reads
            ]

    def assign_endpoints(self) -> dict[tuple[str, str], EndpointState]:
        """Return the endpoints to watch, by name and URL.

        Also updates ``primary_for``, the names of those whose load this
        instance publishes.
        """
        instances = self._watching_instances()
        own_instance = self.peers.me.instance if self.peers is not None else ""
        assigned = {}
        self.primary_for = set()
        for state in self.table.states.values():
            if not state.is_local:
                continue
            ranked = rank_by_rendezvous(state.name_hash, instances)
            if own_instance in ranked[: self.options.n_watchers]:
                assigned[state.name, state.url] = state
            if ranked[0] == own_instance:
                self.primary_for.add(state.name)
        return assigned

    def publish_interval_s(self) -> float:
        """Return the interval between two load rows of an endpoint.

        It grows with the number of endpoints in the data centre, so that the
        rows stay within the bytes per second that an instance may receive.
        """
        n_local = sum(state.is_local for state in self.table.states.values())
        by_budget = n_local * LOAD_ROW_BYTES / self.options.row_bytes_per_s
        return max(self.options.poll_s, by_budget)

    def _watching_instances(self) -> list[str]:
        if self.peers is None:
            return [""]
        me = self.peers.me
        instances = {me.instance}
        for member in self.peers.members():
            state = getattr(member.state, "value", member.state)
            if member.data_centre == me.data_centre and state in WATCHING_STATES:
                instances.add(member.instance)
        return sorted(instances)

    async def _watch_load(self, state: EndpointState) -> None:
        while True:
            try:
                report = await self.read_load(state.url)
            except (LagoonringError, OSError, TimeoutError):
                await self.app.clock.sleep(RETRY_DELAY_S)
                continue
            self._handle_report(state, report)
            await self.app.clock.sleep(self.options.poll_s)

    def _handle_report(self, state: EndpointState, report: Any) -> None:
        now_s = self.app.clock.time()
        age_s = now_s - report.time_s
        is_plausible = 0 <= age_s <= self.options.report_age_most_s
        load = EndpointLoad(
            n_running=report.n_running,
            n_waiting=report.n_waiting,
            n_slots=report.n_slots,
            tokens_per_s=report.tokens_per_s,
            versions=list(report.versions),
            time_s=report.time_s if is_plausible else now_s,
        )
        self.handle_load("", state.name, load)
        if self.peers is None or state.name not in self.primary_for:
            return
        last_published_s = self.last_published_s.get(state.name, 0.0)
        if now_s - last_published_s >= self.publish_interval_s():
            self.last_published_s[state.name] = now_s
            self.peers.publish("endpoint_load", state.name, load)

    def _withdraw(self, name: str) -> None:
        if self.last_published_s.pop(name, None) is not None and self.peers is not None:
            self.peers.publish("endpoint_load", name, None)

    async def _watch_cache(self, state: EndpointState) -> None:
        while True:
            try:
                async for update in self.follow_cache_events(state.url):
                    self._apply_cache_update(state, update)
            except (LagoonringError, OSError, TimeoutError):
                logger.debug("Reading cache events of {} failed, retrying.", state.name)
            state.bit = self.index.forget(state.name)
            await self.app.clock.sleep(RETRY_DELAY_S)

    def _apply_cache_update(self, state: EndpointState, update: Any) -> None:
        """Apply cache events to the index.

        If events are missing or the engine has restarted, what was known of
        its cache is discarded first.
        """
        if update.n_missing or update.is_restarted:
            state.bit = self.index.forget(state.name)
        for event in update.events:
            if event.kind == STORED:
                self.index.store(event.blocks, state.bit)
            else:
                self.index.evict(event.blocks, state.bit)
