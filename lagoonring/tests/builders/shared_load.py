"""Many instances that place requests and share what they observe, without a network."""

from __future__ import annotations

import random
from types import SimpleNamespace

import attrs

from lagoonring.kernel import ManualClock
from lagoonring.serving.conditions import Conditions
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.demand import Demand
from lagoonring.serving.endpoints import EndpointRecord, EndpointState, EndpointTable
from lagoonring.serving.messages import Scope, Source
from lagoonring.serving.permits import Permits, Place
from lagoonring.serving.placer import Placer
from lagoonring.tests.builders.connectivity import make_connectivity

SERVICE = "desk"
ROUND_S = 0.4  # between two reports in a data centre of about 45 instances

ONLY_INSTANCE = Place("x", "east", ("east",), ("x",))


@attrs.define
class Behaviour:
    """How an endpoint treats requests; ``down`` refuses connections."""

    service_s: float = 0.02
    failure_share: float = 0.0
    is_down: bool = False


@attrs.define
class Tally:
    """What callers got: results by endpoint."""

    n_ok: dict[str, int] = attrs.field(factory=dict)
    n_failed: dict[str, int] = attrs.field(factory=dict)
    n_unreachable: dict[str, int] = attrs.field(factory=dict)
    total_s: float = 0.0

    def count(self, kind, name):
        """Count a result of an endpoint."""
        counts = getattr(self, kind)
        counts[name] = counts.get(name, 0) + 1


class SharedLoad:
    """Instances of one data centre whose requests arrive at random.

    Each round, every instance reports to a hub, whose conditions reach the instances
    one round later. Without ``shares_results``, every instance learns by itself.
    """

    def __init__(self, *, n_instances=195, n_endpoints=20, shares_results=True):
        self.clock = ManualClock()
        self.rng = random.Random(11)
        self.shares_results = shares_results
        self.behaviours = {f"e{n}": Behaviour() for n in range(n_endpoints)}
        self.instances = [self._make_instance(n) for n in range(n_instances)]
        self.hub = self._make_instance(n_instances)
        self.tally = Tally()
        self.digest = None

    def _make_instance(self, number):
        table = EndpointTable()
        for name in self.behaviours:
            table.apply(make_endpoint_record(name), n_cache_tokens=1000)
        rng = random.Random(number)
        placer = Placer(
            table,
            self.clock,
            rng,
            data_centre="east",
            allowed=lambda service, versions, request_id: set(versions),
            demand=Demand(self.clock),
            permits=Permits(lambda: ONLY_INSTANCE, self.clock.time),
            connectivity=make_connectivity(table, self.clock, rng),
        )
        return SimpleNamespace(
            name=f"i{number}",
            table=table,
            placer=placer,
            conditions=Conditions(table, rng),
        )

    async def run_for(self, seconds, *, rate_per_s):
        """Place requests for a number of seconds and return what callers got."""
        self.tally = Tally()
        for _ in range(round(seconds / ROUND_S)):
            n_requests = round(rate_per_s * ROUND_S)
            for _ in range(n_requests):
                self._send(self.rng.choice(self.instances))
                await self.clock.advance(ROUND_S / n_requests)
            if self.shares_results:
                self._exchange()
        return self.tally

    def _send(self, instance):
        """Place a request and record its result at once."""
        job = make_lookup()
        while (placement := instance.placer.place(job)) is not None:
            endpoint = instance.table.find(placement.name)
            job.tried.add(endpoint.name)
            now_s = self.clock.monotonic()
            behaviour = self.behaviours[endpoint.name]
            if behaviour.is_down:
                endpoint.mark_unreachable(now_s)
                self.tally.count("n_unreachable", endpoint.name)
                continue
            ok = self.rng.random() >= behaviour.failure_share
            endpoint.record_result(ok=ok, now_s=now_s)
            if ok:
                endpoint.learn_service_time(behaviour.service_s, now_s)
            self.tally.count("n_ok" if ok else "n_failed", endpoint.name)
            self.tally.total_s += behaviour.service_s
            return

    def _exchange(self):
        now_s = self.clock.monotonic()
        if self.digest is not None:
            for instance in self.instances:
                instance.conditions.apply(*self.digest, now_s)
        for instance in self.instances:
            rows = instance.conditions.own_rows(now_s)
            source = Source(Scope.INSTANCE, instance.name)
            self.hub.conditions.update_peer(source, rows, now_s)
        self.digest = self.hub.conditions.assess_all(now_s)


def make_endpoint_record(name):
    """Return the record of a plain endpoint."""
    return EndpointRecord(
        endpoint=name,
        service=SERVICE,
        address="127.0.0.1:9",
        data_centre="east",
        version="v1",
        n_slots=6,
        state=EndpointState.READY,
        born_ms=1,
        sequence=1,
    )


def make_lookup():
    """Return a job of an idempotent request."""
    route = SimpleNamespace(
        kind=RequestKind.IDEMPOTENT,
        is_idempotent=True,
        may_resume=False,
        objective_s=1.0,
    )
    request = SimpleNamespace(request_id="r", prompt_parts=(), n_prompt_tokens=0)
    return SimpleNamespace(
        route=route,
        service=SERVICE,
        request=request,
        tried=set(),
        is_long=False,
    )
