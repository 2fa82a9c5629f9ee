"""The current configuration: routes, services, organisations and limits."""

from __future__ import annotations

import enum
import hashlib
import math

import attrs


class RequestKind(enum.Enum):
    """Kind of a route's requests, which determines how they may be retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class WeightedService:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class RouteEntry:
    """A route: host, path prefix, target services and limits.

    ``rank`` 0 is the most urgent; ``max_attempts`` bounds the endpoints on which
    one request may run. ``max_wait_s`` is how long a caller waits for the first
    part of an answer, and for each next one. ``max_pause_s`` is the longest pause
    between two events of a stream that is still on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    max_wait_s: float
    rank: int
    targets: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    may_resume: bool
    max_pause_s: float = math.inf

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may be run again from its start."""
        return self.kind is RequestKind.IDEMPOTENT

    def choose_service(self, request_id: str) -> str:
        """Return the service for a request, which depends only on the request's id."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest) / 2**64 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@attrs.frozen(kw_only=True)
class EngineTraits:
    """Properties that all model engines of a service share."""

    n_slots: int
    n_cache_tokens: int
    may_move: bool


@attrs.frozen(kw_only=True)
class ScalingTraits:
    """Bounds and prices of a service's endpoints, per data centre.

    ``reclaimable_price`` is a fraction of the on-demand price.
    """

    n_least: int
    n_most: int
    boot_s: float
    reclaimable_price: float | None
    prices: dict[str, float]


@attrs.frozen(kw_only=True)
class WarmUp:
    """How the endpoints of a service warm up after a start.

    An endpoint is cold for ``duration_s``. Meanwhile it takes ``rate_per_s`` requests a
    second from all instances together.
    """

    duration_s: float
    rate_per_s: float


@attrs.frozen(kw_only=True)
class ServiceEntry:
    """A service that endpoints run; ``warm_up`` is None if they need none."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingTraits | None = None
    warm_up: WarmUp | None = None


@attrs.frozen(kw_only=True)
class Organisation:
    """A customer with one limit for all requests; ``rate_per_s`` 0 is unlimited.

    ``rate_per_s`` and ``burst`` are in tokens if ``counts_tokens``, else in requests.
    """

    name: str
    keys: frozenset[str]
    rank: int | None
    rate_per_s: float
    burst: float
    counts_tokens: bool
    n_plain_tokens: float


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits of callers' requests, and timeouts of their connections."""

    n_header_bytes: int
    n_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.define(kw_only=True)
class Configuration:
    """A version of the configuration, with indexes for look-ups."""

    version: int
    routes: tuple[RouteEntry, ...]
    services: dict[str, ServiceEntry]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits
    # Routes by host and path prefix; a configuration may have more than a thousand.
    by_host: dict[str, dict[str, RouteEntry]] = attrs.field(init=False, factory=dict)
    by_key: dict[str, Organisation] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        for route in self.routes:
            self.by_host.setdefault(route.host, {}).setdefault(route.path_prefix, route)
        for organisation in self.organisations:
            for key in organisation.keys:
                self.by_key[key] = organisation

    def max_pauses_s(self) -> dict[str, float]:
        """Return the shortest pause that streams of a service allow, by service."""
        pauses: dict[str, float] = {}
        for route in self.routes:
            if route.kind is RequestKind.STREAM:
                for target in route.targets:
                    known_s = pauses.get(target.service, math.inf)
                    pauses[target.service] = min(known_s, route.max_pause_s)
        return pauses

    def match(self, host: str, path: str) -> RouteEntry | None:
        """Return the route with the longest prefix of a path, if there is one.

        Prefixes begin and end with a slash.
        """
        routes = self.by_host.get(host.lower())
        if routes is None:
            return None
        n_prefix = path.rfind("/") + 1
        while n_prefix > 0:
            route = routes.get(path[:n_prefix])
            if route is not None:
                return route
            n_prefix = path.rfind("/", 0, n_prefix - 1) + 1
        return None
