"""Replicated table of the rows of many origins, with size limits."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs

from lagoonring.peers.digests import TICK_LIMIT
from lagoonring.peers.messages import RowUpdate
from lagoonring.peers.origins import Origin, row_bytes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from lagoonring.kernel import Clock
    from lagoonring.peers.digests import Pair
    from lagoonring.peers.messages import MemberRecord, OriginUpdate

    RowListener = Callable[[str, RowUpdate], None]

MAX_ORIGINS = 2048
MAX_TOMBSTONES = 4096


@attrs.define
class Tombstone:
    """Last known incarnation and tick of a removed origin."""

    incarnation: int
    tick: int


@attrs.frozen(kw_only=True)
class TableLimits:
    """Limits of a table, and of the rows in one frame."""

    n_bytes: int
    n_rows: int
    n_frame_bytes: int


class Table:
    """Copies of the rows of many origins, including this instance.

    Parameters
    ----------
    me : MemberRecord
        Current incarnation of this instance. It is added to the table with its first
        row, or when a peer sends an earlier incarnation, which it replaces.
    clock : Clock
        Source of the times at which ticks advance.
    limits : TableLimits
        Rows above the limits are refused and counted in ``n_refused``.
    on_row : callable
        Called with the instance and the row for each change of other origins.
    """

    def __init__(
        self,
        me: MemberRecord,
        clock: Clock,
        limits: TableLimits,
        *,
        on_row: RowListener,
    ) -> None:
        self.me = me
        self.own: Origin | None = None
        self.clock = clock
        self.limits = limits
        self.on_row = on_row
        self.origins: dict[str, Origin] = {}
        self.instances_by_id: dict[bytes, str] = {}
        self.tombstones: dict[str, Tombstone] = {}
        self.sorted_ids: list[bytes] | None = None
        self.n_refused = 0
        self.n_bytes = 0
        self.n_rows = 0

    def find(self, origin_id: bytes) -> Origin | None:
        """Return the origin with an identifier, or None if it is unknown."""
        instance = self.instances_by_id.get(origin_id)
        return None if instance is None else self.origins[instance]

    def admit(self, record: MemberRecord, *, tick: int = 0) -> Origin | None:
        """Return the origin of a record, adding it if it is new.

        Returns None if a newer incarnation is known, if a tombstone has the same
        incarnation with a tick of at least ``tick``, or if the table is full.
        """
        if record.instance == self.me.instance:
            if self.own is None:
                self.set_own(self.me)
            return None
        known = self.origins.get(record.instance)
        if known is not None and known.record.incarnation == record.incarnation:
            return known
        if known is not None and known.record.incarnation > record.incarnation:
            return None
        tombstone = self.tombstones.get(record.instance)
        if tombstone is not None:
            if tombstone.incarnation > record.incarnation:
                return None
            if tombstone.incarnation == record.incarnation and tombstone.tick >= tick:
                return None
        if known is None and len(self.origins) >= MAX_ORIGINS:
            self.n_refused += 1
            return None
        if known is not None:
            self.remove(record.instance)
        origin = Origin(record, record.origin_id, advanced_s=self.clock.monotonic())
        self.origins[record.instance] = origin
        self.instances_by_id[origin.origin_id] = record.instance
        self.sorted_ids = None
        self.tombstones.pop(record.instance, None)
        return origin

    def set_own(self, record: MemberRecord) -> Origin:
        """Start an incarnation of this instance, with the rows of the previous one."""
        previous = self.own
        self.me = record
        if previous is not None:
            self.remove(record.instance)
        own = Origin(record, record.origin_id, tick=1)
        own.advanced_s = self.clock.monotonic()
        self.origins[record.instance] = own
        self.instances_by_id[own.origin_id] = record.instance
        self.sorted_ids = None
        self.own = own
        if previous is not None:
            for (kind, name), row in previous.rows.items():
                if row.value is not None:
                    self.put_own(kind, name, row.value)
        return own

    def put_own(self, kind: int, name: str, value: bytes | None) -> RowUpdate:
        """Set a row of this instance and return it."""
        if self.own is None:
            self.set_own(self.me)
        assert self.own is not None
        row = RowUpdate(kind, name, self.own.tick + 1, value)
        self.advance_tick()
        with self._update_totals(self.own):
            self.own.put(row)
            self.own.prune_removed()
        return row

    def advance_tick(self) -> None:
        """Advance this instance's tick, which serves as its heartbeat."""
        assert self.own is not None
        self.own.tick += 1
        self.own.advanced_s = self.clock.monotonic()

    def remove(self, instance: str, *, add_tombstone: bool = False) -> None:
        """Remove an origin and its rows.

        ``add_tombstone`` prevents outdated copies from adding it again.
        """
        origin = self.origins.pop(instance, None)
        if origin is None:
            return
        del self.instances_by_id[origin.origin_id]
        self.sorted_ids = None
        self.n_bytes -= origin.n_bytes
        self.n_rows -= len(origin.rows)
        if add_tombstone:
            if len(self.tombstones) >= MAX_TOMBSTONES:
                del self.tombstones[next(iter(self.tombstones))]
            self.tombstones[instance] = Tombstone(
                origin.record.incarnation, origin.tick
            )
        if origin is self.own:
            return
        for (kind, name), row in origin.rows.items():
            if row.value is not None:
                self.on_row(instance, RowUpdate(kind, name, row.version, None))

    def sorted_origin_ids(self) -> list[bytes]:
        """Return the identifiers of all origins in sorted order."""
        if self.sorted_ids is None:
            self.sorted_ids = sorted(self.instances_by_id)
        return self.sorted_ids

    def merge(
        self, updates: Iterable[OriginUpdate], ticks: Iterable[Pair] = ()
    ) -> None:
        """Merge updates and ticks received from a peer.

        A tick without an update means that the origin's rows have not changed since
        the tick of this copy, so it is ignored for a copy without any tick yet.
        """
        for update in updates:
            self._merge_origin(update)
        for origin_id, tick in ticks:
            origin = self.find(origin_id)
            if origin is None or origin is self.own or origin.tick == 0:
                continue
            if tick > origin.tick:
                origin.tick = tick
                origin.advanced_s = self.clock.monotonic()

    def put(self, record: MemberRecord, row: RowUpdate) -> bool:
        """Store a row ahead of its origin's tick; return whether it was new."""
        if not 0 < row.version < TICK_LIMIT:
            return False
        origin = self.admit(record, tick=row.version)
        if origin is None or not self._select_fitting(origin, [row]):
            return False
        with self._update_totals(origin):
            is_new = origin.put(row)
        if is_new:
            self.on_row(record.instance, row)
        return is_new

    def known_tick(self, origin_id: bytes) -> int:
        """Return the tick of the copy of an origin, or 0 if it is unknown."""
        origin = self.find(origin_id)
        return 0 if origin is None else origin.tick

    def _merge_origin(self, update: OriginUpdate) -> None:
        origin = self.find(update.origin_id)
        if origin is not None and origin is self.own:
            return
        if not 0 <= update.from_tick <= update.to_tick < TICK_LIMIT:
            return
        if origin is None and update.record is not None:
            if update.record.origin_id != update.origin_id:
                return
            origin = self.admit(update.record, tick=update.to_tick)
        if origin is None:
            return
        tick = origin.tick
        rows = self._select_fitting(origin, update.rows)
        if len(rows) < len(update.rows):
            update = attrs.evolve(update, rows=rows)
        with self._update_totals(origin):
            changed = origin.merge(update)
        for row in changed:
            self.on_row(origin.record.instance, row)
        if origin.tick > tick:
            origin.advanced_s = self.clock.monotonic()

    @contextlib.contextmanager
    def _update_totals(self, origin: Origin) -> Iterator[None]:
        """Add the changes of an origin's rows in the context to the totals."""
        n_bytes = origin.n_bytes
        n_rows = len(origin.rows)
        yield
        self.n_bytes += origin.n_bytes - n_bytes
        self.n_rows += len(origin.rows) - n_rows

    def _select_fitting(self, origin: Origin, rows: list[RowUpdate]) -> list[RowUpdate]:
        """Return the rows within the limits; count the others as refused."""
        n_rows = self.n_rows
        n_bytes = self.n_bytes
        fitting = []
        for row in rows:
            if (row.kind, row.name) not in origin.rows:
                size = row_bytes(row)
                if n_rows >= self.limits.n_rows or n_bytes + size > self.limits.n_bytes:
                    self.n_refused += 1
                    continue
                n_rows += 1
                n_bytes += size
            fitting.append(row)
        return fitting
