"""Counts the requests that began to run, by window of true time and organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_WINDOWS_SENT = 3  # an instance that was cut off for long tells three windows
MAX_WINDOWS = 6  # a report may come two windows after its window's end


@attrs.frozen
class UsageRow:
    """What one life of an instance counted in a window, by organisation."""

    instance: str
    life: int
    counts: dict[str, int]


class UsageCounts:
    """What this instance counted, and what the others told.

    Parameters
    ----------
    window_s : float
        Length of a window.
    true_time : callable
        Returns seconds since the epoch, whatever this machine's clock does.
    """

    def __init__(self, window_s: float, true_time: Callable[[], float]) -> None:
        self.window_s = window_s
        self.true_time = true_time
        self.own: dict[int, dict[str, int]] = {}
        self.peers: dict[tuple[str, int], dict[int, dict[str, int]]] = {}

    def window(self) -> int:
        """Return the number of the window that the present is in."""
        return int(self.true_time() // self.window_s)

    def record_start(self, organisation: str) -> None:
        """Count a request that began to run now."""
        counts = self.own.setdefault(self.window(), {})
        counts[organisation] = counts.get(organisation, 0) + 1
        _drop_oldest(self.own)

    def recent(self) -> dict[int, dict[str, int]]:
        """Return what was counted here in the windows that may still change."""
        newest = sorted(self.own)[-MAX_WINDOWS_SENT:]
        return {window: self.own[window] for window in newest}

    def update_peer(
        self, peer: str, life: int, started: dict[int, dict[str, int]]
    ) -> None:
        """Take in a peer's counts; those of its earlier lives stay."""
        known = self.peers.setdefault((peer, life), {})
        known.update(started)
        _drop_oldest(known)

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of all instances that began in a window."""
        total: dict[str, int] = dict(self.own.get(window, {}))
        for counts in self.peers.values():
            for organisation, n_started in counts.get(window, {}).items():
                total[organisation] = total.get(organisation, 0) + n_started
        return total

    def rows(self, window: int, origin: tuple[str, int]) -> list[UsageRow]:
        """Return a window's counts by the life of an instance that counted them.

        Parameters
        ----------
        origin : tuple of str and int
            This instance's name and life.
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
        """Take in saved counts; those of lives that are heard stay as heard."""
        for row in rows:
            key = (row.instance, row.life)
            known = self.peers.setdefault(key, {}) if key != origin else self.own
            known.setdefault(window, row.counts)

    def forget_old(self) -> None:
        """Drop lives of instances that counted nothing in the windows kept."""
        oldest = self.window() - MAX_WINDOWS
        for key, counts in list(self.peers.items()):
            if not counts or max(counts) < oldest:
                del self.peers[key]


def _drop_oldest(counts: dict[int, dict[str, int]]) -> None:
    while len(counts) > MAX_WINDOWS:
        del counts[min(counts)]
