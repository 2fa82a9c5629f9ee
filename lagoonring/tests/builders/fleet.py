"""Builders of offers and of entry instances that manage a fleet."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.catalogue import (
    CatalogueOptions,
    CatalogueService,
    Change,
    Edit,
    Endpoint,
)
from lagoonring.fleet.ledger import FleetLedger
from lagoonring.fleet.messages import NoticeRow
from lagoonring.fleet.options import FleetOptions
from lagoonring.fleet.planner import GoalRange, Offer
from lagoonring.fleet.service import FleetService
from lagoonring.kernel import Application, BaseService, ManualClock
from lagoonring.leases import LeaseOptions
from lagoonring.leases.records import LeaseState, decode_record, fold
from lagoonring.routing.messages import EndpointLoad, LeavingEndpoint
from lagoonring.standins.cloud_model import CloudModel
from lagoonring.standins.log_standin import LogStandin
from lagoonring.standins.options import CloudOptions, Price
from lagoonring.tests.builders.claims import PeerNetwork
from lagoonring.tests.builders.clouds import CloudDouble, CloudFaults
from lagoonring.tests.builders.gates import Gate, GatedClock, GatedLog

if TYPE_CHECKING:
    from lagoonring.platform.cloud import (
        CloudInstance,
    )


def make_offer(**fields: Any) -> Offer:
    """Return a cheap reclaimable offer of ``goal-0``, with ``fields`` replaced."""
    values: dict[str, Any] = {
        "goal": "goal-0",
        "entry": "guide",
        "data_centre": "dc0",
        "instance_class": "small",
        "market": "reclaimable",
        "price": 0.3,
    }
    return Offer(**{**values, **fields})


def make_offers(
    prices: list[float], *, on_demand: float = 1.0
) -> tuple[list[Offer], dict[str, GoalRange]]:
    """Return both markets of one goal per data centre, and the goals' ranges."""
    offers = []
    for index, price in enumerate(prices):
        place = {"goal": f"goal-{index}", "data_centre": f"dc{index}"}
        offers.append(make_offer(price=price, **place))
        offers.append(make_offer(market="on_demand", price=on_demand, **place))
    return offers, {offer.goal: GoalRange() for offer in offers}


OPTIONS = FleetOptions(
    tick_s=1,
    notice_poll_s=0.5,
    drain_s=8,
    settle_s=3,
    note_s=10,
    backoff_s=5,
    horizon_s=0,
)
LEASE_OPTIONS = LeaseOptions(duration_s=3, margin_s=0.5, renew_interval_s=1, poll_s=0.5)
STEP_S = 0.25
START_S = 1.0
NOTICE_S = 6.0
DATA_CENTRES = ("dc0", "dc1")


class RoutingDouble(BaseService):
    """Publishes leaving endpoints as routing does."""

    name = "routing"

    def __init__(self, peers: Any) -> None:
        self.peers = peers
        self.leaving_endpoints: set[str] = set()

    def leaving(self, endpoint: str) -> None:
        """Stop sending requests to an endpoint."""
        if endpoint not in self.leaving_endpoints:
            self.leaving_endpoints.add(endpoint)
            # Peers decode a routing row as a notice without a reclaim time.
            self.peers.publish("leaving", endpoint, NoticeRow(), urgent=True)


class RequestsDouble(BaseService):
    """Records the endpoints that streams were moved off."""

    name = "requests"

    def __init__(self) -> None:
        self.moved: dict[str, float] = {}

    def endpoint_leaving(self, endpoint: str, seconds_left: float) -> None:
        """Move streams off."""
        assert endpoint not in self.moved
        self.moved[endpoint] = seconds_left


@attrs.define(kw_only=True)
class FleetInstance:
    """An entry instance with the services that the fleet needs."""

    name: str
    data_centre: str
    app: Application
    gate: Gate
    catalogue: CatalogueService
    fleet: FleetService
    requests: RequestsDouble


class FleetCluster:
    """Entry instances that manage the fleet of two data centres.

    ``demand`` is the number of busy slots of ``guide`` in both data centres.
    Leaving endpoints finish their requests after ``finish_s``.
    """

    def __init__(
        self,
        *,
        n_per_data_centre: int = 2,
        demand: float = 20.0,
        faults: CloudFaults | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.log = LogStandin(self.clock)
        self.network = PeerNetwork()
        self.n_per_data_centre = n_per_data_centre
        self.demand = demand
        self.finish_s = 2.0
        self.faults = faults or CloudFaults()
        self.leaving_since_s: dict[str, float] = {}
        self.stopped_while_busy: list[str] = []
        self.reclaims: list[asyncio.Task[None]] = []
        prices = [
            Price(data_centre=name, instance_class="small", reclaimable=0.3)
            for name in DATA_CENTRES
        ]
        self.model = CloudModel(
            CloudOptions(prices=prices),
            clock=self.clock,
            attach=lambda item: f"http://127.0.0.1:9000/{item.instance}",
            detach=self._detach,
        )
        self.instances: list[FleetInstance] = []

    async def start(self) -> None:
        """Start the instances and write the catalogue."""
        for data_centre in DATA_CENTRES:
            for index in range(self.n_per_data_centre):
                await self._add(f"{data_centre}-{index}", data_centre)
        entry = {"kind": "model", "owner": "asso", "service_class": "chat"}
        changes = [
            Change(section="organisations", name="asso", item={}),
            Change(section="classes", name="chat", item={}),
            Change(section="entries", name="guide", item=entry),
        ]
        for name in DATA_CENTRES:
            goal = {"entry": "guide", "data_centre": name, "instance_class": "small"}
            goal |= {"n_spare": 0, "n_most": 12}
            changes.append(Change(section="fleet", name=f"goal-{name}", item=goal))
        catalogue = self.instances[0].catalogue
        edit = Edit(edit_id="e", author="ana", base_revision=-1, changes=changes)
        task = asyncio.create_task(catalogue.apply(edit))
        while not task.done():
            await self.clock.advance(STEP_S)
        task.result()

    async def stop(self) -> None:
        """Stop all instances."""
        for instance in self.instances:
            instance.gate.open()
        for instance in self.instances:
            await instance.app.stop()

    async def run(self, seconds: float, *, until: Any = None) -> bool:
        """Advance the clock; return whether ``until`` became true."""
        for _ in range(int(seconds / STEP_S)):
            if until is not None and until():
                return True
            self._finish_starts()
            self._report_loads()
            await self.clock.advance(STEP_S)
        return until is not None and until()

    def live(self) -> list[FleetInstance]:
        """Return the instances that are not stopped."""
        return [item for item in self.instances if not item.gate.stopped]

    def holder(self, data_centre: str) -> FleetInstance | None:
        """Return the instance that holds a data centre's lease."""
        for instance in self.instances:
            lease = instance.fleet.lease
            if instance.data_centre == data_centre and lease and lease.is_held():
                return instance
        return None

    def running(self, market: str = "") -> list[CloudInstance]:
        """Return the cloud's instances that have not ended."""
        return [
            item
            for item in self.model.instances.values()
            if item.state != "gone" and market in ("", item.market)
        ]

    def endpoints(self) -> dict[str, Endpoint]:
        """Return the endpoints in the catalogue."""
        return self.live()[0].catalogue.content.endpoints

    def is_settled(self) -> bool:
        """Return whether capacity suffices and cloud, catalogue and intents agree."""
        running = {item.instance for item in self.running() if item.state == "running"}
        n_needed = -(-self.demand // (OPTIONS.target_load * OPTIONS.n_slots))
        is_enough = len(running) >= max(len(DATA_CENTRES), n_needed)
        return (
            is_enough
            and running == self.endpoints().keys() == self.instances_with_intents()
        )

    def instances_with_intents(self) -> set[str]:
        """Return the instances of open intents."""
        instances_with_intents = set()
        for data_centre in DATA_CENTRES:
            ledger = FleetLedger()
            state = LeaseState()
            for record in self.log.streams[f"fleet-{data_centre}"].records:
                decoded = decode_record(record.data)
                assert decoded is not None
                state, counts = fold(state, decoded, record.offset)
                if counts and decoded.kind == "data":
                    ledger.on_data(record.offset, record.time_s, decoded.payload)
            instances_with_intents |= {item.instance for item in ledger.open_intents()}
        return instances_with_intents

    def reclaim(self, instance: str) -> None:
        """Announce a reclaim and end the instance after ``NOTICE_S``."""
        self.model.announce(instance, NOTICE_S)
        task = asyncio.create_task(self._reclaim_later(instance))
        self.reclaims.append(task)

    async def _reclaim_later(self, instance: str) -> None:
        await self.clock.sleep(NOTICE_S)
        self.model.terminate(instance)

    def _detach(self, item: CloudInstance) -> None:
        if self._n_running(item.instance) > 0 and item.state != "leaving":
            self.stopped_while_busy.append(item.instance)

    def _finish_starts(self) -> None:
        for item in self.running():
            age_s = self.clock.time() - item.started_s
            if item.state == "starting" and age_s >= START_S:
                self.model.mark_running(item.instance)

    def _n_running(self, endpoint: str) -> int:
        known = self.endpoints()
        if endpoint not in known:
            return 0
        if endpoint in self.leaving_since_s:
            is_busy = self.clock.time() - self.leaving_since_s[endpoint] < self.finish_s
            return int(is_busy)
        names = sorted(name for name in known if name not in self.leaving_since_s)
        n_each, n_more = divmod(round(self.demand), len(names))
        return n_each + (names.index(endpoint) < n_more)

    def _report_loads(self) -> None:
        rows = self.live()[0].app.find("peers").rows("leaving", LeavingEndpoint)
        for _, name in rows:
            self.leaving_since_s.setdefault(name, self.clock.time())
        for reporter in (self.live()[0], self.live()[-1]):
            peers = reporter.app.find("peers")
            for name in self.endpoints():
                load = EndpointLoad(
                    n_running=self._n_running(name),
                    n_slots=OPTIONS.n_slots,
                    time_s=self.clock.time(),
                )
                peers.publish("endpoint_load", name, load)

    async def _add(self, name: str, data_centre: str) -> None:
        gate = Gate()
        log = GatedLog(self.log, gate)
        app = Application(
            clock=GatedClock(self.clock, gate), rng=random.Random(len(self.instances))
        )
        app.add(log)
        peers = app.add(self.network.join(name, data_centre))
        catalogue = app.add(CatalogueService(app, CatalogueOptions(retry_s=0.2)))
        app.add(RoutingDouble(peers))
        requests = app.add(RequestsDouble())
        fleet = app.add(
            FleetService(
                app,
                OPTIONS,
                data_centre=data_centre,
                cloud=CloudDouble(self.model, gate, self.faults),
                lease_options=LEASE_OPTIONS,
            )
        )
        self.instances.append(
            FleetInstance(
                name=name,
                data_centre=data_centre,
                app=app,
                gate=gate,
                catalogue=catalogue,
                fleet=fleet,
                requests=requests,
            )
        )
        await app.start()
        await self.clock.advance(STEP_S)
