"""Assembles the application of an instance on the platform."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from lagoonring.kernel import Application, BaseService
from lagoonring.kernel.application import drain_all, retire_together
from lagoonring.metrics import MetricsService
from lagoonring.platform import documents
from lagoonring.platform.callers import CallerServer
from lagoonring.platform.clients import PlatformClients
from lagoonring.platform.duty_client import Authority
from lagoonring.platform.engine_calls import EngineCalls
from lagoonring.platform.metrics_page import MetricsPage
from lagoonring.platform.move_records import StoredMoves
from lagoonring.platform.relay_server import RelayServer
from lagoonring.platform.saved_usage import StoredUsage
from lagoonring.platform.sending import (
    HttpSender,
    make_platform_session,
    make_session,
    probe_endpoint,
)
from lagoonring.platform.socket_shares import make_receive_limits
from lagoonring.platform.store import (
    ENDPOINT_TOPIC,
    OPERATOR_TOPIC,
)
from lagoonring.platform.topics import KeyedTopic
from lagoonring.serving.blocks import PROMPT_PARTS, REQUESTS, BlocksDuty
from lagoonring.serving.buffers import MEMORY_SHARE, BufferPool
from lagoonring.serving.connectivity import Connectivity
from lagoonring.serving.copies import Copies
from lagoonring.serving.demand import Demand
from lagoonring.serving.duties import Duties
from lagoonring.serving.endpoints import EndpointTable
from lagoonring.serving.evacuation import Evacuation
from lagoonring.serving.exchange import Exchange
from lagoonring.serving.fleet import FleetDuty
from lagoonring.serving.follower import Follower
from lagoonring.serving.metrics import ServingMetrics
from lagoonring.serving.move_reports import MoveReports
from lagoonring.serving.moves import MoveGate
from lagoonring.serving.parts import ServingParts
from lagoonring.serving.path import RequestPath
from lagoonring.serving.permits import Permits
from lagoonring.serving.placer import Placer
from lagoonring.serving.prompt_suspects import PromptSuspects
from lagoonring.serving.quotas import Quotas
from lagoonring.serving.reachability import START_SHARE
from lagoonring.serving.relay import FRESH_SHARE, SPREAD_SHARE, StoreRelay
from lagoonring.serving.relay_directory import RelayDirectory
from lagoonring.serving.reload import SettingsReload
from lagoonring.serving.reporting import UsageReports
from lagoonring.serving.retry_budget import RetryBudget
from lagoonring.serving.state_sync import connect_state_sync
from lagoonring.serving.suspects import Suspects
from lagoonring.serving.true_time import TrueClock
from lagoonring.serving.usage import UsageCounts
from lagoonring.serving.version_results import VersionCounters
from lagoonring.serving.versions import MovesDuty

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    import aiohttp

    from lagoonring.kernel import Clock
    from lagoonring.leases.lease import Lease
    from lagoonring.serving.duties import DutyLedger, DutyPart
    from lagoonring.serving.settings import NodeSettings
    from lagoonring.serving.sizing import Order


class HttpSessions(BaseService):
    """Owns the HTTP sessions to endpoints and to the platform."""

    name = "sessions"

    def __init__(self) -> None:
        self.endpoints: aiohttp.ClientSession | None = None
        self.platform: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open both sessions."""
        self.endpoints = make_session()
        self.platform = make_platform_session()

    async def stop(self) -> None:
        """Close both sessions."""
        for session in (self.endpoints, self.platform):
            if session is not None:
                await session.close()


class Serving(BaseService):
    """Builds and runs the services that depend on the open HTTP sessions."""

    name = "serving"

    def __init__(
        self,
        app: Application,
        settings: NodeSettings,
        read_settings: Callable[[], NodeSettings],
    ) -> None:
        self.app = app
        self.settings = settings
        self.read_settings = read_settings
        self.started: list[BaseService] = []

    async def start(self) -> None:
        """Build the services and start them in order."""
        sessions = self.app.find("sessions")
        clients = PlatformClients(self.settings, sessions.platform, self.app.clock)
        store = clients.store
        table = EndpointTable()
        metrics = ServingMetrics(self.app.find("metrics").registry)
        bounds = self.settings.bounds
        exchange = Exchange(self.app, self.settings)

        def limit_exchange(settings: NodeSettings) -> None:
            exchange.transport.set_limits(make_receive_limits(settings))

        limit_exchange(self.settings)
        follower = Follower(
            self.app,
            table,
            metrics,
            documents=KeyedTopic(store, OPERATOR_TOPIC),
            records=KeyedTopic(store, ENDPOINT_TOPIC),
            read_document=documents.decode_document,
            read_record=documents.decode_endpoint,
            relay=StoreRelay(
                self.app.clock,
                exchange,
                self.app.rng,
                change_s=bounds.change_s,
            ),
            bounds=bounds,
        )
        true_clock = TrueClock(self.app.clock)
        parts = make_parts(
            self.app,
            self.settings,
            follower=follower,
            table=table,
            exchange=exchange,
            metrics=metrics,
            true_clock=true_clock,
        )
        path = RequestPath(parts)
        duties = make_duties(self.app, self.settings, parts, clients, true_clock)
        moves = next(
            (part for part in duties.parts if isinstance(part, MovesDuty)), None
        )
        connect_state_sync(parts, true_clock, moves)
        callers = CallerServer(self.app, self.settings, path)
        relays = RelayServer(self.app, self.settings, parts, sessions.endpoints)
        parts.engines = EngineCalls(sessions.endpoints)
        parts.copies = Copies(parts.engines, parts.app.clock)
        evacuation = Evacuation(parts, parts.engines)
        follower.endpoint_listeners.append(evacuation.endpoint_changed)
        table.leaving_listeners.append(evacuation.endpoint_changed)
        page = self.app.services.get("metrics page")
        limited: list[Any] = [clients, callers, relays, *([page] if page else ())]
        reload = SettingsReload(
            self.app,
            parts,
            self.settings,
            self.read_settings,
            listeners=(
                *(part.apply_settings for part in limited),
                limit_exchange,
            ),
        )
        for service in (
            exchange,
            follower,
            parts.connectivity,
            duties,
            evacuation,
            path,
            relays,
            callers,
            reload,
        ):
            self.app.add(service)
            self.started.append(service)
            await service.start()

    async def retire(self) -> None:
        """Release duties and refuse new connections, all services at once."""
        await retire_together(self.started)

    async def drain(self, grace_s: float) -> None:
        """Let requests finish.

        The grace period starts now, at the call, and is shared by all services.
        """
        end_s = self.app.clock.monotonic() + grace_s
        await drain_all(self.started, end_s, self.app.clock)

    async def stop(self) -> None:
        """Stop the services in reverse order."""
        for service in reversed(self.started):
            await service.stop()


def make_parts(
    app: Application,
    settings: NodeSettings,
    *,
    follower: Follower,
    table: EndpointTable,
    exchange: Exchange,
    metrics: ServingMetrics,
    true_clock: TrueClock,
) -> ServingParts:
    """Return the components that the request path depends on."""
    bounds = settings.bounds
    quotas = Quotas(
        bounds.quota_window_s,
        overshoot=bounds.quota_overshoot,
        slack=bounds.quota_slack,
        started_s=app.clock.monotonic(),
        phase=app.rng.random(),
    )
    quotas.set_start_share(START_SHARE)
    demand = Demand(app.clock)
    gate = MoveGate(follower, app.clock)
    connectivity = Connectivity(
        table,
        app.clock,
        app.rng,
        probe=probe_endpoint,
        directory=RelayDirectory(exchange.relays, app.clock, app.rng),
        record_reached=metrics.record_service_reached,
    )
    return ServingParts(
        app=app,
        follower=follower,
        table=table,
        placer=Placer(
            table,
            app.clock,
            app.rng,
            data_centre=settings.data_centre,
            allowed=gate.allowed,
            demand=demand,
            permits=Permits(
                exchange.place,
                true_clock.now,
                age_s=lambda: app.clock.monotonic() - exchange.started_s,
            ),
            connectivity=connectivity,
        ),
        connectivity=connectivity,
        sender=HttpSender(
            app.find("sessions").endpoints, relay_port=settings.relay_port
        ),
        exchange=exchange,
        quotas=quotas,
        retry_budget=RetryBudget(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
            started_s=app.clock.monotonic(),
        ),
        buffers=BufferPool(int(MEMORY_SHARE * settings.memory_bytes)),
        suspects=Suspects(),
        prompt_suspects=PromptSuspects(),
        usage=UsageCounts(bounds.usage_window_s, true_clock.now),
        demand=demand,
        gate=gate,
        counters=VersionCounters(gate, app.clock, life=exchange.life),
        metrics=metrics,
    )


def make_duties(
    app: Application,
    settings: NodeSettings,
    parts: ServingParts,
    clients: PlatformClients,
    true_clock: TrueClock,
) -> Duties:
    """Return the service that runs singleton duties while this instance holds them."""
    client, store = clients.duties, clients.store

    def authority(lease: Lease) -> Authority:
        return Authority(settings.instance, lease.fencing_number)

    async def report(lease: Lease, window: int, counts: dict[str, int]) -> None:
        await client.report_usage(authority(lease), window, counts)

    async def order(lease: Lease, service: str, wanted: Order) -> None:
        await client.order_endpoints(
            authority(lease),
            service=service,
            data_centre=wanted.data_centre,
            n_endpoints=wanted.n_endpoints,
            is_reclaimable=wanted.is_reclaimable,
        )

    change_s = settings.bounds.change_s
    make_blocks = partial(BlocksDuty, clock=app.clock, true_time=true_clock.now)

    def make_duty_parts(ledger: DutyLedger) -> list[DutyPart]:
        duty_parts: list[DutyPart] = [
            MovesDuty(
                ledger,
                parts.follower,
                parts.gate,
                parts.table,
                parts.counters,
                app.clock,
                MoveReports(StoredMoves(store), app.clock),
                exposure_share=settings.bounds.exposure_share,
                exposure_slack=settings.bounds.exposure_slack,
                true_time=true_clock.now,
            ),
            make_blocks(PROMPT_PARTS, ledger, parts.prompt_suspects),
            make_blocks(REQUESTS, ledger, parts.suspects),
        ]
        if "usage" in settings.duties:
            duty_parts.append(
                UsageReports(
                    ledger,
                    parts.usage,
                    parts.exchange,
                    app.clock,
                    parts.metrics,
                    report=report,
                    saved=StoredUsage(store),
                    due_s=settings.bounds.usage_due_s,
                )
            )
        if "scaling" in settings.duties:
            duty_parts.append(
                FleetDuty(
                    parts.follower,
                    parts.table,
                    parts.demand,
                    app.clock,
                    parts.metrics,
                    data_centres=settings.data_centres,
                    heartbeat_s=settings.heartbeat_s,
                    max_read_interval_s=(FRESH_SHARE + SPREAD_SHARE) * change_s,
                    order=order,
                    is_moving=lambda service: (
                        parts.gate.running_order(service) is not None
                    ),
                )
            )
        return duty_parts

    return Duties(
        app,
        clients.log,
        parts.exchange,
        instance=settings.instance,
        lease_s=settings.bounds.lease_s,
        make_parts=make_duty_parts,
    )


def make_application(
    settings: NodeSettings,
    *,
    metrics_port: int | None = None,
    read_settings: Callable[[], NodeSettings] | None = None,
    clock: Clock | None = None,
    rng: random.Random | None = None,
) -> Application:
    """Return the application of an instance, not yet started.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.
    metrics_port : int or None
        Port of the metrics page; metrics are not served if None.
    read_settings : callable or None
        Reads the settings again for a reload; a reload changes nothing if None.
    clock, rng : Clock, random.Random
        Sources of time and randomness; the system's by default.
    """
    app = Application(settings, clock=clock, rng=rng)
    app.add(MetricsService())
    app.add(HttpSessions())
    if metrics_port is not None:
        app.add(MetricsPage(app, settings, metrics_port))
    app.add(Serving(app, settings, read_settings or (lambda: settings)))
    return app
