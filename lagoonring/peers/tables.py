"""A table of origins, and its comparison with a peer's copy step by step."""

from __future__ import annotations

import contextlib
import struct
from typing import TYPE_CHECKING

import attrs
import xxhash

from lagoonring.peers.messages import ORIGIN_ID_BYTES, RowUpdate, TableSync
from lagoonring.peers.origins import Origin, row_bytes, split_updates

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from lagoonring.kernel import Clock
    from lagoonring.peers.messages import MemberRecord, OriginUpdate

    RowListener = Callable[[str, RowUpdate], None]
    OriginListener = Callable[[Origin], None]

N_BUCKETS = 64
ALL_BUCKETS = (1 << N_BUCKETS) - 1
N_ORIGINS_MOST = 2048
N_BURIED_MOST = 4096

tick_pair = struct.Struct(f">{ORIGIN_ID_BYTES}sI")
hash_word = struct.Struct(">I")


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
    on_origin : callable
        Called with each origin whose tick rose, new ones included.
    """

    def __init__(
        self,
        me: MemberRecord,
        clock: Clock,
        limits: TableLimits,
        *,
        on_row: RowListener,
        on_origin: OriginListener | None = None,
    ) -> None:
        self.me = me
        self.own: Origin | None = None
        self.clock = clock
        self.limits = limits
        self.on_row = on_row
        self.on_origin = on_origin
        self.origins: dict[str, Origin] = {}
        self.names: dict[bytes, str] = {}
        self.buried: dict[str, Buried] = {}
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
        with self._counted(self.own):
            self.own.put(row)
        self.beat()
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

    def merge(self, updates: Iterable[OriginUpdate], ticks: bytes = b"") -> None:
        """Merge a peer's updates and bare ticks."""
        for update in updates:
            self._merge_origin(update)
        for origin_id, tick in _pairs(ticks):
            origin = self.find(origin_id)
            if origin is None or origin is self.own:
                continue
            if tick > origin.tick:
                origin.tick = tick
                self._advanced(origin)

    def put(self, record: MemberRecord, row: RowUpdate) -> bool:
        """Keep one row ahead of its origin's tick; return whether it was new."""
        origin = self.admit(record, tick=row.version)
        if origin is None or not self._fitting(origin, [row]):
            return False
        with self._counted(origin):
            is_new = origin.put(row)
        if is_new:
            self.on_row(record.instance, row)
        return is_new

    def start_local(self) -> TableSync:
        """Return the first step of a comparison by digest."""
        return TableSync(buckets=ALL_BUCKETS, digest=self.digest(ALL_BUCKETS))

    def start_hashed(self) -> TableSync:
        """Return the first step of a comparison by hashes of buckets."""
        return TableSync(hashes=self.hashes())

    def reply(self, sync: TableSync) -> TableSync:
        """Merge one step of a comparison and return the next one."""
        self.merge(sync.updates, sync.ticks)
        buckets = self._differing(sync.hashes)
        wanted = list(_pairs(sync.wants))
        wants: list[bytes] = []
        if sync.buckets:
            lacking, wants = self._compare(sync.buckets, sync.digest)
            wanted += lacking
        ticks, updates = self._changes(wanted)
        return TableSync(
            buckets=buckets,
            digest=self.digest(buckets),
            wants=b"".join(wants),
            ticks=b"".join(ticks),
            updates=updates,
        )

    def digest(self, buckets: int) -> bytes:
        """Return the packed ticks of the origins in some buckets."""
        if not buckets:
            return b""
        return b"".join(
            tick_pair.pack(origin.origin_id, origin.tick)
            for origin in self.origins.values()
            if buckets >> _bucket(origin.origin_id) & 1
        )

    def hashes(self) -> bytes:
        """Return a hash of each bucket's origins and ticks."""
        words = [0] * N_BUCKETS
        for origin in self.origins.values():
            pair = tick_pair.pack(origin.origin_id, origin.tick)
            words[_bucket(origin.origin_id)] ^= xxhash.xxh32_intdigest(pair)
        return b"".join(hash_word.pack(word) for word in words)

    def _merge_origin(self, update: OriginUpdate) -> None:
        origin = self.find(update.origin_id)
        if origin is not None and origin is self.own:
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
            self._advanced(origin)

    @contextlib.contextmanager
    def _counted(self, origin: Origin) -> Iterator[None]:
        """Keep the totals in step with changes of an origin's rows."""
        n_bytes = origin.n_bytes
        n_rows = len(origin.rows)
        yield
        self.n_bytes += origin.n_bytes - n_bytes
        self.n_rows += len(origin.rows) - n_rows

    def _advanced(self, origin: Origin) -> None:
        origin.advanced_s = self.clock.monotonic()
        if self.on_origin is not None:
            self.on_origin(origin)

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

    def _differing(self, hashes: bytes) -> int:
        own = self.hashes() if hashes else b""
        if len(own) != len(hashes):
            return ALL_BUCKETS
        buckets = 0
        for bucket in range(len(own) // hash_word.size):
            start = bucket * hash_word.size
            end = start + hash_word.size
            if own[start:end] != hashes[start:end]:
                buckets |= 1 << bucket
        return buckets

    def _compare(
        self, buckets: int, digest: bytes
    ) -> tuple[list[tuple[bytes, int]], list[bytes]]:
        """Return what the peer lacks, and packed what this instance wants."""
        theirs = dict(_pairs(digest))
        lacking = []
        for origin in self.origins.values():
            if not buckets >> _bucket(origin.origin_id) & 1:
                continue
            tick = theirs.get(origin.origin_id, -1)
            if tick < origin.tick:
                lacking.append((origin.origin_id, tick))
        wants: list[bytes] = []
        for origin_id, tick in theirs.items():
            known = self.find(origin_id)
            if known is self.own and known is not None:
                continue
            if known is None or known.tick < tick:
                own_tick = 0 if known is None else known.tick
                wants.append(tick_pair.pack(origin_id, own_tick))
        return lacking, wants

    def _changes(
        self, wanted: Iterable[tuple[bytes, int]]
    ) -> tuple[list[bytes], list[OriginUpdate]]:
        ticks = []
        changed = []
        for origin_id, tick in wanted:
            origin = self.find(origin_id)
            if origin is None:
                continue
            update = origin.changes_since(max(tick, 0), with_record=tick <= 0)
            if update.record is None and not update.rows and not update.is_full:
                ticks.append(tick_pair.pack(origin_id, origin.tick))
            else:
                changed.append(update)
        return ticks, list(split_updates(changed, self.limits.n_frame_bytes))


def _bucket(origin_id: bytes) -> int:
    return origin_id[0] % N_BUCKETS


def _pairs(packed: bytes) -> Iterator[tuple[bytes, int]]:
    whole = len(packed) - len(packed) % tick_pair.size
    return tick_pair.iter_unpack(packed[:whole])  # type: ignore[return-value]
