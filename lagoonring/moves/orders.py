"""Loads and unloads versions at endpoints, despite late orders of earlier holders.

An endpoint that checks fencing numbers refuses orders of an earlier holder. For one
that doesn't, the state is read back and the order repeated until several consecutive
reads match; after that the state is still checked periodically.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any, Protocol

import attrs

from lagoonring.endpoints import engine_control
from lagoonring.endpoints.errors import EndpointError, FencedError
from lagoonring.endpoints.messages import EngineOrder, EngineState
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from lagoonring.catalogue.entries import Endpoint
    from lagoonring.kernel import Clock
    from lagoonring.leases import Lease
    from lagoonring.moves.options import MovesOptions

LOAD = "load_version"
UNLOAD = "unload_version"

logger = make_logger("moves")


class EndpointControl(Protocol):
    """Interface for ordering versions at endpoints; tests pass a double."""

    async def order(self, url: str, wanted: EngineOrder) -> None:
        """Send an order."""

    async def read_state(self, url: str) -> EngineState:
        """Return the endpoint's loaded and loading versions."""


class EngineControl:
    """Controls model engines over HTTP.
    Parameters
    ----------
    find_session : callable
        Returns the client session, owned by the caller.
    """

    def __init__(self, find_session: Any) -> None:
        self.find_session = find_session

    async def order(self, url: str, wanted: EngineOrder) -> None:
        """Send an order."""
        await engine_control.send_order(self.find_session(), url, wanted)

    async def read_state(self, url: str) -> EngineState:
        """Return the engine's loaded and loading versions."""
        return await engine_control.read_state(self.find_session(), url)


@attrs.define(kw_only=True)
class VersionCheck:
    """Known state of one version at one endpoint.

    ``n_matching_reads`` counts consecutive reads that found the wanted state.
    ``failing_since_s`` is the monotonic time since which the endpoint has not
    answered, or None.
    """

    is_wanted: bool
    n_matching_reads: int = 0
    read_s: float = -math.inf
    ordered_s: float = -math.inf
    is_loading: bool = False
    failing_since_s: float | None = None


@attrs.frozen(kw_only=True)
class Progress:
    """Endpoints in the wanted state, not yet in it, and not answering."""

    done: frozenset[str]
    waiting: frozenset[str]
    failing: frozenset[str]

    @property
    def is_complete(self) -> bool:
        """Return whether every endpoint that answers is in the wanted state."""
        return not self.waiting


class VersionOrders:
    """Sends version orders to endpoints under one epoch of a lease.

    Parameters
    ----------
    lease : Lease
        Checked right before each order.
    control : EndpointControl
        Sends orders to endpoints and reads their state.
    clock : Clock
        Source of monotonic time.
    options : MovesOptions
        Times and limits.
    """

    def __init__(
        self,
        lease: Lease,
        control: EndpointControl,
        clock: Clock,
        options: MovesOptions,
    ) -> None:
        self.lease = lease
        self.control = control
        self.clock = clock
        self.options = options
        self.checks: dict[tuple[str, str], VersionCheck] = {}

    async def reconcile(
        self,
        endpoints: dict[str, Endpoint],
        version: str,
        *,
        is_wanted: bool,
        checks_fencing: bool,
    ) -> Progress:
        """Take one step towards loading or unloading a version at all endpoints.

        Parameters
        ----------
        endpoints : dict
            Endpoints by name.
        version : str
            The version to load or to unload.
        is_wanted : bool
            Whether to load the version.
        checks_fencing : bool
            Whether the endpoints refuse outdated fencing numbers; a single matching
            read is then enough.
        """
        n_reads = 1 if checks_fencing else self.options.n_stable_reads
        due = [name for name in endpoints if self._is_due(name, version, is_wanted)]
        await asyncio.gather(
            *(self._check_endpoint(name, endpoints[name], version) for name in due)
        )
        done, failing = set(), set()
        for name in endpoints:
            check = self.checks[name, version]
            if check.failing_since_s is not None:
                failing.add(name)
            elif check.n_matching_reads >= n_reads:
                done.add(name)
        waiting = endpoints.keys() - done - failing
        return Progress(
            done=frozenset(done),
            waiting=frozenset(waiting),
            failing=frozenset(failing),
        )

    def forget(self, names: set[str]) -> None:
        """Drop the known state of all endpoints other than the named ones."""
        for key in [key for key in self.checks if key[0] not in names]:
            del self.checks[key]

    def _is_due(self, name: str, version: str, is_wanted: bool) -> bool:
        check = self.checks.get((name, version))
        if check is None or check.is_wanted != is_wanted:
            check = VersionCheck(is_wanted=is_wanted)
            self.checks[name, version] = check
        if check.n_matching_reads == 0 and check.failing_since_s is None:
            return True
        return self._is_check_due(check)

    def _is_check_due(self, check: VersionCheck) -> bool:
        return self.clock.monotonic() - check.read_s >= self.options.check_s

    async def _check_endpoint(
        self, name: str, endpoint: Endpoint, version: str
    ) -> None:
        check = self.checks[name, version]
        check.read_s = self.clock.monotonic()
        try:
            state = await self.control.read_state(endpoint.url)
            check.failing_since_s = None
            check.is_loading = version in state.loading
            if _matches(state, version, check.is_wanted):
                check.n_matching_reads += 1
                return
            check.n_matching_reads = 0
            await self._order(name, endpoint, version, check)
        except FencedError:
            raise
        except EndpointError as error:
            if check.failing_since_s is None:
                check.failing_since_s = self.clock.monotonic()
                logger.warning("Endpoint {} does not answer: {}", name, error)
            check.n_matching_reads = 0
            check.is_loading = False

    async def _order(
        self, name: str, endpoint: Endpoint, version: str, check: VersionCheck
    ) -> None:
        now_s = self.clock.monotonic()
        is_recent = now_s - check.ordered_s < self.options.order_s
        is_in_progress = check.is_wanted and check.is_loading
        if is_in_progress or is_recent or not self.lease.is_held():
            return
        if check.is_wanted and self._count_loading() >= self.options.n_loads:
            return
        check.ordered_s = now_s
        kind = LOAD if check.is_wanted else UNLOAD
        fencing = self.lease.fencing_number
        logger.info("Sending {} {} to endpoint {}.", kind, version, name)
        wanted = EngineOrder(kind=kind, name=version, fencing=fencing)
        await self.control.order(endpoint.url, wanted)

    def _count_loading(self) -> int:
        now_s = self.clock.monotonic()
        return sum(
            check.is_wanted
            and check.n_matching_reads == 0
            and (check.is_loading or now_s - check.ordered_s < self.options.order_s)
            for check in self.checks.values()
        )


def _matches(state: EngineState, version: str, is_wanted: bool) -> bool:
    if is_wanted:
        return version in state.versions
    return version not in state.versions and version not in state.loading


def choose_hosts(endpoints: dict[str, Endpoint], share: float) -> list[str]:
    """Return the endpoints that host the new version at a share.

    Each data centre has at least one, so that the new version is no further from
    callers than the old one. A larger share adds endpoints and removes none.
    """
    by_data_centre: dict[str, list[str]] = {}
    for name in sorted(endpoints):
        by_data_centre.setdefault(endpoints[name].data_centre, []).append(name)
    hosts = []
    for names in by_data_centre.values():
        n_hosts = max(1, math.ceil(share * len(names)))
        hosts += names[:n_hosts]
    return hosts
