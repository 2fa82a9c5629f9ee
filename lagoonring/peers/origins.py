"""Rows of one origin, and the rule for merging two copies of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.peers.messages import MemberRecord, OriginUpdate, RowUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

ROW_OVERHEAD_BYTES = 160
MAX_REMOVED_ROWS = 64


@attrs.define
class Row:
    """A stored row; a value of None marks a removed row."""

    version: int
    value: bytes | None


@attrs.define
class Origin:
    """An instance's copy of the rows of an origin.

    Attributes
    ----------
    tick : int
        Logical clock of the origin up to which the copy has all changes.
    floor : int
        Removed rows up to this tick may have been pruned, so a copy with an older
        tick needs the full set of rows.
    advanced_s : float
        Monotonic time of this process at which ``tick`` last advanced.
    """

    record: MemberRecord
    origin_id: bytes
    tick: int = 0
    floor: int = 0
    advanced_s: float = 0.0
    n_bytes: int = 0
    n_removed: int = 0
    rows: dict[tuple[int, str], Row] = attrs.field(factory=dict)

    def put(self, update: RowUpdate) -> bool:
        """Store a row unless it is outdated; return whether it was stored."""
        key = (update.kind, update.name)
        old = self.rows.get(key)
        if old is not None and old.version >= update.version:
            return False
        if old is None and update.version <= self.floor:
            return False
        self.n_bytes += row_bytes(update)
        if old is not None:
            self.n_bytes -= row_bytes(RowUpdate(*key, old.version, old.value))
            self.n_removed -= old.value is None
        self.n_removed += update.value is None
        self.rows[key] = Row(update.version, update.value)
        return True

    def merge(self, update: OriginUpdate) -> list[RowUpdate]:
        """Merge an update from another copy; return the rows that changed."""
        changed = [row for row in update.rows if self.put(row)]
        if update.is_full:
            changed += self._remove_absent(update)
            self.floor = max(self.floor, update.floor)
        if (update.is_full or update.from_tick <= self.tick) and (
            update.to_tick > self.tick
        ):
            self.tick = update.to_tick
        self.prune_removed()
        return changed

    def changes_since(self, tick: int, *, with_record: bool) -> OriginUpdate:
        """Return the update that brings a copy from ``tick`` to the current state."""
        is_full = tick < self.floor
        rows = [
            RowUpdate(kind, name, row.version, row.value)
            for (kind, name), row in self.rows.items()
            if is_full or row.version > tick
        ]
        record = self.record if with_record else None
        return OriginUpdate(self.origin_id, tick, self.tick, self.floor, record, rows)

    def _remove_absent(self, update: OriginUpdate) -> list[RowUpdate]:
        present = {(row.kind, row.name) for row in update.rows}
        removed = [
            RowUpdate(kind, name, update.to_tick, None)
            for (kind, name), row in self.rows.items()
            if (kind, name) not in present
            and row.version <= update.to_tick
            and row.value is not None
        ]
        for row in removed:
            self.put(row)
        return removed

    def prune_removed(self) -> None:
        """Prune the older half of the removed rows above ``MAX_REMOVED_ROWS``."""
        if self.n_removed <= MAX_REMOVED_ROWS:
            return
        removed = [
            (row.version, key) for key, row in self.rows.items() if row.value is None
        ]
        removed.sort()
        for version, key in removed[: len(removed) // 2]:
            if version > self.tick:
                break
            self.floor = max(self.floor, version)
            del self.rows[key]
            self.n_removed -= 1
            self.n_bytes -= row_bytes(RowUpdate(*key, version, None))


def row_bytes(row: RowUpdate) -> int:
    """Return the approximate memory size of a row."""
    return ROW_OVERHEAD_BYTES + len(row.name) + len(row.value or b"")


def limit_updates(
    updates: Iterable[OriginUpdate], limit_bytes: int
) -> Iterable[OriginUpdate]:
    """Yield updates until the size limit is reached; the rest waits for later.

    Yields at least one update, so that every round makes progress.
    """
    n_bytes = 0
    for update in updates:
        size = sum(row_bytes(row) for row in update.rows)
        if n_bytes > 0 and n_bytes + size > limit_bytes:
            return
        n_bytes += size
        yield update
