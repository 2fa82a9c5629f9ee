"""Brings endpoints to hold or to give up a version, whoever gave orders before.

An endpoint that checks fencing numbers refuses what an earlier holder sends.
For one that does not, the state is read back and the order given again until
several reads in a row agree, and it is read again from time to time after that.
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
    """What moves need of endpoints; tests pass a double."""

    async def order(self, url: str, wanted: EngineOrder) -> None:
        """Give an order."""

    async def read_state(self, url: str) -> EngineState:
        """Return what orders have made of the endpoint."""


class EngineControl:
    """Model engines over HTTP.

    Parameters
    ----------
    find_session : callable
        Returns the client session, owned by the caller.
    """

    def __init__(self, find_session: Any) -> None:
        self.find_session = find_session

    async def order(self, url: str, wanted: EngineOrder) -> None:
        """Give an order."""
        await engine_control.order(self.find_session(), url, wanted)

    async def read_state(self, url: str) -> EngineState:
        """Return what orders have made of the endpoint."""
        return await engine_control.read_state(self.find_session(), url)


@attrs.define(kw_only=True)
class Check:
    """What is known of one version at one endpoint.

    ``n_agreeing`` reads in a row found what is wanted; ``failing_since_s`` is
    the monotonic time since which the endpoint does not answer, or None.
    """

    is_wanted: bool
    n_agreeing: int = 0
    read_s: float = -math.inf
    ordered_s: float = -math.inf
    is_loading: bool = False
    failing_since_s: float | None = None


@attrs.frozen(kw_only=True)
class Progress:
    """Endpoints that are as wanted, that are not yet, and that don't answer."""

    done: frozenset[str]
    waiting: frozenset[str]
    failing: frozenset[str]

    @property
    def is_complete(self) -> bool:
        """Whether every endpoint that answers is as wanted."""
        return not self.waiting


class VersionOrders:
    """Gives orders under one epoch of a lease.

    Parameters
    ----------
    lease : Lease
        Checked right before each order.
    control : EndpointControl
        Talks to the endpoints.
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
        self.checks: dict[tuple[str, str], Check] = {}

    async def bring(
        self,
        endpoints: dict[str, Endpoint],
        version: str,
        *,
        is_wanted: bool,
        checks_fencing: bool,
    ) -> Progress:
        """Take one step towards all endpoints holding a version, or none.

        Parameters
        ----------
        endpoints : dict
            By name.
        version : str
            The version to load or to unload.
        is_wanted : bool
            Whether to load it.
        checks_fencing : bool
            Whether the endpoints refuse old fencing numbers; one read is then
            enough.
        """
        n_reads = 1 if checks_fencing else self.options.n_stable_reads
        due = [name for name in endpoints if self._is_due(name, version, is_wanted)]
        await asyncio.gather(
            *(self._step(name, endpoints[name], version) for name in due)
        )
        done, failing = set(), set()
        for name in endpoints:
            check = self.checks[name, version]
            if check.failing_since_s is not None:
                failing.add(name)
            elif check.n_agreeing >= n_reads:
                done.add(name)
        waiting = endpoints.keys() - done - failing
        return Progress(
            done=frozenset(done),
            waiting=frozenset(waiting),
            failing=frozenset(failing),
        )

    def forget(self, names: set[str]) -> None:
        """Drop what is known of endpoints other than the named ones."""
        for key in [key for key in self.checks if key[0] not in names]:
            del self.checks[key]

    def _is_due(self, name: str, version: str, is_wanted: bool) -> bool:
        check = self.checks.get((name, version))
        if check is None or check.is_wanted != is_wanted:
            check = Check(is_wanted=is_wanted)
            self.checks[name, version] = check
        if check.n_agreeing == 0 and check.failing_since_s is None:
            return True
        return self._is_old(check)

    def _is_old(self, check: Check) -> bool:
        return self.clock.monotonic() - check.read_s >= self.options.check_s

    async def _step(self, name: str, endpoint: Endpoint, version: str) -> None:
        check = self.checks[name, version]
        check.read_s = self.clock.monotonic()
        try:
            state = await self.control.read_state(endpoint.url)
            check.failing_since_s = None
            check.is_loading = version in state.loading
            if _agrees(state, version, check.is_wanted):
                check.n_agreeing += 1
                return
            check.n_agreeing = 0
            await self._order(name, endpoint, version, check)
        except FencedError:
            raise
        except EndpointError as error:
            if check.failing_since_s is None:
                check.failing_since_s = self.clock.monotonic()
                logger.warning("Endpoint {} does not answer: {}", name, error)
            check.n_agreeing = 0
            check.is_loading = False

    async def _order(
        self, name: str, endpoint: Endpoint, version: str, check: Check
    ) -> None:
        now_s = self.clock.monotonic()
        is_recent = now_s - check.ordered_s < self.options.order_s
        is_coming = check.is_wanted and check.is_loading
        if is_coming or is_recent or not self.lease.is_held():
            return
        if check.is_wanted and self._n_loading() >= self.options.n_loads:
            return
        check.ordered_s = now_s
        kind = LOAD if check.is_wanted else UNLOAD
        fencing = self.lease.fencing_number
        logger.info("Orders {} of {} at {}.", kind, version, name)
        wanted = EngineOrder(kind=kind, name=version, fencing=fencing)
        await self.control.order(endpoint.url, wanted)

    def _n_loading(self) -> int:
        now_s = self.clock.monotonic()
        return sum(
            check.is_wanted
            and check.n_agreeing == 0
            and (check.is_loading or now_s - check.ordered_s < self.options.order_s)
            for check in self.checks.values()
        )


def _agrees(state: EngineState, version: str, is_wanted: bool) -> bool:
    if is_wanted:
        return version in state.versions
    return version not in state.versions and version not in state.loading


def choose_hosts(endpoints: dict[str, Endpoint], share: float) -> list[str]:
    """Return the endpoints that hold the new version at a share.

    At least one in each data centre, so that the new version is no further
    from callers than the old one; the same ones first for every share.
    """
    by_data_centre: dict[str, list[str]] = {}
    for name in sorted(endpoints):
        by_data_centre.setdefault(endpoints[name].data_centre, []).append(name)
    hosts = []
    for names in by_data_centre.values():
        n_hosts = max(1, math.ceil(share * len(names)))
        hosts += names[:n_hosts]
    return hosts
