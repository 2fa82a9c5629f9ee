"""Assembles the application of an entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from lagoonring.administration import AdministrationService
from lagoonring.audit import AuditService
from lagoonring.catalogue.service import CatalogueService
from lagoonring.claims import ClaimsService
from lagoonring.endpoints.connections import CheckedConnector
from lagoonring.fleet.service import FleetService
from lagoonring.kernel import Application, BaseService, Clock
from lagoonring.kernel.application import drain_all
from lagoonring.limits.service import LimitsService
from lagoonring.metrics import MetricsService
from lagoonring.moves.service import MovesService
from lagoonring.peers.options import SeedMember
from lagoonring.peers.service import PeersService
from lagoonring.platform.instance_list import InstanceListClient
from lagoonring.platform.service import LogService
from lagoonring.requests.authentication import make_authenticate
from lagoonring.requests.charges import ChargesService
from lagoonring.requests.handover import HandoverService
from lagoonring.requests.http_server import HttpService
from lagoonring.requests.metrics import RequestMetrics
from lagoonring.requests.parts import RequestParts
from lagoonring.requests.service import RequestsService
from lagoonring.retries.service import RetriesService
from lagoonring.routing.service import RoutingService

if TYPE_CHECKING:
    import random

    from lagoonring.peers.service import Allow, ListSeeds
    from lagoonring.platform import Log
    from lagoonring.settings.entry_settings import EntrySettings

NO_CONNECTION_LIMIT = 0


class SessionService(BaseService):
    """Owns the HTTP client session for requests to endpoints."""

    name = "session"

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session, with unlimited connections and no total timeout."""
        connector = CheckedConnector(limit=NO_CONNECTION_LIMIT)
        self.session = aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=None)
        )

    async def stop(self) -> None:
        """Close the session and its connections."""
        if self.session is not None:
            await self.session.close()


class RequestPathService(BaseService):
    """Builds the request path after the services that it depends on have started.

    Parameters
    ----------
    app : Application
        The services of the request path are added to it.
    settings : EntrySettings
        Options of the request path and the address to listen on.
    """

    name = "callers"

    def __init__(self, app: Application, settings: EntrySettings) -> None:
        self.app = app
        self.settings = settings
        self.started: list[BaseService] = []

    async def start(self) -> None:
        """Build and start the request path; the HTTP server starts last."""
        settings = self.settings
        app = self.app
        parts = make_request_parts(app, settings)
        authenticate, update = make_authenticate()
        parts.catalogue.subscribe(update)
        requests = app.add(RequestsService(parts, instance=settings.instance))
        url = f"http://{settings.host}:{settings.port}"
        handover = app.add(HandoverService(app, requests, url=url))
        registry = app.find("metrics").registry
        http = app.add(
            HttpService(
                requests, authenticate, registry, host=settings.host, port=settings.port
            )
        )
        administration = app.add(AdministrationService(app, http))
        for service in (requests, handover, administration, http):
            self.started.append(service)
            await service.start()

    async def drain(self, grace_s: float) -> None:
        """Drain the services of the request path in reverse order.

        They share the grace period. The HTTP server keeps listening until
        :meth:`stop`, so callers are still answered meanwhile.
        """
        clock = self.app.clock
        end_s = clock.monotonic() + grace_s
        await drain_all(self.started, end_s, clock)

    async def stop(self) -> None:
        """Stop the services of the request path in reverse order."""
        for service in reversed(self.started):
            await service.stop()


def make_entry_application(
    settings: EntrySettings,
    *,
    clock: Clock | None = None,
    rng: random.Random | None = None,
    log: Log | None = None,
    allow: Allow | None = None,
) -> Application:
    """Return the application of an entry instance, not yet started.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    clock, rng : Clock, random.Random
        Sources of time and randomness; the system's by default.
    log : Log or None
        Replaces the log at ``settings.log_url``.
    allow : callable or None
        Decides which peers can reach each other, to test network partitions.

    Returns
    -------
    Application
        Its services start in the order in which they are added.
    """
    app = Application(settings, clock=clock, rng=rng)
    app.add(MetricsService())
    app.add(LogService(log) if log else LogService(url=settings.log_url))
    app.add(SessionService())
    app.add(make_peers(app, settings, allow=allow))
    app.add(CatalogueService(app, settings.catalogue))
    app.add(ClaimsService(app, settings.claims))
    app.add(RetriesService(app, settings.retries))
    app.add(RoutingService(app, settings.routing, data_centre=settings.data_centre))
    app.add(LimitsService(app, settings.limits))
    app.add(MovesService(app, settings.moves))
    app.add(
        FleetService(
            app,
            settings.fleet,
            data_centre=settings.data_centre,
            cloud_url=settings.cloud_url,
        )
    )
    app.add(AuditService(app, settings.instance))
    app.add(ChargesService(app, settings.instance))
    app.add(RequestPathService(app, settings))
    return app


def make_peers(
    app: Application, settings: EntrySettings, *, allow: Allow | None = None
) -> PeersService:
    """Return the service for cluster membership and gossip."""
    return PeersService(
        app,
        settings.peers,
        instance=settings.instance,
        data_centre=settings.data_centre,
        region=settings.region,
        http_address=f"{settings.host}:{settings.port}",
        list_seeds=make_list_seeds(app, settings),
        allow=allow,
    )


def make_list_seeds(app: Application, settings: EntrySettings) -> ListSeeds | None:
    """Return a function that lists live entry instances, or None without a list URL."""
    url = settings.instance_list_url
    if url is None:
        return None

    async def list_seeds() -> list[SeedMember]:
        client = InstanceListClient(url, app.find("session").session)
        return [
            SeedMember(
                instance=row.instance,
                data_centre=row.data_centre,
                region=row.region,
                address=f"{row.address}:{row.peer_port}",
                http_address=f"{row.address}:{row.http_port}",
            )
            for row in await client.read_instances()
            if row.role == "entry" and row.state == "live"
        ]

    return list_seeds


def make_request_parts(app: Application, settings: EntrySettings) -> RequestParts:
    """Return the components that the request path depends on."""
    return RequestParts(
        app=app,
        options=settings.requests,
        session=app.find("session").session,
        catalogue=app.find("catalogue"),
        routing=app.find("routing"),
        limits=app.find("limits"),
        retries=app.find("retries"),
        claims=app.find("claims"),
        charges=app.find("charges"),
        moves=app.find("moves"),
        metrics=RequestMetrics(app.find("metrics").registry),
    )
