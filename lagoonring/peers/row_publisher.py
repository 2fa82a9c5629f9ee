"""Publishing of this instance's rows: size limits, coalescing and tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from lagoonring.peers.errors import RowTooLargeError
from lagoonring.peers.kinds import RowKind, Scope, find_kind

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.peers.options import PeersOptions
    from lagoonring.peers.tables import Table

OWN_ROWS_DIVISOR = 4

encoder = msgspec.msgpack.Encoder()


class RowPublisher:
    """Publishes rows of this instance.

    Parameters
    ----------
    push : callable
        ``push(row, is_fleet=...)`` sends an urgent row to all peers at once.
    """

    def __init__(
        self,
        local: Table,
        fleet: Table,
        clock: Clock,
        options: PeersOptions,
        push: Callable[..., None],
    ) -> None:
        self.local = local
        self.fleet = fleet
        self.clock = clock
        self.options = options
        self.push = push
        self.written_s: dict[tuple[int, str], float] = {}
        self.pending: dict[tuple[int, str], tuple[RowKind, bytes | None]] = {}

    def table_of(self, kind: RowKind) -> Table:
        """Return the table that stores rows of a kind."""
        return self.fleet if kind.scope is Scope.FLEET else self.local

    def publish(self, kind_name: str, name: str, value: Any, *, urgent: bool) -> None:
        """Set the value of a row; None removes it.

        Raises
        ------
        UnknownKindError
            If there is no such kind.
        RowTooLargeError
            If the row, or all rows of this instance, exceed the size limit.
        """
        kind = find_kind(kind_name)
        content = None if value is None else encoder.encode(value)
        key = (kind.code, name)
        if content is not None:
            self._check_size(kind, name, content)
        is_urgent = urgent or kind.is_urgent
        if kind.is_coalesced and not is_urgent and self._was_recently_written(key):
            self.pending[key] = (kind, content)
            return
        self._write(kind, name, content, is_urgent=is_urgent)

    def flush(self) -> None:
        """Write the coalesced rows that are due."""
        for key, (kind, content) in list(self.pending.items()):
            if not self._was_recently_written(key):
                self._write(kind, key[1], content, is_urgent=False)

    def _write(
        self, kind: RowKind, name: str, content: bytes | None, *, is_urgent: bool
    ) -> None:
        key = (kind.code, name)
        self.pending.pop(key, None)
        table = self.table_of(kind)
        existing = table.own.rows.get(key) if table.own is not None else None
        if (existing.value if existing is not None else None) == content:
            return
        if kind.is_coalesced:
            self.written_s[key] = self.clock.monotonic()
            if content is None:
                del self.written_s[key]
        row = table.put_own(kind.code, name, content)
        if is_urgent:
            self.push(row, is_fleet=kind.scope is Scope.FLEET)

    def _was_recently_written(self, key: tuple[int, str]) -> bool:
        written_s = self.written_s.get(key)
        if written_s is None:
            return False
        return self.clock.monotonic() - written_s < self.options.coalesce_s

    def _check_size(self, kind: RowKind, name: str, content: bytes) -> None:
        size = len(content) + len(name.encode())
        if size > self.options.row_limit_bytes:
            raise RowTooLargeError(
                f"Got a {kind.name} row of {size} bytes, expected at most "
                f"{self.options.row_limit_bytes}.",
                remedy="Publish a reference and serve the content by a call.",
            )
        own = self.table_of(kind).own
        n_bytes = own.n_bytes if own is not None else 0
        limit_bytes = self.options.frame_limit_bytes // OWN_ROWS_DIVISOR
        if n_bytes + size > limit_bytes:
            raise RowTooLargeError(
                f"Got {n_bytes + size} bytes of own rows, expected at most "
                f"{limit_bytes}.",
                remedy="Remove rows that are no longer needed.",
            )
