"""Publishes suspected and quarantined requests to the peers as rows."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lagoonring.retries.messages import Suspicion

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.retries.options import RetriesOptions
    from lagoonring.retries.quarantine import FingerprintRecord

ROW_KIND = "quarantine"
MAX_ROWS = 512


class SuspicionRows:
    """Rows published by this instance, withdrawn when they expire.

    Parameters
    ----------
    clock : Clock
        Clock by which the rows expire.
    options : RetriesOptions
        Lifetimes of a suspicion and of a quarantine.
    """

    def __init__(self, clock: Clock, options: RetriesOptions) -> None:
        self.clock = clock
        self.options = options
        self.peers: Any = None
        self.expires_s: dict[str, float] = {}

    def follow(self, peers: Any, merge: Callable[[str, Suspicion], None]) -> None:
        """Start publishing to peers and merging the rows that they publish."""

        def handle_row(origin: str, fingerprint: str, row: Suspicion | None) -> None:
            if row is not None:
                merge(fingerprint, row)

        self.peers = peers
        peers.subscribe(ROW_KIND, Suspicion, handle_row)

    def publish(self, fingerprint: str, record: FingerprintRecord) -> None:
        """Publish the record of a fingerprint urgently."""
        options = self.options
        lifetime_s = (
            options.quarantine_s if record.is_quarantined else options.suspect_s
        )
        self.expires_s.pop(fingerprint, None)
        self.expires_s[fingerprint] = self.clock.monotonic() + lifetime_s
        if len(self.expires_s) > MAX_ROWS:
            self._withdraw(next(iter(self.expires_s)))
        if self.peers is not None:
            row = record.as_suspicion()
            self.peers.publish(ROW_KIND, fingerprint, row, urgent=True)

    def withdraw_expired(self) -> None:
        """Withdraw the rows that have expired."""
        now_s = self.clock.monotonic()
        for fingerprint, expires_s in list(self.expires_s.items()):
            if expires_s <= now_s:
                self._withdraw(fingerprint)

    def _withdraw(self, fingerprint: str) -> None:
        del self.expires_s[fingerprint]
        if self.peers is not None:
            self.peers.publish(ROW_KIND, fingerprint, None)
