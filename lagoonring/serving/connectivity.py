"""Whether this instance can connect to the endpoints of each service.

An endpoint that refuses connections from here but is reached by other instances has
lost its path, not its health. This answers the load in which some instances, or all of
a data centre, are cut off from all endpoints while callers and other instances still
reach them: their requests are relayed by instances that reach the service.

A failed connection, or silence, leads to probes of a sample of the service's endpoints.
If most of them fail as well, the service is unreached from here until probes succeed.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from lagoonring.endpoints.errors import RelayRefusedError
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Collection, Iterable, Iterator

    from lagoonring.kernel import Clock
    from lagoonring.serving.endpoints import Endpoint, EndpointRecord, EndpointTable
    from lagoonring.serving.relay_directory import Relay, RelayDirectory
    from lagoonring.serving.requests import Job

EVIDENCE_S = 3.0  # age up to which a tested connection counts
PROBE_INTERVAL_S = 0.7  # so that a path that returns is used within a second
EXAMINE_INTERVAL_S = 1.0  # between examinations while a service is reached
MIN_PROBES = 4
PROBED_SHARE = 0.25  # of the endpoints, so that all are probed within EVIDENCE_S
UNREACHED_SHARE = 0.5  # of the tested endpoints; the rest can't carry all the load
MIN_LOST = 2  # one endpoint may have crashed
SILENCE_S = 0.5  # without a byte of a service from which an answer is due
UNTESTED_S = 1.0  # without a test, while others have lost a service
RELAY_BACKOFF_S = 1.0  # for an instance that refused to relay, or was not reached


logger = make_logger("connectivity")


@attrs.define
class Link:
    """When connections from this instance to an endpoint last succeeded and failed.

    Times are on the monotonic clock.
    """

    reached_s: float = -math.inf
    lost_s: float = -math.inf

    @property
    def tested_s(self) -> float:
        """Time of the last connection that succeeded or failed."""
        return max(self.reached_s, self.lost_s)

    def is_recent(self, now_s: float) -> bool:
        """Return whether the last test still counts."""
        return now_s - self.tested_s < EVIDENCE_S

    def is_lost(self, now_s: float) -> bool:
        """Return whether the last recent test failed."""
        return self.is_recent(now_s) and self.lost_s > self.reached_s


def is_unreached(links: Collection[Link], now_s: float) -> bool:
    """Return whether most of a service's recently tested endpoints are lost."""
    n_tested = sum(link.is_recent(now_s) for link in links)
    n_lost = sum(link.is_lost(now_s) for link in links)
    if n_lost < min(MIN_LOST, len(links)):
        return False
    return n_lost > UNREACHED_SHARE * n_tested


class Connectivity(BaseService):
    """Knows which services this instance reaches, and who relays to the others.

    Parameters
    ----------
    probe : callable
        ``await probe(record)`` returns whether a connection could be established.
    directory : RelayDirectory
        The instances that reach a service.
    record_reached : callable
        Called with a service and whether it is reached when that changes.

    Attributes
    ----------
    unreached : set of str
        The services to whose endpoints this instance can't connect.
    """

    name = "connectivity"

    def __init__(
        self,
        table: EndpointTable,
        clock: Clock,
        rng: random.Random,
        *,
        probe: Callable[[EndpointRecord], Awaitable[bool]],
        directory: RelayDirectory,
        record_reached: Callable[[str, bool], None] | None = None,
    ) -> None:
        self.table = table
        self.clock = clock
        self.rng = rng
        self.probe = probe
        self.directory = directory
        self.record_reached = record_reached or (lambda service, is_reached: None)
        self.unreached: set[str] = set()
        self.heard_s: dict[str, float] = {}
        self.examined_s: dict[str, float] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.relayed: Counter[Relay] = Counter()
        self.avoided: dict[tuple[Relay, str], float] = {}

    async def stop(self) -> None:
        """Stop probing."""
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_lost(self, endpoint: Endpoint) -> bool:
        """Return whether requests to an endpoint need a relay.

        Of an unreached service, endpoints that were not tested count as lost as long
        as there are relays.
        """
        service = endpoint.record.service
        if service not in self.unreached:
            return False
        now_s = self.clock.monotonic()
        if not endpoint.link.is_recent(now_s):
            return bool(self.directory.relays(service))
        return endpoint.link.is_lost(now_s)

    def is_usable(self, job: Job, endpoint: Endpoint) -> bool:
        """Return whether a job can be sent to an endpoint, directly or by a relay."""
        return not self.is_lost(endpoint) or bool(self._relays(job))

    @contextmanager
    def choose_way(self, job: Job, endpoint: Endpoint) -> Iterator[None]:
        """Set the relay of a job for one attempt, and count the job there meanwhile.

        Raises
        ------
        RelayRefusedError
            If the endpoint is lost and no instance can relay.
        """
        job.relay = None
        if not self.is_lost(endpoint):
            yield
            return
        job.relay = relay = self.choose_relay(job)
        if relay is None:
            raise RelayRefusedError(
                f"Got no instance that reaches {endpoint.name}, expected one.",
                remedy="Use another endpoint.",
            )
        self.relayed[relay] += 1
        try:
            yield
        finally:
            self.relayed[relay] -= 1
            self.relayed += Counter()  # drops the relays without a request

    def choose_relay(self, job: Job) -> Relay | None:
        """Return the less busy of two random relays, None if there is none."""
        relays = self._relays(job)
        sample = self.rng.sample(relays, min(2, len(relays)))
        return min(sample, key=lambda relay: self.relayed[relay], default=None)

    def record_connect_failure(self, endpoint: Endpoint) -> None:
        """Record a failed connection, and find out if others fail as well."""
        endpoint.link.lost_s = self.clock.monotonic()
        self.examine(endpoint.record.service)

    def record_heard(self, service: str) -> None:
        """Record that an endpoint of a service sent something."""
        self.heard_s[service] = self.clock.monotonic()

    def record_silence(self, endpoint: Endpoint) -> None:
        """Probe a service of which an answer is due, unless it sends something."""
        service = endpoint.record.service
        heard_s = self.heard_s.get(service, -math.inf)
        if self.clock.monotonic() - heard_s >= SILENCE_S:
            self.examine(service, endpoint)

    def learn_of_relays(self) -> None:
        """Probe services that others have lost and of which nothing was heard here.

        Without requests of its own, an instance would learn from the first one only.
        """
        now_s = self.clock.monotonic()
        for service in self.directory.known:
            tested_s = max(
                self.heard_s.get(service, -math.inf),
                self.examined_s.get(service, -math.inf),
            )
            if now_s - tested_s >= UNTESTED_S:
                self.examine(service)

    def record_relay_failure(self, relay: Relay, service: str) -> None:
        """Avoid an instance that could not relay to a service."""
        until_s = self.clock.monotonic() + RELAY_BACKOFF_S
        self.avoided[relay, service] = until_s

    def examine(self, service: str, suspected: Endpoint | None = None) -> None:
        """Probe a service's endpoints, unless that was done a moment ago."""
        now_s = self.clock.monotonic()
        last_s = self.examined_s.get(service, -math.inf)
        if service in self.tasks or now_s - last_s < EXAMINE_INTERVAL_S:
            return
        self.examined_s[service] = now_s
        task = asyncio.create_task(self._examine(service, suspected))
        self.tasks[service] = task
        task.add_done_callback(lambda _: self.tasks.pop(service, None))

    async def _examine(self, service: str, suspected: Endpoint | None) -> None:
        """Probe endpoints until the service is reached."""
        sample = self._sample(service)
        if suspected is not None and suspected not in sample:
            sample.append(suspected)
        while True:
            if await self._probe_any(sample):
                # Some may have crashed, or the path is back: find out about all.
                await self._probe_any(self._untested(service, sample))
            endpoints = self.table.of_service(service)
            now_s = self.clock.monotonic()
            if not is_unreached([endpoint.link for endpoint in endpoints], now_s):
                self._set_reached(service)
                return
            self._set_unreached(service, endpoints, now_s)
            await self.clock.sleep(PROBE_INTERVAL_S)
            sample = self._sample(service)

    async def _probe_any(self, endpoints: Iterable[Endpoint]) -> bool:
        """Probe endpoints at the same time; return whether any was reached."""
        return any(await asyncio.gather(*(self._probe(one) for one in endpoints)))

    async def _probe(self, endpoint: Endpoint) -> bool:
        is_reached = await self.probe(endpoint.record)
        if is_reached:
            endpoint.link.reached_s = self.clock.monotonic()
        else:
            endpoint.link.lost_s = self.clock.monotonic()
        return is_reached

    def _sample(self, service: str) -> list[Endpoint]:
        """Return the endpoints whose last test is the oldest."""
        endpoints = self.table.of_service(service)
        self.rng.shuffle(endpoints)
        endpoints.sort(key=lambda endpoint: endpoint.link.tested_s)
        return endpoints[: max(MIN_PROBES, math.ceil(PROBED_SHARE * len(endpoints)))]

    def _untested(self, service: str, sample: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints whose last test was not in the sample."""
        return [one for one in self.table.of_service(service) if one not in sample]

    def _relays(self, job: Job) -> list[Relay]:
        now_s = self.clock.monotonic()
        return [
            relay
            for relay in self.directory.relays(job.service)
            if relay not in job.tried_relays
            and self.avoided.get((relay, job.service), -math.inf) <= now_s
        ]

    def _set_unreached(
        self, service: str, endpoints: list[Endpoint], now_s: float
    ) -> None:
        if service in self.unreached:
            return
        self.unreached.add(service)
        self.record_reached(service, False)
        n_tested = sum(one.link.is_recent(now_s) for one in endpoints)
        n_lost = sum(one.link.is_lost(now_s) for one in endpoints)
        for endpoint in endpoints:
            # Others must not believe that these endpoints are down.
            endpoint.observation.unreachable_s = None
            if not endpoint.link.is_recent(now_s):
                endpoint.link.lost_s = now_s
        logger.warning(
            "Lost the connections to a service; other instances relay.",
            extra={
                "service": service,
                "n_endpoints": len(endpoints),
                "n_tested": n_tested,
                "n_lost": n_lost,
                "n_relays": len(self.directory.relays(service)),
            },
        )
        for other in self.table.by_service.keys() - {service}:
            self.examine(other)

    def _set_reached(self, service: str) -> None:
        if service not in self.unreached:
            return
        self.unreached.discard(service)
        self.avoided.clear()
        self.record_reached(service, True)
        for endpoint in self.table.of_service(service):
            endpoint.clear_connect_failures()
        logger.info(
            "Regained the connections to a service.", extra={"service": service}
        )
