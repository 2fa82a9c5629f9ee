"""The service ``fleet``: capacity management and reclaim notices."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from lagoonring.errors import LagoonringError
from lagoonring.fleet.holder import FleetHolder, make_stream
from lagoonring.fleet.ledger import FleetLedger
from lagoonring.fleet.messages import InstanceStatus, NoticeRow
from lagoonring.fleet.metrics import FleetMetrics
from lagoonring.fleet.notices import LEAVING_KIND, NoticeReader
from lagoonring.fleet.options import FleetOptions
from lagoonring.kernel import BaseService
from lagoonring.leases import compete_for_duty, is_among_first
from lagoonring.logs import make_logger
from lagoonring.platform.cloud import CloudClient

if TYPE_CHECKING:
    from lagoonring.kernel import Application
    from lagoonring.leases import Lease, LeaseOptions
    from lagoonring.platform.cloud import Cloud

METRICS_INTERVAL_S = 5.0

logger = make_logger("fleet")


class NoCloudError(LagoonringError, LookupError):
    """The settings name no cloud."""

    code = "no_cloud"


class FleetService(BaseService):
    """Reads reclaim notices and competes for the lease of the data centre's fleet.

    Without a cloud the service only handles notices published by other instances.

    Parameters
    ----------
    app : Application
        Provides ``catalogue``, ``peers``, ``log``, ``routing``, ``requests`` and
        ``session``.
    options : FleetOptions
        Intervals, delays and margins.
    data_centre : str
        Data centre of this instance.
    cloud_url : str or None
        Root URL of the cloud's API.
    cloud : Cloud or None
        Cloud client to use instead of the HTTP client.
    lease_options : LeaseOptions or None
        Duration and intervals of the lease.
    """

    name = "fleet"

    def __init__(
        self,
        app: Application,
        options: FleetOptions | None = None,
        *,
        data_centre: str,
        cloud_url: str | None = None,
        cloud: Cloud | None = None,
        lease_options: LeaseOptions | None = None,
    ) -> None:
        self.app = app
        self.options = options or FleetOptions()
        self.data_centre = data_centre
        self.cloud_url = cloud_url
        self.cloud = cloud
        self.lease_options = lease_options
        self.ledger = FleetLedger()
        self.holder = FleetHolder(
            app, data_centre, self.ledger, self.find_cloud, self.options
        )
        self.reader = NoticeReader(app, data_centre, self.find_cloud, self.options)
        self.lease: Lease | None = None
        self.metrics: FleetMetrics | None = None

    async def start(self) -> None:
        """Subscribe to peers' notices; with a cloud, also read notices and compete."""
        self.peers = self.app.find("peers")
        self.peers.subscribe(LEAVING_KIND, NoticeRow, self.reader.handle_row)
        if self.cloud is None and self.cloud_url is None:
            return
        if "metrics" in self.app.services:
            self.metrics = FleetMetrics(self.app.find("metrics").registry)
            self.app.spawn("fleet metrics", self._update_metrics)
        self.app.spawn("fleet notices", self.reader.run)
        self.lease = compete_for_duty(
            self.app,
            "fleet holder",
            self.holder.run,
            stream=make_stream(self.data_centre),
            data=self.ledger,
            is_candidate=self._is_candidate,
            options=self.lease_options,
        )

    async def drain(self, grace_s: float) -> None:
        """Release the lease, so that another instance takes over at once."""
        if self.lease is not None:
            await self.lease.release()

    def find_cloud(self) -> Cloud:
        """Return the cloud client.

        Raises
        ------
        NoCloudError
            If the settings name no cloud.
        """
        if self.cloud is None:
            if self.cloud_url is None:
                raise NoCloudError(
                    "Got no cloud_url, expected the root of the cloud's interface.",
                    remedy="Add cloud_url to the settings.",
                )
            session = self.app.find("session").session
            self.cloud = CloudClient(self.cloud_url, session)
        return self.cloud

    def status(self) -> list[InstanceStatus]:
        """Return the data centre's intents that aren't closed, as last read here."""
        return [
            InstanceStatus(
                goal=item.goal,
                entry=item.entry,
                data_centre=item.data_centre,
                instance_class=item.instance_class,
                market=item.market,
                state=item.state,
                instance=item.instance,
                reason=item.reason,
            )
            for item in self.ledger.open_intents()
        ]

    def _is_candidate(self) -> bool:
        fleet = self.app.find("catalogue").content.fleet.values()
        if not any(goal.data_centre == self.data_centre for goal in fleet):
            return bool(self.ledger.open_intents())
        me = self.peers.me.instance
        others = [
            member.instance
            for member in self.peers.members()
            if member.data_centre == self.data_centre
        ]
        return is_among_first(make_stream(self.data_centre), me, {me, *others})

    async def _update_metrics(self) -> None:
        assert self.metrics is not None
        while True:
            counts: Counter[tuple[str, str, str]] = Counter()
            for item in self.ledger.open_intents():
                counts[item.goal, item.market, item.state] += 1
            self.metrics.record_instances(counts)
            self.metrics.record_plans(self.holder.plans)
            await self.app.clock.sleep(METRICS_INTERVAL_S)
