"""A table of the rows of many origins, within limits."""

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

N_ORIGINS_MOST = 2048
N_BURIED_MOST = 4096


@attrs.define
class Buried:
    """The last tick known of an origin whose rows were dropped."""

    incarnation: int
    tick: int


@attrs.frozen(kw_only=True)
class TableLimits:
    """Bounds of a table and of the rows in one frame, in bytes and rows."""

    n_bytes: int
    n_rows: int
    n_frame_bytes: int


class Table:
    """Copies of many origins' rows, one of them this instance's own.

    Parameters
    ----------
    me : MemberRecord
        This instance's life. It enters the table with its first row, or when an
        earlier life of it is met, which it replaces.
    clock : Clock
        Dates the advance of origins.
    limits : TableLimits
        Rows beyond them are refused and counted in ``n_refused``.
    on_row : callable
        Called with the instance and each changed row of other origins.
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
        self.names: dict[bytes, str] = {}
        self.buried: dict[str, Buried] = {}
        self.sorted_ids: list[bytes] | None = None
        self.n_refused = 0
        self.n_bytes = 0
        self.n_rows = 0

    def find(self, origin_id: bytes) -> Origin | None:
        """Return the origin of that identifier, if it is known."""
        name = self.names.get(origin_id)
        return None if name is None else self.origins[name]

    def admit(self, record: MemberRecord, *, tick: int = 0) -> Origin | None:
        """Return the origin of a record, adding it if it is new.

        Returns None for an older life than the one known, for one that was
        buried with a tick not below ``tick``, and when the table is full.
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
        buried = self.buried.get(record.instance)
        if buried is not None:
            if buried.incarnation > record.incarnation:
                return None
            if buried.incarnation == record.incarnation and buried.tick >= tick:
                return None
        if known is None and len(self.origins) >= N_ORIGINS_MOST:
            self.n_refused += 1
            return None
        if known is not None:
            self.remove(record.instance)
        origin = Origin(record, record.origin_id, advanced_s=self.clock.monotonic())
        self.origins[record.instance] = origin
        self.names[origin.origin_id] = record.instance
        self.sorted_ids = None
        self.buried.pop(record.instance, None)
        return origin

    def set_own(self, record: MemberRecord) -> Origin:
        """Begin a life of this instance; rows of its last one move over."""
        last = self.own
        self.me = record
        if last is not None:
            self.remove(record.instance)
        own = Origin(record, record.origin_id, tick=1)
        own.advanced_s = self.clock.monotonic()
        self.origins[record.instance] = own
        self.names[own.origin_id] = record.instance
        self.sorted_ids = None
        self.own = own
        if last is not None:
            for (kind, name), row in last.rows.items():
                if row.value is not None:
                    self.put_own(kind, name, row.value)
        return own

    def put_own(self, kind: int, name: str, value: bytes | None) -> RowUpdate:
        """Change a row of this instance and return it."""
        if self.own is None:
            self.set_own(self.me)
        assert self.own is not None
        row = RowUpdate(kind, name, self.own.tick + 1, value)
        self.beat()
        with self._counted(self.own):
            self.own.put(row)
            self.own.forget_removed()
        return row

    def beat(self) -> None:
        """Raise this instance's tick, which shows that it lives."""
        assert self.own is not None
        self.own.tick += 1
        self.own.advanced_s = self.clock.monotonic()

    def remove(self, instance: str, *, bury: bool = False) -> None:
        """Drop an origin and its rows; ``bury`` keeps it from coming back old."""
        origin = self.origins.pop(instance, None)
        if origin is None:
            return
        del self.names[origin.origin_id]
        self.sorted_ids = None
        self.n_bytes -= origin.n_bytes
        self.n_rows -= len(origin.rows)
        if bury:
            if len(self.buried) >= N_BURIED_MOST:
                del self.buried[next(iter(self.buried))]
            self.buried[instance] = Buried(origin.record.incarnation, origin.tick)
        if origin is self.own:
            return
        for (kind, name), row in origin.rows.items():
            if row.value is not None:
                self.on_row(instance, RowUpdate(kind, name, row.version, None))

    def order(self) -> list[bytes]:
        """Return the sorted identifiers of all origins."""
        if self.sorted_ids is None:
            self.sorted_ids = sorted(self.names)
        return self.sorted_ids

    def merge(
        self, updates: Iterable[OriginUpdate], ticks: Iterable[Pair] = ()
    ) -> None:
        """Merge a peer's updates and bare ticks.

        A bare tick says that the origin's rows have not changed since the tick
        of this copy, so it means nothing for a copy that has none yet.
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
        """Keep one row ahead of its origin's tick; return whether it was new."""
        if not 0 < row.version < TICK_LIMIT:
            return False
        origin = self.admit(record, tick=row.version)
        if origin is None or not self._fitting(origin, [row]):
            return False
        with self._counted(origin):
            is_new = origin.put(row)
        if is_new:
            self.on_row(record.instance, row)
        return is_new

    def known_tick(self, origin_id: bytes) -> int:
        """Return the tick of an origin's copy, 0 if there is none."""
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
        rows = self._fitting(origin, update.rows)
        if len(rows) < len(update.rows):
            update = attrs.evolve(update, rows=rows)
        with self._counted(origin):
            changed = origin.merge(update)
        for row in changed:
            self.on_row(origin.record.instance, row)
        if origin.tick > tick:
            origin.advanced_s = self.clock.monotonic()

    @contextlib.contextmanager
    def _counted(self, origin: Origin) -> Iterator[None]:
        """Keep the totals in step with changes of an origin's rows."""
        n_bytes = origin.n_bytes
        n_rows = len(origin.rows)
        yield
        self.n_bytes += origin.n_bytes - n_bytes
        self.n_rows += len(origin.rows) - n_rows

    def _fitting(self, origin: Origin, rows: list[RowUpdate]) -> list[RowUpdate]:
        """Return the rows for which there is room; the rest is counted."""
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
