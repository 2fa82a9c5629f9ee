"""Chooses the endpoint of each attempt and applies the results of attempts."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from lagoonring.endpoints import engine_control
from lagoonring.kernel import BaseService
from lagoonring.limits.shares import DemandSummary
from lagoonring.logs import make_logger
from lagoonring.metrics import find_registry
from lagoonring.routing import choosing, results
from lagoonring.routing import health as health_rules
from lagoonring.routing.capacity import CapacityEstimator
from lagoonring.routing.estimates import (
    accepts_requests,
    apply_remote_utilisation,
    measure_utilisation,
    relax_speeds,
)
from lagoonring.routing.messages import (
    CAUSE_CALLER,
    AttemptResult,
    EndpointLoad,
    FailingEndpoint,
    LeavingEndpoint,
    NoEndpointError,
    Route,
    RouteRequest,
)
from lagoonring.routing.metrics import RoutingMetrics
from lagoonring.routing.options import RoutingOptions
from lagoonring.routing.policies import Choice, Context, get_policy
from lagoonring.routing.prefix_index import PrefixIndex
from lagoonring.routing.prefixes import affinity_key_of
from lagoonring.routing.state import add_outstanding, apply_report, drop_report, refresh
from lagoonring.routing.table import EndpointTable
from lagoonring.routing.watch import EndpointWatch

if TYPE_CHECKING:
    from lagoonring.catalogue import CatalogueContent
    from lagoonring.kernel import Application
    from lagoonring.routing.state import EndpointState
    from lagoonring.routing.watch import FollowCacheEvents, ReadLoad

RETRY_AFTER_S = 1.0
REFRESH_INTERVAL_S = 1.0
DEFAULT_TARGET_S = 1.0

logger = make_logger("routing")


class RoutingService(BaseService):
    """Routing as a service of the application.

    Parameters
    ----------
    app : Application
        Provides ``catalogue`` and ``peers`` at start, ``moves`` at each choice.
    options : RoutingOptions
        Options of routing.
    data_centre : str
        Data centre of this instance; if empty, taken from the peers at start.
    read_load, follow_cache_events : callable or None
        How endpoints are watched. If None, the engines' HTTP interface is used
        if there is a service ``session``; otherwise nothing is watched.
    """

    name = "routing"

    def __init__(
        self,
        app: Application,
        options: RoutingOptions | None = None,
        *,
        data_centre: str = "",
        read_load: ReadLoad | None = None,
        follow_cache_events: FollowCacheEvents | None = None,
    ) -> None:
        self.app = app
        self.options = options or RoutingOptions()
        self.data_centre = data_centre
        self.index = PrefixIndex(self.options.n_blocks_known)
        self.table = EndpointTable(data_centre, self.options, self.index)
        self.policy = get_policy(self.options.policy)
        self.capacity_estimator = CapacityEstimator()
        self.metrics = RoutingMetrics(find_registry(app))
        self.content: CatalogueContent | None = None
        self.peers: Any = None
        self.n_choices = 0
        self.remote_utilisation: dict[str, dict[str, float]] = {}
        self.read_load = read_load
        self.follow_cache_events = follow_cache_events
        self.watch: EndpointWatch | None = None

    async def start(self) -> None:
        """Subscribe to the catalogue and the peers' rows; start the tasks."""
        self.peers = self.app.services.get("peers")
        if self.peers is not None and not self.data_centre:
            self.data_centre = self.peers.me.data_centre
            self.table.data_centre = self.data_centre
        self.app.find("catalogue").subscribe(self.apply_catalogue)
        if self.peers is not None:
            self.peers.subscribe("endpoint_load", EndpointLoad, self._handle_load)
            self.peers.subscribe("leaving", LeavingEndpoint, self._handle_leaving)
            self.peers.subscribe("failing", FailingEndpoint, self._handle_failing)
            self.peers.subscribe("summary", DemandSummary, self._handle_summary)
        self.app.spawn("routing-refresh", self._refresh_loop)
        self._start_watch()

    def choose(
        self, request: RouteRequest, *, exclude: frozenset[str] = frozenset()
    ) -> Route:
        """Return the endpoint for an attempt.

        Parameters
        ----------
        request : RouteRequest
            What the choice depends on.
        exclude : frozenset of str
            Endpoints not to use, for example those tried before.

        Raises
        ------
        NoEndpointError
            If no endpoint of the version accepts requests, or all are excluded.
        """
        version = self._version_of(request)
        now_s = self.app.clock.monotonic()
        group = self.table.group(request.entry, version, now_s)
        if group.probing:
            probed = None
            if self._is_safe_to_repeat(request):
                probed = choosing.start_probe(group, exclude, now_s)
            if probed is not None:
                self.table.invalidate_groups()
                return self._route(Choice(probed, "probe", 0, probed.cost_s), version)
        context = self._make_context(request)
        choice = choosing.choose_from_group(group, self.policy, context, exclude, now_s)
        if choice is None:
            raise _no_endpoint_error(request.entry, version)
        self.metrics.record_choice(
            choice.reason, choice.n_cached, len(request.prefix_blocks)
        )
        return self._route(choice, version)

    def route_to(self, endpoint: str, request: RouteRequest) -> Route | None:
        """Return the route to a given endpoint, or None if it is unavailable."""
        state = self.table.states.get(endpoint)
        version = self._version_of(request)
        if state is None or state.is_leaving or state.entry != request.entry:
            return None
        if not state.runs(version) or state.health.state == health_rules.EJECTED:
            return None
        depth = self.index.match(request.prefix_blocks).get(state.bit, 0)
        return self._route(Choice(state, "pinned", depth, state.cost_s), version)

    def started(self, route: Route | str, request: RouteRequest) -> None:
        """Record that an attempt is sent to an endpoint."""
        state = self._state_of(route)
        if state is None:
            return
        add_outstanding(state, 1, self.app.clock.time())
        if request.prefix_blocks:
            self.index.store(request.prefix_blocks, state.bit)

    def ended(
        self, route: Route | str, request: RouteRequest, result: AttemptResult
    ) -> None:
        """Update load, estimates and health from the result of an attempt."""
        state = self._state_of(route)
        if state is None:
            return
        add_outstanding(state, -1, self.app.clock.time())
        now_s = self.app.clock.monotonic()
        if result.ok and not result.kind and result.first_token_s is not None:
            waited_s = results.update_estimates(state, route, request, result, now_s)
            target_s = self._target_s(request.service_class)
            self.capacity_estimator.record_wait(
                state.entry, waited_s=waited_s, target_s=target_s
            )
        if result.cause == CAUSE_CALLER:
            return
        find_peers = self.table.peers_of
        if results.update_health(state, result, find_peers, now_s, self.options):
            self._handle_health_change(state)

    def leaving(self, endpoint: str) -> None:
        """Stop sending new requests to an endpoint and notify the peers."""
        state = self.table.states.get(endpoint)
        if state is None or state.is_leaving:
            return
        row = LeavingEndpoint(
            instance=state.instance, url=state.url, since_s=self.app.clock.time()
        )
        self.table.record_leaving(endpoint, row)
        self._publish("leaving", endpoint, row, urgent=True)
        logger.info("Endpoint {} is leaving; it gets no new requests.", endpoint)

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint is leaving or not in the catalogue."""
        state = self.table.states.get(endpoint)
        return state is None or state.is_leaving

    def capacity(self, entry: str) -> int:
        """Return how many requests the entry's endpoints can process at once.

        Counts the endpoints of this data centre, or of all data centres if it
        has none. Ejected endpoints count only if there are no others.
        """
        states = self.table.by_entry.get(entry, ())
        remaining = [state for state in states if not state.is_leaving]
        usable = [state for state in remaining if accepts_requests(state)] or remaining
        local = [state for state in usable if state.is_local]
        n_slots = sum(state.n_slots for state in local or usable)
        return self.capacity_estimator.scale(entry, n_slots)

    def measure_utilisation(self) -> dict[str, float]:
        """Return the load per slot in this data centre, by entry."""
        return measure_utilisation(self.table)

    def apply_catalogue(self, content: CatalogueContent, revision: int) -> None:
        """Apply a new catalogue; withdraw the rows of endpoints it has dropped."""
        self.content = content
        self.table.apply_catalogue(content)
        apply_remote_utilisation(self.table, self.remote_utilisation)
        leaving_rows = self.peers.rows("leaving", LeavingEndpoint) if self.peers else {}
        for origin, name in leaving_rows:
            if origin == self.peers.me.instance and name not in self.table.states:
                self._publish("leaving", name, None)

    def _start_watch(self) -> None:
        session = self.app.services.get("session")
        if self.read_load is None and session is not None:
            self.read_load = functools.partial(
                engine_control.read_load, session.session
            )
            self.follow_cache_events = functools.partial(
                engine_control.follow_cache_events,
                session.session,
                clock=self.app.clock,
                poll_s=self.options.cache_poll_s,
            )
        if self.read_load is None or self.follow_cache_events is None:
            return
        self.watch = EndpointWatch(
            self.app,
            self.table,
            self.index,
            self.peers,
            self.options,
            read_load=self.read_load,
            follow_cache_events=self.follow_cache_events,
            handle_load=self._handle_load,
        )
        self.app.spawn("routing-watch", self.watch.run)

    def _make_context(self, request: RouteRequest) -> Context:
        blocks = request.prefix_blocks
        key = affinity_key_of(request.affinity_key, blocks)
        self.n_choices += 1
        return Context(
            key=key,
            n_blocks=len(blocks),
            depths=self.index.match(blocks) if blocks else {},
            target_s=self._target_s(request.service_class),
            options=self.options,
            rng=self.app.rng,
            counter=self.n_choices,
        )

    def _is_safe_to_repeat(self, request: RouteRequest) -> bool:
        entry = self.content.entries.get(request.entry) if self.content else None
        if entry is None:
            return False
        if entry.kind == "model" or entry.idempotent:
            return True
        return request.method in entry.idempotent_methods

    def _handle_health_change(self, state: EndpointState) -> None:
        health = state.health
        self.table.invalidate_groups()
        if health.state == health_rules.RAMPING:
            logger.info("Endpoint {} passed its health probe; ramping up.", state.name)
            self._publish("failing", state.name, None)
        if health.state != health_rules.EJECTED:
            return
        self.metrics.ejections.labels(health.reason).inc()
        logger.warning("Endpoint {} ejected, reason: {}.", state.name, health.reason)
        if health.reason in health_rules.REASONS_WITH_CACHE_LOST:
            state.bit = self.index.forget(state.name)
        if health.reason != health_rules.BROUGHT_DOWN:
            row = FailingEndpoint(reason=health.reason, since_s=self.app.clock.time())
            self._publish("failing", state.name, row)

    def _target_s(self, service_class: str) -> float:
        found = self.content.classes.get(service_class) if self.content else None
        return found.first_token_ms / 1000 if found else DEFAULT_TARGET_S

    def _version_of(self, request: RouteRequest) -> str:
        if request.version:
            return request.version
        moves = self.app.services.get("moves")
        if moves is not None:
            return moves.choose_version(request.entry, request.request_id)
        entry = self.content.entries.get(request.entry) if self.content else None
        return entry.version if entry else ""

    def _state_of(self, route: Route | str) -> EndpointState | None:
        name = route.endpoint if isinstance(route, Route) else route
        return self.table.states.get(name)

    def _route(self, choice: Choice, version: str) -> Route:
        state = choice.state
        return Route(
            endpoint=state.name,
            url=state.url,
            version=version,
            reason=choice.reason,
            n_cached_blocks=choice.n_cached,
            expected_wait_s=state.wait_s,
        )

    def _publish(
        self, kind: str, name: str, value: object, *, urgent: bool = False
    ) -> None:
        if self.peers is not None:
            self.peers.publish(kind, name, value, urgent=urgent)

    def _handle_load(self, origin: str, name: str, load: EndpointLoad | None) -> None:
        state = self.table.states.get(name)
        if state is None or load is None:
            return
        versions = state.versions
        if apply_report(state, load) and state.versions != versions:
            self.table.invalidate_groups()

    def _handle_leaving(
        self, origin: str, name: str, row: LeavingEndpoint | None
    ) -> None:
        if row is not None:
            self.table.record_leaving(name, row)

    def _handle_failing(
        self, origin: str, name: str, row: FailingEndpoint | None
    ) -> None:
        state = self.table.states.get(name)
        if state is None or (self.peers and origin == self.peers.me.instance):
            return
        state.is_reported_failing = row is not None
        refresh(state)

    def _handle_summary(
        self, origin: str, name: str, row: DemandSummary | None
    ) -> None:
        """Apply the utilisation that another data centre reports."""
        if row is None or row.data_centre == self.data_centre:
            return
        self.remote_utilisation[row.data_centre] = row.busy
        apply_remote_utilisation(self.table, self.remote_utilisation)

    async def _refresh_loop(self) -> None:
        """Call :meth:`refresh_all` periodically."""
        while True:
            await self.app.clock.sleep(REFRESH_INTERVAL_S)
            self.refresh_all()

    def refresh_all(self) -> None:
        """Update all estimates and discard load reports that are too old."""
        now_s = self.app.clock.time()
        n_instances = self._count_local_instances()
        n_ejected = 0
        relax_speeds(self.table, self.app.clock.monotonic())
        for state in self.table.states.values():
            state.n_instances = n_instances
            n_ejected += state.health.state == health_rules.EJECTED
            report = state.report
            if report and now_s - report.time_s > self.options.report_age_most_s:
                drop_report(state)
            else:
                refresh(state)
        self.metrics.ejected.set(n_ejected)

    def _count_local_instances(self) -> int:
        if self.peers is None:
            return 1
        n_local = sum(
            member.data_centre == self.data_centre for member in self.peers.members()
        )
        return max(1, n_local)


def _no_endpoint_error(entry: str, version: str) -> NoEndpointError:
    return NoEndpointError(
        f"Got no endpoint of entry {entry} with version {version}, expected one.",
        remedy="Send the request again after Retry-After.",
        retry_after_s=RETRY_AFTER_S,
    )
