"""Publishes suspected and condemned requests to the peers as rows."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lagoonring.retries.messages import Suspicion

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.retries.options import RetriesOptions
    from lagoonring.retries.quarantine import Record

ROW_KIND = "quarantine"
ROWS_MOST = 512


class SuspicionRows:
    """Rows of this instance, withdrawn when their time is over.

    Parameters
    ----------
    clock : Clock
        Times the rows.
    options : RetriesOptions
        How long a suspicion and a quarantine last, in seconds.
    """

    def __init__(self, clock: Clock, options: RetriesOptions) -> None:
        self.clock = clock
        self.options = options
        self.peers: Any = None
        self.expires_s: dict[str, float] = {}

    def follow(self, peers: Any, merge: Callable[[str, Suspicion], None]) -> None:
        """Publish to peers from now on, and merge the rows that they publish."""

        def take_row(origin: str, fingerprint: str, row: Suspicion | None) -> None:
            if row is not None:
                merge(fingerprint, row)

        self.peers = peers
        peers.subscribe(ROW_KIND, Suspicion, take_row)

    def publish(self, fingerprint: str, record: Record) -> None:
        """Publish what is known of a fingerprint at once."""
        options = self.options
        keep_s = options.quarantine_s if record.is_condemned else options.suspect_s
        self.expires_s.pop(fingerprint, None)
        self.expires_s[fingerprint] = self.clock.monotonic() + keep_s
        if len(self.expires_s) > ROWS_MOST:
            self._withdraw(next(iter(self.expires_s)))
        if self.peers is not None:
            row = record.as_suspicion()
            self.peers.publish(ROW_KIND, fingerprint, row, urgent=True)

    def withdraw_expired(self) -> None:
        """Withdraw the rows whose time is over."""
        now_s = self.clock.monotonic()
        for fingerprint, expires_s in list(self.expires_s.items()):
            if expires_s <= now_s:
                self._withdraw(fingerprint)

    def _withdraw(self, fingerprint: str) -> None:
        del self.expires_s[fingerprint]
        if self.peers is not None:
            self.peers.publish(ROW_KIND, fingerprint, None)
