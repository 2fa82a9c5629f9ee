"""Rows of this instance: limits, coalescing, and which table they enter."""

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

OWN_ROWS_SHARE = 4

encoder = msgspec.msgpack.Encoder()


class OwnRows:
    """Publishes rows of this instance.

    Parameters
    ----------
    push : callable
        ``push(row, is_fleet=...)`` sends an urgent row at once.
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
        self.waiting: dict[tuple[int, str], tuple[RowKind, bytes | None]] = {}

    def table_of(self, kind: RowKind) -> Table:
        """Return the table that rows of a kind enter."""
        return self.fleet if kind.scope is Scope.FLEET else self.local

    def publish(self, kind_name: str, name: str, value: Any, *, urgent: bool) -> None:
        """Change a row; None removes it.

        Raises
        ------
        UnknownKindError
            If there is no such kind.
        RowTooLargeError
            If the row or all rows together exceed their limits.
        """
        kind = find_kind(kind_name)
        content = None if value is None else encoder.encode(value)
        key = (kind.code, name)
        if content is not None:
            self._check_size(kind, name, content)
        is_urgent = urgent or kind.is_urgent
        if kind.is_coalesced and not is_urgent and self._is_early(key):
            self.waiting[key] = (kind, content)
            return
        self._write(kind, name, content, is_urgent=is_urgent)

    def flush(self) -> None:
        """Write the coalesced rows that are due."""
        for key, (kind, content) in list(self.waiting.items()):
            if not self._is_early(key):
                self._write(kind, key[1], content, is_urgent=False)

    def _write(
        self, kind: RowKind, name: str, content: bytes | None, *, is_urgent: bool
    ) -> None:
        key = (kind.code, name)
        self.waiting.pop(key, None)
        table = self.table_of(kind)
        known = table.own.rows.get(key) if table.own is not None else None
        if (known.value if known is not None else None) == content:
            return
        if kind.is_coalesced:
            self.written_s[key] = self.clock.monotonic()
            if content is None:
                del self.written_s[key]
        row = table.put_own(kind.code, name, content)
        if is_urgent:
            self.push(row, is_fleet=kind.scope is Scope.FLEET)

    def _is_early(self, key: tuple[int, str]) -> bool:
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
        limit_bytes = self.options.frame_limit_bytes // OWN_ROWS_SHARE
        if n_bytes + size > limit_bytes:
            raise RowTooLargeError(
                f"Got {n_bytes + size} bytes of own rows, expected at most "
                f"{limit_bytes}.",
                remedy="Remove rows that are no longer needed.",
            )
