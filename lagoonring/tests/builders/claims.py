"""In-memory peers, and fleets of claims services over one log, for tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.catalogue import CatalogueContent
from lagoonring.claims import ClaimsOptions, ClaimsService
from lagoonring.errors import AnswerLostError, UnavailableError
from lagoonring.kernel import Application
from lagoonring.leases import LeaseOptions, rank
from lagoonring.peers import MemberState
from lagoonring.tests.builders.logs import InstanceLog, make_application

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine

    from lagoonring.standins.log_standin import LogStandin


@attrs.define
class MemberDouble:
    """An instance as listed by ``peers.members()``."""

    instance: str
    data_centre: str = "plateau"
    region: str = "dakar"
    address: str = ""
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE


class PeerNetwork:
    """Carries rows and calls between :class:`PeersDouble` objects.

    With ``rng`` given, a message is lost with probability ``lost_share`` and
    delayed by up to ``delay_s``. Instances in ``cut_off`` are disconnected from
    all others; messages to an instance in ``gates`` wait for its event.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng
        self.peers: dict[str, PeersDouble] = {}
        self.cut_off: set[str] = set()
        self.gates: dict[str, asyncio.Event] = {}
        self.lost_share = 0.0
        self.delay_s = 0.0

    def join(self, instance: str, data_centre: str = "plateau") -> PeersDouble:
        """Add an instance and return its ``peers`` service."""
        double = PeersDouble(self, MemberDouble(instance, data_centre))
        self.peers[instance] = double
        return double

    def leave(self, instance: str) -> None:
        """Remove an instance, as if it had crashed."""
        self.peers.pop(instance, None)
        self.cut_off.discard(instance)

    def reaches(self, sender: str, receiver: str) -> bool:
        """Return whether a message from ``sender`` gets to ``receiver``."""
        if sender == receiver:
            return True
        both = {sender, receiver}
        return both <= self.peers.keys() and not both & self.cut_off

    async def inject_faults(self, receiver: str) -> None:
        """Delay or lose one message."""
        gate = self.gates.get(receiver)
        if gate is not None:
            await gate.wait()
        if self.rng is None:
            return
        if self.delay_s:
            await asyncio.sleep(self.rng.uniform(0, self.delay_s))
        if self.rng.random() < self.lost_share:
            await asyncio.get_running_loop().create_future()


class PeersDouble:
    """The interface of the service ``peers`` in memory."""

    name = "peers"

    def __init__(self, network: PeerNetwork, me: MemberDouble) -> None:
        self.network = network
        self.me = me
        self.handlers: dict[str, Any] = {}
        self.subscribers: list[tuple[str, Any]] = []
        self.own: dict[tuple[str, str], Any] = {}

    async def start(self) -> None:
        """Deliver the rows of the other instances to this one's subscribers."""
        for peer in list(self.network.peers.values()):
            for (kind, name), value in peer.own.items():
                self._deliver(peer.me.instance, kind, name, value)

    async def retire(self) -> None:
        """Do nothing."""

    async def drain(self, grace_s: float) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def members(self) -> list[MemberDouble]:
        """Return reachable local members and one contact per other data centre."""
        me = self.me
        local, contacts = [], {}
        for instance in rank(me.instance, self.network.peers):
            other = self.network.peers[instance].me
            if instance == me.instance or not self.network.reaches(
                me.instance, instance
            ):
                continue
            if other.data_centre == me.data_centre:
                local.append(other)
            else:
                contacts.setdefault(other.data_centre, other)
        return [*local, *contacts.values()]

    def publish(
        self, kind: str, name: str, value: Any, *, urgent: bool = False
    ) -> None:
        """Set a row and deliver it to the reachable instances at once."""
        self.own[kind, name] = value
        me = self.me.instance
        for instance, peer in self.network.peers.items():
            if instance != me and self.network.reaches(me, instance):
                peer._deliver(me, kind, name, value)

    def rows(self, kind: str, cls: type) -> dict[tuple[str, str], Any]:
        """Return all rows of a kind."""
        return {
            (instance, name): value
            for instance, peer in self.network.peers.items()
            for (row_kind, name), value in peer.own.items()
            if row_kind == kind and value is not None
        }

    def subscribe(self, kind: str, cls: type, callback: Any) -> None:
        """Call ``callback`` with each row of a kind that another instance sets."""
        self.subscribers.append((kind, callback))

    def serve(self, method: str, handler: Any) -> None:
        """Serve a method."""
        self.handlers[method] = handler

    async def call(
        self, instance: str, method: str, payload: bytes, *, timeout_s: float
    ) -> bytes:
        """Call a method of another instance."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(instance, method, payload)
        except TimeoutError:
            raise AnswerLostError(f"Got no answer of {instance}.") from None

    async def _call(self, instance: str, method: str, payload: bytes) -> bytes:
        me = self.me.instance
        await self.network.inject_faults(instance)
        if not self.network.reaches(me, instance):
            raise UnavailableError(f"Got no connection to {instance}.")
        handler = self.network.peers[instance].handlers[method]
        # The handler runs to its end even if the caller times out.
        answer = await asyncio.shield(handler(me, payload))
        await self.network.inject_faults(me)
        if not self.network.reaches(instance, me):
            await asyncio.get_running_loop().create_future()
        return answer

    def _deliver(self, origin: str, kind: str, name: str, value: Any) -> None:
        for row_kind, callback in self.subscribers:
            if row_kind == kind:
                callback(origin, name, value)


FAST_OPTIONS = ClaimsOptions(
    n_slots=4,
    claim_timeout_s=6.0,
    call_timeout_s=1.0,
    retry_s=0.05,
    retry_after_s=0.5,
    settle_timeout_s=120.0,
    balance_s=0.25,
    handover_s=1.0,
    snapshot_every=60,
    lease=LeaseOptions(
        duration_s=2.0,
        margin_s=0.3,
        renew_interval_s=0.6,
        poll_s=0.3,
    ),
)


@attrs.define
class Instance:
    """One instance of a :class:`ClaimsFleet`."""

    name: str
    app: Application
    log: InstanceLog
    claims: ClaimsService
    work: dict[asyncio.Task[Any], str] = attrs.field(factory=dict)

    def in_background(
        self, key: str, run: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Run a coroutine for a key; it is cancelled if the instance is killed."""
        task = asyncio.ensure_future(run)
        self.work[task] = key
        task.add_done_callback(lambda done: self.work.pop(done, None))
        return task


class ClaimsFleet:
    """Instances with a claims service over one shared log, in one process."""

    def __init__(
        self,
        log: LogStandin,
        rng: random.Random,
        options: ClaimsOptions = FAST_OPTIONS,
        *,
        n_data_centres: int = 1,
    ) -> None:
        self.n_data_centres = n_data_centres
        self.log = log
        self.rng = rng
        self.options = options
        self.network = PeerNetwork(rng)
        self.instances: list[Instance] = []
        self.n_started = 0
        self.killed: set[str] = set()
        self.keys_cut: set[str] = set()

    async def add(self, *others: Any) -> Instance:
        """Start an instance with a new name."""
        name = f"i{self.n_started}"
        data_centre = f"dc-{self.n_started % self.n_data_centres}"
        self.n_started += 1
        log = InstanceLog(self.log)
        app = make_application(
            self.network.join(name, data_centre),
            *others,
            seed=self.rng.randrange(1 << 30),
            clock=self.log.clock,
        )
        claims = app.add(ClaimsService(app, self.options, log=log))
        await app.start()
        instance = Instance(name, app, log, claims)
        self.instances.append(instance)
        return instance

    async def kill(self, instance: Instance) -> None:
        """Kill an instance: disconnect it from log and peers and cancel its work."""
        self.instances.remove(instance)
        self.killed.add(instance.name)
        self.keys_cut.update(instance.work.values())
        instance.log.is_cut_off = True
        self.network.leave(instance.name)
        self.resume(instance)
        for task in list(instance.work):
            task.cancel()
        await instance.app.stop()

    def pause(self, instance: Instance) -> None:
        """Suspend an instance: hold most of its log calls and all calls to it."""
        log = instance.log
        for gate in (log.append_gate, log.answer_gate, log.read_gate):
            if self.rng.random() < 0.8:
                gate.clear()
        self.network.gates[instance.name] = asyncio.Event()

    def resume(self, instance: Instance) -> None:
        """Resume a paused instance."""
        log = instance.log
        for gate in (log.append_gate, log.answer_gate, log.read_gate):
            gate.set()
        gate = self.network.gates.pop(instance.name, None)
        if gate is not None:
            gate.set()

    async def stop(self) -> None:
        """Stop all instances."""
        for instance in list(self.instances):
            await self.kill(instance)


@attrs.define
class CatalogueDouble:
    """The service ``catalogue`` with fixed content."""

    content: CatalogueContent
    name: str = "catalogue"

    async def start(self) -> None:
        """Do nothing."""

    async def retire(self) -> None:
        """Do nothing."""

    async def drain(self, grace_s: float) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""
