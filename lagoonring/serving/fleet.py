"""Autoscaling: orders the endpoints that carry each service's load at least cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.serving.duties import MIN_CALL_S
from lagoonring.serving.endpoints import EndpointState
from lagoonring.serving.sizing import (
    MAX_LOAD,
    DataCentreFleet,
    Order,
    max_reclaimable_load,
    plan,
)
from lagoonring.serving.warming import is_cold

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonring.kernel import Clock
    from lagoonring.leases.lease import Lease
    from lagoonring.serving.configuration import Configuration, ServiceEntry
    from lagoonring.serving.demand import Demand
    from lagoonring.serving.endpoints import EndpointTable
    from lagoonring.serving.follower import Follower
    from lagoonring.serving.metrics import ServingMetrics

PART = "fleet"
REORDER_INTERVAL_S = 2.0  # after a refusal; reclaimable capacity is out for ten seconds
SCALE_DOWN_DELAY_S = 6.0  # longer than a boot, so that a short lull stops no endpoint
MIN_SPARE_RECLAIMABLE = 2  # per data centre, for a burst during a reclaim in another
SETTLE_HEARTBEATS = 1.25  # without a new endpoint, after which all count as discovered
PRIOR_LOAD_PER_ENDPOINT = 0.2  # existing fleets are sized for about twice their load
PRIOR_HALF_LIFE_S = 6.0  # longer than the lag of measured demand plus a boot
MAX_SLOT_USE = 0.5  # of the slots; the others serve bursts and replace lost endpoints
SLOT_HALF_LIFE_S = 4.0  # as long as that of the arriving work
IDLE_LOAD = 0.05  # below it there is no traffic but occasional probes

logger = make_logger("fleet")


@attrs.define
class LastOrder:
    """The last order for a kind of endpoint in a data centre."""

    n_endpoints: int
    at_s: float
    is_accepted: bool


@attrs.define
class Discovery:
    """Number of endpoints discovered after the start, and time of the last increase."""

    since_s: float
    n_endpoints: int = 0
    is_settled: bool = False


@attrs.define
class Prior:
    """Endpoints that existed before any traffic; they decay once traffic begins.

    Caches are empty at first, so that the first traffic needs more engines than the
    same traffic some seconds later.
    """

    n_found: int
    traffic_since_s: float | None = None

    def read(self, observed: float, now_s: float) -> float:
        """Return the endpoints found at start, decayed with the age of the traffic."""
        if self.traffic_since_s is None:
            if observed < IDLE_LOAD:
                return self.n_found
            self.traffic_since_s = now_s
        age_s = now_s - self.traffic_since_s
        return self.n_found * 2 ** (-age_s / PRIOR_HALF_LIFE_S)


@attrs.define
class SlotUse:
    """Running requests of a service, in endpoints whose slots are all used.

    Long answers occupy slots although their prompts cause little work.
    """

    value: float = 0.0
    updated_s: float | None = None

    def record(self, n_busy: float, now_s: float) -> None:
        """Add a sample to the exponential moving average."""
        if self.updated_s is None:
            self.value = n_busy
        else:
            weight = 0.5 ** ((now_s - self.updated_s) / SLOT_HALF_LIFE_S)
            self.value = weight * self.value + (1 - weight) * n_busy
        self.updated_s = now_s

    def as_load(self, max_load: float) -> float:
        """Return the arriving work for which as many endpoints would be planned."""
        return self.value / MAX_SLOT_USE * max_load


class FleetDuty:
    """The duty of the lease holder that orders endpoints.

    Parameters
    ----------
    heartbeat_s : float
        Interval at which endpoints write their records.
    max_read_interval_s : float
        Longest interval between two reads of the records.
    order : callable
        ``await order(lease, service, Order)`` sends an order to the platform.
    is_moving : callable
        ``is_moving(service)`` returns whether the service moves to another version.
        Its fleet then does not shrink: the newest endpoints, which run the new
        version, would be stopped first.
    """

    name = PART

    def __init__(
        self,
        follower: Follower,
        table: EndpointTable,
        demand: Demand,
        clock: Clock,
        metrics: ServingMetrics,
        *,
        data_centres: tuple[str, ...],
        heartbeat_s: float,
        max_read_interval_s: float,
        order,
        is_moving: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self.follower = follower
        self.table = table
        self.demand = demand
        self.clock = clock
        self.metrics = metrics
        self.data_centres = data_centres
        self.order = order
        self.is_moving = is_moving
        self.settle_s = SETTLE_HEARTBEATS * heartbeat_s + max_read_interval_s
        self.discovery = Discovery(since_s=clock.monotonic())
        self.last_orders: dict[tuple[str, str, bool], LastOrder] = {}
        self.scale_down_since_s: dict[tuple[str, str, bool], float] = {}
        self.fencing_number = -1
        self.priors: dict[str, Prior] = {}
        self.slot_uses: dict[str, SlotUse] = {}

    async def step(self, lease: Lease) -> None:
        """Send the orders of the current plan that are due."""
        configuration = self.follower.configuration
        if configuration is None or not self._is_settled():
            return  # existing endpoints may not all be discovered yet
        if lease.fencing_number != self.fencing_number:
            # Another holder may have sent other orders in the meantime.
            self.fencing_number = lease.fencing_number
            self.last_orders.clear()
            self.priors.clear()
        for service, order in self._wanted(configuration):
            if lease.remaining_s() < MIN_CALL_S:
                return
            entry = configuration.services[service]
            if self._is_due(entry, order):
                await self._send(lease, entry, order)

    def _is_settled(self) -> bool:
        """Return whether the discovery of endpoints after the start is complete."""
        discovery = self.discovery
        if discovery.is_settled:
            return True
        now_s = self.clock.monotonic()
        n_endpoints = len(self.table.endpoints)
        if n_endpoints > discovery.n_endpoints:
            # They may have been discovered long before the lease was acquired.
            discovery.n_endpoints = n_endpoints
            discovery.since_s = min(now_s, self.follower.appeared_s)
        discovery.is_settled = now_s - discovery.since_s >= self.settle_s
        return discovery.is_settled

    def _wanted(self, configuration: Configuration) -> Iterator[tuple[str, Order]]:
        for entry in configuration.services.values():
            if entry.scaling is None:
                continue
            fleets = list(self._fleets(entry))
            if not fleets:
                continue
            load, n_assumed = self._load(entry)
            # As many reclaimable ones as were found cost a fraction of on-demand ones.
            spare = max(MIN_SPARE_RECLAIMABLE, round(n_assumed / max(len(fleets), 1)))
            is_exhausted = self._is_exhausted(entry.name)
            for order in plan(
                fleets, entry.scaling, load=load, spare=spare, is_exhausted=is_exhausted
            ):
                yield entry.name, order

    def _is_exhausted(self, service: str) -> bool:
        """Return whether a last order of reclaimable endpoints was refused."""
        return any(
            name == service and is_reclaimable and not last.is_accepted
            for (name, _, is_reclaimable), last in self.last_orders.items()
        )

    def _load(self, entry: ServiceEntry) -> tuple[float, float]:
        """Return the load to plan for, and the endpoints assumed from the prior."""
        assert entry.scaling is not None
        service, price = entry.name, entry.scaling.reclaimable_price
        observed = self.demand.busy_endpoints(service)
        prior = self.priors.get(service)
        if prior is None:
            n_found = len(self.table.of_service(service))
            prior = Prior(n_found if observed < IDLE_LOAD else 0)
            self.priors[service] = prior
        n_assumed = prior.read(observed, self.clock.monotonic())
        max_load = MAX_LOAD if price is None else max_reclaimable_load(price)
        by_slots = self._record_slot_use(service).as_load(max_load)
        load = max(observed, by_slots, PRIOR_LOAD_PER_ENDPOINT * n_assumed)
        return load, n_assumed

    def _record_slot_use(self, service: str) -> SlotUse:
        n_busy = sum(
            endpoint.count_running() / max(endpoint.record.n_slots, 1)
            for endpoint in self.table.of_service(service)
        )
        use = self.slot_uses.setdefault(service, SlotUse())
        use.record(n_busy, self.clock.monotonic())
        return use

    def _fleets(self, entry: ServiceEntry) -> Iterator[DataCentreFleet]:
        assert entry.scaling is not None
        counts: dict[tuple[str, bool], int] = {}
        n_cold: dict[str, int] = {}
        now_s = self.clock.monotonic()
        for endpoint in self.table.of_service(entry.name):
            record = endpoint.record
            if record.state is EndpointState.READY:
                key = (record.data_centre, record.is_reclaimable)
                counts[key] = counts.get(key, 0) + 1
                if record.is_reclaimable and is_cold(endpoint, now_s):
                    n_cold[record.data_centre] = n_cold.get(record.data_centre, 0) + 1
        for data_centre in self.data_centres:
            price = entry.scaling.prices.get(data_centre)
            if price is None or data_centre in self.table.evacuated:
                continue
            yield DataCentreFleet(
                data_centre=data_centre,
                price=price,
                n_on_demand=counts.get((data_centre, False), 0),
                n_reclaimable=counts.get((data_centre, True), 0),
                n_cold=n_cold.get(data_centre, 0),
            )

    def _is_due(self, entry: ServiceEntry, order: Order) -> bool:
        assert entry.scaling is not None
        key = (entry.name, order.data_centre, order.is_reclaimable)
        now_s = self.clock.monotonic()
        last = self.last_orders.get(key)
        if last is not None and last.n_endpoints == order.n_endpoints:
            self.scale_down_since_s.pop(key, None)
            if not last.is_accepted:
                return now_s - last.at_s >= REORDER_INTERVAL_S
            # Endpoints that were started may have been reclaimed since.
            is_short = self._count(entry.name, order) < order.n_endpoints
            return (
                is_short
                and now_s - last.at_s >= entry.scaling.boot_s + REORDER_INTERVAL_S
            )
        n_current = last.n_endpoints if last else self._count(entry.name, order)
        if order.n_endpoints >= n_current:
            self.scale_down_since_s.pop(key, None)
            return True
        if self.is_moving(entry.name):
            return False
        if self.priors[entry.name].traffic_since_s is None:
            return True  # without traffic no caller needs the surplus endpoints
        since_s = self.scale_down_since_s.setdefault(key, now_s)
        return now_s - since_s >= SCALE_DOWN_DELAY_S

    def _count(self, service: str, order: Order) -> int:
        return sum(
            endpoint.record.state is EndpointState.READY
            and endpoint.record.data_centre == order.data_centre
            and endpoint.record.is_reclaimable == order.is_reclaimable
            for endpoint in self.table.of_service(service)
        )

    def _count_cold(self, service: str, data_centre: str) -> int:
        """Return the cold endpoints of a service in a data centre."""
        now_s = self.clock.monotonic()
        return sum(
            is_cold(endpoint, now_s)
            for endpoint in self.table.of_service(service)
            if endpoint.record.data_centre == data_centre
        )

    async def _send(self, lease: Lease, entry: ServiceEntry, order: Order) -> None:
        service = entry.name
        key = (service, order.data_centre, order.is_reclaimable)
        result = "ok"
        error_text = ""
        try:
            await self.order(lease, service, order)
        except LagoonringError as error:
            result = error.code
            error_text = str(error)
        self.last_orders[key] = LastOrder(
            order.n_endpoints, self.clock.monotonic(), result == "ok"
        )
        self.metrics.duty_calls.labels(PART, result).inc()
        logger.info(
            "Ordered endpoints.",
            extra={
                "service": service,
                "data_centre": order.data_centre,
                "reclaimable": order.is_reclaimable,
                "n_endpoints": order.n_endpoints,
                "load": round(self._load(entry)[0], 2),
                "n_cold": self._count_cold(service, order.data_centre),
                "result": result,
                "error": error_text,
                "fencing_number": lease.fencing_number,
            },
        )
