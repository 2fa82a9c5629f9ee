"""Orders endpoints so that each service's load is carried at the least bill."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.serving.duties import MIN_CALL_S
from lagoonring.serving.endpoints import EndpointState
from lagoonring.serving.sizing import DataCentreFleet, Order, plan

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.kernel import Clock
    from lagoonring.leases.lease import Lease
    from lagoonring.serving.configuration import Configuration, ServiceEntry
    from lagoonring.serving.demand import Demand
    from lagoonring.serving.endpoints import EndpointTable
    from lagoonring.serving.follower import Follower
    from lagoonring.serving.metrics import ServingMetrics

PART = "fleet"
REPEAT_S = 2.0  # after a refusal; reclaimable endpoints are gone for ten seconds
LESS_AFTER_S = 6.0  # longer than a boot, so that a short lull stops no endpoint
RECLAIMABLE_SPARE = 2  # in each data centre, for a burst while another one's are gone
SETTLE_HEARTBEATS = 1.25  # without a new endpoint after a start: all were read
PRIOR_LOAD = 0.2  # of each endpoint found: fleets are found at twice their load
PRIOR_HALF_LIFE_S = 6.0  # longer than demand takes to be seen, and a boot besides
IDLE_LOAD = 0.05  # less is no traffic: a probe now and then

logger = make_logger("fleet")


@attrs.define
class Ordered:
    """The last order for a kind of endpoint in a data centre."""

    n_endpoints: int
    at_s: float
    is_accepted: bool


@attrs.define
class Growing:
    """Endpoints read since this process started, and when the last one was."""

    since_s: float
    n_endpoints: int = 0
    is_settled: bool = False


@attrs.define
class Prior:
    """Endpoints found before callers came; they count less once callers have.

    At first engines have read nothing, so that callers who begin need more of them
    than the same callers some seconds later.
    """

    n_found: int
    traffic_since_s: float | None = None

    def read(self, observed: float, now_s: float) -> float:
        """Return the endpoints found, as far as they still count."""
        if self.traffic_since_s is None:
            if observed < IDLE_LOAD:
                return self.n_found
            self.traffic_since_s = now_s
        age_s = now_s - self.traffic_since_s
        return self.n_found * 2 ** (-age_s / PRIOR_HALF_LIFE_S)


class FleetDuty:
    """The part of the duties that orders endpoints.

    Parameters
    ----------
    heartbeat_s : float
        How often endpoints write their records.
    reading_s : float
        Longest time from one reading of the records to the next.
    order : callable
        ``await order(lease, service, Order)`` tells the platform.
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
        reading_s: float,
        order,
    ) -> None:
        self.follower = follower
        self.table = table
        self.demand = demand
        self.clock = clock
        self.metrics = metrics
        self.data_centres = data_centres
        self.order = order
        self.settle_s = SETTLE_HEARTBEATS * heartbeat_s + reading_s
        self.growing = Growing(since_s=clock.monotonic())
        self.ordered: dict[tuple[str, str, bool], Ordered] = {}
        self.less_since_s: dict[tuple[str, str, bool], float] = {}
        self.fencing_number = -1
        self.priors: dict[str, Prior] = {}

    async def step(self, lease: Lease) -> None:
        """Order what the plan wants and has not been ordered."""
        configuration = self.follower.configuration
        if configuration is None or not self._is_settled():
            return  # endpoints that are there may not have been read yet
        if lease.fencing_number != self.fencing_number:
            # Another holder may have ordered something else meanwhile.
            self.fencing_number = lease.fencing_number
            self.ordered.clear()
            self.priors.clear()
        for service, order in self._wanted(configuration):
            if lease.remaining_s() < MIN_CALL_S:
                return
            if self._is_due(configuration.services[service], order):
                await self._send(lease, service, order)

    def _is_settled(self) -> bool:
        """Whether no more endpoints come to light since this process started."""
        growing = self.growing
        if growing.is_settled:
            return True
        now_s = self.clock.monotonic()
        n_endpoints = len(self.table.endpoints)
        if n_endpoints > growing.n_endpoints:
            growing.n_endpoints, growing.since_s = n_endpoints, now_s
        growing.is_settled = now_s - growing.since_s >= self.settle_s
        return growing.is_settled

    def _wanted(self, configuration: Configuration) -> Iterator[tuple[str, Order]]:
        for entry in configuration.services.values():
            if entry.scaling is None:
                continue
            fleets = list(self._fleets(entry))
            load, n_assumed = self._load(entry.name)
            # As many reclaimable ones as were found cost a fraction of these.
            spare = max(RECLAIMABLE_SPARE, round(n_assumed / max(len(fleets), 1)))
            is_dry = self._is_dry(entry.name)
            for order in plan(
                fleets, entry.scaling, load=load, spare=spare, is_dry=is_dry
            ):
                yield entry.name, order

    def _is_dry(self, service: str) -> bool:
        """Whether the last order of reclaimable endpoints was refused somewhere."""
        return any(
            name == service and is_reclaimable and not ordered.is_accepted
            for (name, _, is_reclaimable), ordered in self.ordered.items()
        )

    def _load(self, service: str) -> tuple[float, float]:
        """Return the load to plan for, and the endpoints assumed to be needed."""
        observed = self.demand.busy_endpoints(service)
        prior = self.priors.get(service)
        if prior is None:
            n_found = len(self.table.of_service(service))
            prior = Prior(n_found if observed < IDLE_LOAD else 0)
            self.priors[service] = prior
        n_assumed = prior.read(observed, self.clock.monotonic())
        return max(observed, PRIOR_LOAD * n_assumed), n_assumed

    def _fleets(self, entry: ServiceEntry) -> Iterator[DataCentreFleet]:
        assert entry.scaling is not None
        counts: dict[tuple[str, bool], int] = {}
        for endpoint in self.table.of_service(entry.name):
            record = endpoint.record
            if record.state is EndpointState.READY:
                key = (record.data_centre, record.is_reclaimable)
                counts[key] = counts.get(key, 0) + 1
        for data_centre in self.data_centres:
            price = entry.scaling.prices.get(data_centre)
            if price is None:
                continue
            yield DataCentreFleet(
                data_centre=data_centre,
                price=price,
                n_on_demand=counts.get((data_centre, False), 0),
                n_reclaimable=counts.get((data_centre, True), 0),
            )

    def _is_due(self, entry: ServiceEntry, order: Order) -> bool:
        assert entry.scaling is not None
        key = (entry.name, order.data_centre, order.is_reclaimable)
        now_s = self.clock.monotonic()
        last = self.ordered.get(key)
        if last is not None and last.n_endpoints == order.n_endpoints:
            self.less_since_s.pop(key, None)
            if not last.is_accepted:
                return now_s - last.at_s >= REPEAT_S
            # What was started may have been reclaimed since.
            is_short = self._count(entry.name, order) < order.n_endpoints
            return is_short and now_s - last.at_s >= entry.scaling.boot_s + REPEAT_S
        n_before = last.n_endpoints if last else self._count(entry.name, order)
        if order.n_endpoints >= n_before:
            self.less_since_s.pop(key, None)
            return True
        if self.priors[entry.name].traffic_since_s is None:
            return True  # no caller yet who could miss what is given up
        since_s = self.less_since_s.setdefault(key, now_s)
        return now_s - since_s >= LESS_AFTER_S

    def _count(self, service: str, order: Order) -> int:
        return sum(
            endpoint.record.state is EndpointState.READY
            and endpoint.record.data_centre == order.data_centre
            and endpoint.record.is_reclaimable == order.is_reclaimable
            for endpoint in self.table.of_service(service)
        )

    async def _send(self, lease: Lease, service: str, order: Order) -> None:
        key = (service, order.data_centre, order.is_reclaimable)
        result = "ok"
        error_text = ""
        try:
            await self.order(lease, service, order)
        except LagoonringError as error:
            result = error.code
            error_text = str(error)
        self.ordered[key] = Ordered(
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
                "load": round(self._load(service)[0], 2),
                "result": result,
                "error": error_text,
                "fencing_number": lease.fencing_number,
            },
        )
