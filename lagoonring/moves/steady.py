"""Loads the entry's version in force at endpoints that have just been added.

An instance started by the fleet may hold an older version. Only the lease holder
of the stream ``moves`` sends orders to endpoints, so that all fencing numbers come
from one sequence.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.catalogue.entries import CatalogueContent, Endpoint
    from lagoonring.kernel import Clock
    from lagoonring.moves.orders import VersionOrders

MAX_ENDPOINTS_PER_STEP = 20
RETRY_S = 10.0


@attrs.frozen
class ConfirmedVersion:
    """Address, instance and version of an endpoint whose version was confirmed."""

    url: str
    instance: str
    version: str


class VersionSync:
    """Tracks which endpoints hold their entry's version in force.

    Parameters
    ----------
    clock : Clock
        Clock for the retries at endpoints that don't answer.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.confirmed: dict[str, ConfirmedVersion] = {}
        self.retry_at_s: dict[str, float] = {}

    async def step(
        self, orders: VersionOrders, content: CatalogueContent, moving_entries: set[str]
    ) -> None:
        """Process some endpoints of entries that have no move in progress."""
        self._forget(content)
        by_entry: dict[str, dict[str, Endpoint]] = {}
        for n_found, (name, endpoint) in enumerate(
            self._find_due(content, moving_entries)
        ):
            if n_found >= MAX_ENDPOINTS_PER_STEP:
                break
            by_entry.setdefault(endpoint.entry, {})[name] = endpoint
        for entry_name, endpoints in by_entry.items():
            entry = content.entries[entry_name]
            progress = await orders.reconcile(
                endpoints,
                entry.version,
                is_wanted=True,
                checks_fencing=entry.checks_fencing,
            )
            for name in progress.done:
                self.confirmed[name] = _confirmed_version(
                    endpoints[name], entry.version
                )
            for name in progress.failing:
                self.retry_at_s[name] = self.clock.monotonic() + RETRY_S

    def _find_due(
        self, content: CatalogueContent, moving_entries: set[str]
    ) -> Iterator[tuple[str, Endpoint]]:
        now_s = self.clock.monotonic()
        for name, endpoint in content.endpoints.items():
            entry = content.entries.get(endpoint.entry)
            if (
                entry is None
                or entry.kind == "plain"
                or endpoint.entry in moving_entries
            ):
                continue
            is_confirmed = self.confirmed.get(name) == _confirmed_version(
                endpoint, entry.version
            )
            if not is_confirmed and self.retry_at_s.get(name, 0.0) <= now_s:
                yield name, endpoint

    def _forget(self, content: CatalogueContent) -> None:
        for known in (self.confirmed, self.retry_at_s):
            for name in [name for name in known if name not in content.endpoints]:
                del known[name]


def _confirmed_version(endpoint: Endpoint, version: str) -> ConfirmedVersion:
    return ConfirmedVersion(endpoint.url, endpoint.instance, version)
