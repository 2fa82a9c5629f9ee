"""Endpoints: their own records, and the load and health that this instance measures."""

from __future__ import annotations

import asyncio
import enum
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from lagoonring.logs import make_logger
from lagoonring.serving.connectivity import Link
from lagoonring.serving.observations import Condition, Observation, Typical
from lagoonring.serving.prompt_cache import PromptCache
from lagoonring.serving.statements import NO_LIMIT, KnownLimit
from lagoonring.serving.warming import record_cold

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.serving.configuration import WarmUp
    from lagoonring.serving.messages import Loads, Source

logger = make_logger("endpoints")

LEARNING_WEIGHT = 0.2  # of the newest sample in an exponential moving average
FAILURE_WEIGHT = 0.12  # a failure rate of 4 in 10 shows after about five results
BACKOFF_S = 0.4  # a crashed endpoint restarts within some seconds
MAX_BACKOFF_S = 3.0  # one failed connection in three seconds costs little
MAX_PEER_LOAD_AGE_S = 1.5  # several rounds of the exchange between instances
MAX_REMOVED = 256  # records may lapse in an outage of the store and return
MAX_CONDITION_AGE_S = 3.0  # until a silent hub is replaced and has received all sums


class EndpointState(enum.Enum):
    """State of an endpoint: whether it accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class EndpointRecord:
    """A record that an endpoint writes about itself.

    ``born_ms`` identifies an incarnation of the endpoint, ``sequence`` orders the
    records of one incarnation. ``cold_left_s`` is how much longer the endpoint is cold,
    as of the record's writing.
    """

    endpoint: str
    service: str
    address: str
    data_centre: str
    version: str
    n_slots: int
    state: EndpointState
    born_ms: int
    sequence: int
    is_reclaimable: bool = False
    cold_left_s: float = 0.0

    def is_older_than(self, other: EndpointRecord) -> bool:
        """Return whether ``other`` was written after this record."""
        own = (self.born_ms, self.sequence)
        return own < (other.born_ms, other.sequence)


@attrs.define
class Endpoint:
    """An incarnation of an endpoint, with its load and health as seen here.

    ``observation`` holds the results at this instance, ``condition`` what the hub
    derived from those of all instances, ``limit`` the last limit that it named, and
    ``was_limited`` whether it ever named one. ``is_leaving`` says that it said so in an
    answer; its record in the store may say so later. Until ``paused_until_s`` it wants
    no request here. ``is_on_trial`` says that no request was answered since without
    another pause; then none is sent until ``trial_until_s``. At ``refused_s`` it last
    refused for want of room here, at ``heard_s`` it last sent something here. ``link``
    tells whether connections from here are established. The endpoint is cold until
    ``cold_until_s``, and as far as other instances can't read it in the record until
    ``cold_seen_until_s``. At ``taken_away_s`` it is taken away, as far as it told
    this instance; ``is_report_unread`` says that it is leaving, but the report with
    that time was not read. ``question``, of ``asked_s``, asks whether it still answers.
    """

    record: EndpointRecord
    cache: PromptCache
    n_running: int = 0
    n_waiting_tokens: int = 0
    n_running_elsewhere: int = 0
    n_waiting_tokens_elsewhere: int = 0
    seconds_per_token: float | None = None
    service_s: float | None = None
    learned_s: float = 0.0
    failure_share: float = 0.0
    failed_s: float = 0.0
    n_connect_failures: int = 0
    down_until_s: float = 0.0
    full_until_s: float = 0.0
    observation: Observation = attrs.field(factory=Observation)
    condition: Condition | None = None
    limit: KnownLimit = NO_LIMIT
    was_limited: bool = False
    is_leaving: bool = False
    paused_until_s: float = 0.0
    is_on_trial: bool = False
    trial_until_s: float = 0.0
    refused_s: float = float("-inf")
    reported_down_until_s: float = 0.0
    link: Link = attrs.field(factory=Link)
    heard_s: float = float("-inf")
    cold_until_s: float = 0.0
    cold_seen_until_s: float = 0.0
    taken_away_s: float = float("inf")
    is_report_unread: bool = False
    question: asyncio.Future[bool] | None = None
    asked_s: float = float("-inf")

    @property
    def name(self) -> str:
        """The endpoint's id."""
        return self.record.endpoint

    def is_same(self, other: Endpoint) -> bool:
        """Return whether ``other`` is this incarnation, also if its record lapsed."""
        return self.name == other.name and not _is_other_incarnation(
            self.record, other.record
        )

    def forget_notice(self) -> None:
        """Forget when the endpoint is taken away, since it takes work again."""
        self.taken_away_s = float("inf")
        self.is_report_unread = False

    def takes_new_work(self) -> bool:
        """Return whether the endpoint is ready and has not said that it leaves."""
        return self.record.state is EndpointState.READY and not self.is_leaving

    def count_running(self) -> int:
        """Return the requests in progress, of all freshly reported instances."""
        return self.n_running + self.n_running_elsewhere

    def count_waiting_tokens(self) -> int:
        """Return the tokens waiting for prefill, of all freshly reported instances."""
        return self.n_waiting_tokens + self.n_waiting_tokens_elsewhere

    def avoided_until_s(self, *, is_relayed: bool = False) -> float:
        """Return until when the endpoint is used only if there is no other."""
        return max(self.believed_down_until_s(is_relayed), self.full_until_s)

    def believed_down_until_s(self, is_relayed: bool) -> float:
        """Return until when it counts as down; by a relay, only others' reports do."""
        return max(0.0 if is_relayed else self.down_until_s, self.reported_down_until_s)

    def clear_connect_failures(self) -> None:
        """Use the endpoint again as if no connection had failed."""
        self.n_connect_failures = 0
        self.down_until_s = 0.0

    def record_result(self, *, ok: bool, now_s: float) -> None:
        """Update the moving average of failures with a result."""
        self.observation.record_result(ok=ok, now_s=now_s)
        self.failure_share += FAILURE_WEIGHT * ((not ok) - self.failure_share)
        if not ok:
            self.failed_s = now_s
        else:
            self.n_connect_failures = 0
            self.down_until_s = 0.0
            self.reported_down_until_s = 0.0

    def mark_unreachable(self, now_s: float) -> None:
        """Avoid the endpoint, with a back-off that grows with consecutive failures."""
        self.observation.record_unreachable(now_s)
        self.n_connect_failures += 1
        delay_s = BACKOFF_S * 2 ** min(self.n_connect_failures - 1, 8)
        self.down_until_s = now_s + min(delay_s, MAX_BACKOFF_S)

    def learn_token_time(self, seconds: float, now_s: float) -> None:
        """Add a sample of the prefill time per token."""
        self.learned_s = now_s
        self.observation.record_time(now_s, token_s=seconds)
        self.seconds_per_token = _average(self.seconds_per_token, seconds)

    def learn_service_time(self, seconds: float, now_s: float) -> None:
        """Add a sample of the time that a plain request takes."""
        self.learned_s = now_s
        self.observation.record_time(now_s, service_s=seconds)
        self.service_s = _average(self.service_s, seconds)


class EndpointTable:
    """The endpoints of all services, according to their newest records.

    Attributes
    ----------
    typical : dict
        Typical times at the endpoints by service, from the results of all instances.
    assessed_s : float
        Time of the last assessment of ``typical`` and the endpoints' conditions.
    removed : OrderedDict
        The endpoints removed last that had said something of themselves, by name.
    leaving_listeners : list of callable
        Called with an endpoint that said that it is leaving, and ``"draining"``.
    warm_ups : dict
        How endpoints warm up, for the services that configure it.
    max_pauses_s : dict
        The shortest pause that streams of a service allow between two events.
    evacuated : set of str
        Data centres to whose endpoints nothing is sent.
    """

    def __init__(self) -> None:
        self.typical: dict[str, Typical] = {}
        self.assessed_s = float("-inf")
        self.endpoints: dict[str, Endpoint] = {}
        self.by_service: dict[str, dict[str, Endpoint]] = {}
        self.loads: dict[Source, tuple[float, Loads]] = {}
        self.removed: OrderedDict[str, Endpoint] = OrderedDict()
        self.leaving_listeners: list[Callable[[Endpoint, str], None]] = []
        self.warm_ups: dict[str, WarmUp] = {}
        self.max_pauses_s: dict[str, float] = {}
        self.evacuated: set[str] = set()

    def find(self, name: str) -> Endpoint | None:
        """Return an endpoint by its id."""
        return self.endpoints.get(name)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service, including draining ones."""
        return list(self.by_service.get(service, {}).values())

    def is_assessed(self, now_s: float) -> bool:
        """Return whether the conditions of the endpoints are recent."""
        return now_s - self.assessed_s < MAX_CONDITION_AGE_S

    def mark_leaving(self, endpoint: Endpoint, *, source: str) -> None:
        """Use an endpoint for no new work, since it said that it is leaving."""
        if endpoint.is_leaving:
            return
        endpoint.is_leaving = True
        logger.info(
            "Endpoint said that it is leaving.",
            extra={"endpoint": endpoint.name, "source": source},
        )
        for listener in self.leaving_listeners:
            listener(endpoint, EndpointState.DRAINING.value)

    def apply(
        self, record: EndpointRecord, *, n_cache_tokens: int, now_s: float = 0.0
    ) -> str:
        """Apply a record; return the kind of change, or "" for none.

        Older records change nothing. New incarnations have no measurements.
        """
        endpoint = self.endpoints.get(record.endpoint)
        if endpoint is not None and record.is_older_than(endpoint.record):
            return ""
        if endpoint is None or _is_other_incarnation(endpoint.record, record):
            if endpoint is not None:
                self.remove(record.endpoint)
            endpoint = Endpoint(record, PromptCache(n_cache_tokens))
            self._restore_statements(endpoint)
            for _, loads in self.loads.values():
                _add_load(endpoint, loads.get(endpoint.name), 1)
            self.endpoints[record.endpoint] = endpoint
            self.by_service.setdefault(record.service, {})[record.endpoint] = endpoint
            change = "appeared"
        else:
            change = _describe_change(endpoint.record, record)
            endpoint.record = record
            if change == EndpointState.READY.value:
                endpoint.forget_notice()
        if record_cold(endpoint, record.cold_left_s, now_s, source="record"):
            change = change or "cold"
        return change

    def remove(self, name: str) -> Endpoint | None:
        """Remove an endpoint; return it, if it was known."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            self.by_service[endpoint.record.service].pop(name, None)
            self._remember_statements(endpoint)
        return endpoint

    def _remember_statements(self, endpoint: Endpoint) -> None:
        has_said = endpoint.was_limited or endpoint.is_leaving
        if not (has_said or endpoint.paused_until_s or endpoint.cold_until_s):
            return
        # Without the cache, which is the larger part of an endpoint.
        self.removed[endpoint.name] = attrs.evolve(endpoint, cache=PromptCache(0))
        while len(self.removed) > MAX_REMOVED:
            self.removed.popitem(last=False)

    def _restore_statements(self, endpoint: Endpoint) -> None:
        """Apply what an incarnation said before its record lapsed."""
        known = self.removed.pop(endpoint.name, None)
        if known is None or _is_other_incarnation(known.record, endpoint.record):
            return
        endpoint.limit, endpoint.was_limited = known.limit, known.was_limited
        endpoint.is_leaving = known.is_leaving
        endpoint.paused_until_s = known.paused_until_s
        endpoint.is_on_trial = known.is_on_trial
        endpoint.cold_until_s = known.cold_until_s

    def update_peer_load(self, source: Source, loads: Loads, now_s: float) -> None:
        """Replace the load that a peer reported earlier."""
        self._drop_load(source)
        self.loads[source] = (now_s, loads)
        self._add_loads(loads, 1)

    def expire_loads(self, now_s: float) -> None:
        """Drop reported loads that are too old to be still in progress."""
        for source, (received_s, _) in list(self.loads.items()):
            if now_s - received_s >= MAX_PEER_LOAD_AGE_S:
                self._drop_load(source)

    def drop_loads(self) -> None:
        """Drop the reported loads of all peers."""
        for source in list(self.loads):
            self._drop_load(source)

    def loads_age_s(self, now_s: float) -> float | None:
        """Return the age of the oldest reported load, None without any."""
        oldest_s = min((at_s for at_s, _ in self.loads.values()), default=None)
        return None if oldest_s is None else round(now_s - oldest_s, 3)

    def own_loads(self) -> Loads:
        """Return the load of this instance, by endpoint."""
        return {
            endpoint.name: (endpoint.n_running, endpoint.n_waiting_tokens)
            for endpoint in self.endpoints.values()
            if endpoint.n_running
        }

    def local_loads(self) -> Loads:
        """Return the load of all instances of this data centre, by endpoint."""
        sums = self.own_loads()
        for source, (_, loads) in self.loads.items():
            if source.is_local:
                for name, (n_running, n_tokens) in loads.items():
                    running, tokens = sums.get(name, (0, 0))
                    sums[name] = (running + n_running, tokens + n_tokens)
        return sums

    def all_loads(self) -> Loads:
        """Return the load of all freshly reported instances, by endpoint."""
        return {
            endpoint.name: (endpoint.count_running(), endpoint.count_waiting_tokens())
            for endpoint in self.endpoints.values()
            if endpoint.count_running()
        }

    def _drop_load(self, source: Source) -> None:
        self._add_loads(self.loads.pop(source, (0.0, {}))[1], -1)

    def _add_loads(self, loads: Loads, sign: int) -> None:
        for name, load in loads.items():
            endpoint = self.endpoints.get(name)
            if endpoint is not None:
                _add_load(endpoint, load, sign)


def _add_load(endpoint: Endpoint, load: tuple[int, int] | None, sign: int) -> None:
    if load is not None:
        endpoint.n_running_elsewhere += sign * load[0]
        endpoint.n_waiting_tokens_elsewhere += sign * load[1]


def _is_other_incarnation(old: EndpointRecord, new: EndpointRecord) -> bool:
    return old.born_ms != new.born_ms or old.service != new.service


def _describe_change(old: EndpointRecord, new: EndpointRecord) -> str:
    if old.state is not new.state:
        return new.state.value
    if old.address != new.address:
        return "moved"
    if old.version != new.version:
        return "version"
    return ""


def _average(old: float | None, sample: float) -> float:
    if old is None:
        return sample
    return old + LEARNING_WEIGHT * (sample - old)
