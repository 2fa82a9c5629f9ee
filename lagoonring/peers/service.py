"""The ``peers`` service: membership, replicated rows and calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.kernel import Application, BaseService
from lagoonring.logs.logger import make_logger
from lagoonring.peers.calls import Calls
from lagoonring.peers.channel import Channel
from lagoonring.peers.contacts import RemoteMembers
from lagoonring.peers.errors import unreachable_error
from lagoonring.peers.gossip import Gossip
from lagoonring.peers.kinds import KINDS_BY_NAME, find_kind
from lagoonring.peers.members import LocalMembers, make_member
from lagoonring.peers.messages import Member, MemberRecord, MemberState, RowUpdate
from lagoonring.peers.metrics import PeersMetrics
from lagoonring.peers.row_publisher import RowPublisher
from lagoonring.peers.subscriptions import UNDECODABLE, Subscription, Subscriptions
from lagoonring.peers.tables import Table, TableLimits
from lagoonring.peers.transport import FrameTransport, Transport

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from lagoonring.peers.calls import CallHandler
    from lagoonring.peers.channel import Allow
    from lagoonring.peers.options import PeersOptions, SeedMember
    from lagoonring.peers.origins import Origin
    from lagoonring.peers.subscriptions import RowCallback

    ListSeeds = Callable[[], Awaitable[list[SeedMember]]]

MEMBER_LEAVING = KINDS_BY_NAME["member_leaving"]
FRAME_ROWS_DIVISOR = 4
N_FLUSHES_PER_GAUGE_UPDATE = 10

logger = make_logger("peers")


class PeersService(BaseService):
    """Membership, gossip and calls between entry instances.

    Parameters
    ----------
    app : Application
        Provides the clock, the random source and task supervision.
    options : PeersOptions
        Validated options.
    instance, data_centre, region, http_address : str or None
        Name and location of this instance, and its IP:port for callers; taken
        from ``app.settings`` where None.
    list_seeds : callable or None
        Async function that returns the platform's list of entry instances. If it
        raises, the previous list stays in use.
    allow : callable or None
        ``allow(sender, receiver)`` returns False for partitioned pairs, whose
        frames are dropped. For tests.
    transport : Transport or None
        Transports frames; over TCP by default.
    """

    name = "peers"

    def __init__(
        self,
        app: Application,
        options: PeersOptions,
        *,
        instance: str | None = None,
        data_centre: str | None = None,
        region: str | None = None,
        http_address: str | None = None,
        list_seeds: ListSeeds | None = None,
        allow: Allow | None = None,
        transport: Transport | None = None,
    ) -> None:
        self.app = app
        self.options = options
        self.list_seeds = list_seeds
        metrics_service = app.services.get("metrics")
        registry = metrics_service.registry if metrics_service else None
        self.metrics = PeersMetrics(registry)
        self.transport = transport or FrameTransport(app.clock, options, self.metrics)
        settings = app.settings
        if http_address is None:
            http_address = f"{settings.host}:{settings.port}" if settings else ""
        record = MemberRecord(
            instance or settings.instance,
            data_centre or settings.data_centre,
            region if region is not None else getattr(settings, "region", ""),
            options.address,
            http_address,
            int(app.clock.time() * 1000),
        )
        self.channel = Channel(
            record, self.transport, app.clock, options, self.metrics, allow=allow
        )
        self.subscriptions = Subscriptions(self.channel.drops)
        limits = TableLimits(
            n_bytes=options.table_limit_bytes,
            n_rows=options.table_limit_rows,
            n_frame_bytes=options.frame_limit_bytes // FRAME_ROWS_DIVISOR,
        )
        self.local = Table(record, app.clock, limits, on_row=self._handle_row_change)
        self.fleet = Table(record, app.clock, limits, on_row=self._handle_row_change)
        self.local_members = LocalMembers(self.local, self.fleet, app.clock, options)
        self.remote_members = RemoteMembers(
            record.instance, record.data_centre, app.clock, options
        )
        self.calls = Calls(self.channel, n_most=options.n_calls_most)
        self.gossip = Gossip(
            self.channel,
            self.local,
            self.fleet,
            self.local_members,
            self.remote_members,
            clock=app.clock,
            rng=app.rng,
            options=options,
            begin_incarnation=self._begin_incarnation,
        )
        self.row_publisher = RowPublisher(
            self.local, self.fleet, app.clock, options, self.gossip.push
        )
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def me(self) -> Member:
        """This instance as a member."""
        is_leaving = self.local_members.is_leaving(self.channel.me.instance)
        state = MemberState.LEAVING if is_leaving else MemberState.ALIVE
        return make_member(self.channel.me, state)

    def members(self) -> list[Member]:
        """Return the other members of this data centre and all remote contacts."""
        return self.local_members.list_members() + self.remote_members.list_members()

    def publish(
        self, kind: str, name: str, value: Any, *, urgent: bool = False
    ) -> None:
        """Set the value of a row of this instance; None removes it.

        Rows of coalesced kinds are written at most every ``coalesce_s``, with the
        newest value.

        Raises
        ------
        UnknownKindError
            If there is no such kind.
        RowTooLargeError
            If the row, or all rows of this instance, exceed the size limit.
        """
        self.row_publisher.publish(kind, name, value, urgent=urgent)

    def rows(self, kind: str, value_type: Any) -> dict[tuple[str, str], Any]:
        """Return the rows of a kind, including those of this instance.

        Returns
        -------
        dict
            Values by (origin instance, name). Values that are not of
            ``value_type`` are omitted.
        """
        found = {}
        for origin, name, value in self._iter_rows(kind):
            content = self.subscriptions.decode(value, value_type)
            if content is not UNDECODABLE:
                found[origin, name] = content
        return found

    def subscribe(self, kind: str, value_type: Any, callback: RowCallback) -> None:
        """Call ``callback(origin, name, value or None)`` for rows of other instances.

        It is called at once for existing rows, and then for every change.
        """
        subscription = Subscription(find_kind(kind).code, value_type, callback)
        self.subscriptions.add(subscription)
        for origin, name, value in self._iter_rows(kind):
            if origin != self.channel.me.instance:
                self.subscriptions.notify_one(subscription, origin, name, value)

    async def call(
        self, instance: str, method: str, payload: bytes, *, timeout_s: float
    ) -> bytes:
        """Run a method on another instance and return its answer.

        Raises
        ------
        PeerUnreachableError
            If the method was provably not run.
        PeerAnswerLostError
            If it may have been run.
        PeerCallError
            If the method raised an error there.
        MessageTooLargeError
            If the payload does not fit into a frame.
        """
        if instance == self.channel.me.instance:
            return await self.calls.run_locally(instance, method, payload)
        record = self.gossip.find(instance)
        if record is None:
            raise unreachable_error(instance, "no address")
        return await self.calls.call(record, method, payload, timeout_s=timeout_s)

    def serve(self, method: str, handler: CallHandler) -> None:
        """Register ``async handler(sender, payload) -> bytes`` for calls by peers."""
        self.calls.handlers[method] = handler

    async def start(self) -> None:
        """Start listening and gossiping."""
        await self.transport.start(self.channel.receive)
        record = attrs.evolve(self.channel.me, address=self.transport.address)
        self._set_own_record(record)
        self.gossip.update_seeds(self.options.seeds)
        self.tasks = [
            self.app.spawn("peers rounds", self.gossip.run),
            self.app.spawn("peers pushes", self.gossip.run_pushes),
            self.app.spawn("peers upkeep", self._run_upkeep),
        ]
        if self.list_seeds is not None:
            self.tasks.append(self.app.spawn("peers seeds", self._poll_seeds))
        logger.info("Listening for peers on {}.", record.address)

    async def retire(self) -> None:
        """Announce to peers that this instance is leaving, before its requests end."""
        self.publish(MEMBER_LEAVING.name, self.channel.me.instance, True)

    async def stop(self) -> None:
        """Stop all tasks and close the sockets."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.calls.stop()
        await self.transport.stop()

    async def _run_upkeep(self) -> None:
        while True:
            for _ in range(N_FLUSHES_PER_GAUGE_UPDATE):
                await self.app.clock.sleep(self.options.round_s)
                self.row_publisher.flush()
            self._set_gauges()

    async def _poll_seeds(self) -> None:
        assert self.list_seeds is not None
        while True:
            try:
                seeds = await self.list_seeds()
            except Exception as error:
                logger.warning("Reading the instance list failed: {!r}.", error)
            else:
                self._update_seeds(seeds)
            await self.app.clock.sleep(self.options.seeds_interval_s)

    def _update_seeds(self, seeds: list[SeedMember]) -> None:
        if seeds:
            self.local_members.update_list({seed.instance for seed in seeds})
        self.gossip.update_seeds([*self.options.seeds, *seeds])

    def _begin_incarnation(self, min_incarnation: int) -> None:
        me = self.channel.me
        now = int(self.app.clock.time() * 1000)
        incarnation = max(now, me.incarnation + 1, min_incarnation)
        self._set_own_record(attrs.evolve(me, incarnation=incarnation))

    def _set_own_record(self, record: MemberRecord) -> None:
        self.channel.me = record
        self.local.set_own(record)
        if self.fleet.own is None:
            self.fleet.me = record
        else:
            self.fleet.set_own(record)

    def _iter_rows(self, kind: str) -> Iterator[tuple[str, str, bytes]]:
        row_kind = find_kind(kind)
        for instance, origin in self.row_publisher.table_of(row_kind).origins.items():
            for name, value in _values(origin, row_kind.code):
                yield instance, name, value

    def _handle_row_change(self, instance: str, row: RowUpdate) -> None:
        if row.kind == MEMBER_LEAVING.code:
            self.remote_members.mark_leaving(instance, row.value is not None)
        self.subscriptions.notify(row.kind, instance, row.name, row.value)

    def _set_gauges(self) -> None:
        counts = dict.fromkeys(MemberState, 0)
        for member in self.members():
            counts[member.state] += 1
        for state, n_members in counts.items():
            self.metrics.members.labels(state.value).set(n_members)
        for name, table in (("local", self.local), ("fleet", self.fleet)):
            self.metrics.rows.labels(name).set(table.n_rows)
            self.metrics.rows_refused.labels(name).set(table.n_refused)


def _values(origin: Origin, kind: int) -> list[tuple[str, bytes]]:
    return [
        (name, row.value)
        for (row_kind, name), row in origin.rows.items()
        if row_kind == kind and row.value is not None
    ]
