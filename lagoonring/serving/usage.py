"""Counts started requests by window of true time and by organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_WINDOWS_SENT = 3  # windows that an instance sends after a long partition
MAX_WINDOWS = 6  # a window is reported up to two windows after its end


@attrs.frozen
class UsageRow:
    """Counts by organisation of one process (``life``) of an instance in a window."""

    instance: str
    life: int
    counts: dict[str, int]


class UsageCounts:
    """Counts of this instance, and those received from the others.

    Parameters
    ----------
    window_s : float
        Length of a window.
    true_time : callable
        Returns seconds since the epoch, unaffected by jumps of this machine's clock.
    """

    def __init__(self, window_s: float, true_time: Callable[[], float]) -> None:
        self.window_s = window_s
        self.true_time = true_time
        self.own: dict[int, dict[str, int]] = {}
        self.peers: dict[tuple[str, int], dict[int, dict[str, int]]] = {}

    def window(self) -> int:
        """Return the number of the current window."""
        return int(self.true_time() // self.window_s)

    def record_start(self, organisation: str) -> None:
        """Count a request that started now."""
        counts = self.own.setdefault(self.window(), {})
        counts[organisation] = counts.get(organisation, 0) + 1
        _drop_oldest(self.own)

    def recent(self) -> dict[int, dict[str, int]]:
        """Return this instance's counts in the windows that may still change."""
        newest = sorted(self.own)[-MAX_WINDOWS_SENT:]
        return {window: self.own[window] for window in newest}

    def update_peer(
        self, peer: str, life: int, started: dict[int, dict[str, int]]
    ) -> None:
        """Record a peer's counts; those of its earlier processes are retained."""
        known = self.peers.setdefault((peer, life), {})
        known.update(started)
        _drop_oldest(known)

    def total(self, window: int) -> dict[str, int]:
        """Return the requests started on all instances in a window."""
        total: dict[str, int] = dict(self.own.get(window, {}))
        for counts in self.peers.values():
            for organisation, n_started in counts.get(window, {}).items():
                total[organisation] = total.get(organisation, 0) + n_started
        return total

    def rows(self, window: int, origin: tuple[str, int]) -> list[UsageRow]:
        """Return a window's counts as one row per process of an instance.

        Parameters
        ----------
        origin : tuple of str and int
            This instance's name and the ``life`` of its process.
        """
        counted = {origin: self.own, **self.peers}
        return [
            UsageRow(instance, life, counts[window])
            for (instance, life), counts in counted.items()
            if window in counts
        ]

    def restore(
        self, window: int, rows: list[UsageRow], origin: tuple[str, int]
    ) -> None:
        """Apply saved counts; a process that reports its own may know higher ones."""
        for row in rows:
            key = (row.instance, row.life)
            known = self.peers.setdefault(key, {}) if key != origin else self.own
            known[window] = _merge(known.get(window, {}), row.counts)

    def forget_old(self) -> None:
        """Drop processes without counts in the last ``MAX_WINDOWS`` windows."""
        oldest = self.window() - MAX_WINDOWS
        for key, counts in list(self.peers.items()):
            if not counts or max(counts) < oldest:
                del self.peers[key]


def merge_rows(rows: Iterable[UsageRow]) -> list[UsageRow]:
    """Return one row per process; counts of a process only rise in a window."""
    merged: dict[tuple[str, int], dict[str, int]] = {}
    for row in rows:
        key = (row.instance, row.life)
        merged[key] = _merge(merged.get(key, {}), row.counts)
    return [UsageRow(name, life, counts) for (name, life), counts in merged.items()]


def _merge(counts: dict[str, int], other: dict[str, int]) -> dict[str, int]:
    names = counts.keys() | other.keys()
    return {name: max(counts.get(name, 0), other.get(name, 0)) for name in names}


def _drop_oldest(counts: dict[int, dict[str, int]]) -> None:
    while len(counts) > MAX_WINDOWS:
        del counts[min(counts)]
