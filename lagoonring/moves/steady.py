"""Brings endpoints that are new to the version in force of their entry.

An instance that the fleet has started may hold an older version. Orders to
endpoints come from one place only, the holder of the moves, so that their
fencing numbers come from one sequence.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.catalogue.entries import CatalogueContent, Endpoint
    from lagoonring.kernel import Clock
    from lagoonring.moves.orders import VersionOrders

N_PER_STEP = 20
RETRY_S = 10.0


@attrs.frozen
class Mark:
    """An endpoint as it was found to hold a version."""

    url: str
    instance: str
    version: str


class SteadyVersions:
    """Remembers which endpoints hold the version in force.

    Parameters
    ----------
    clock : Clock
        Times the retries at endpoints that don't answer.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.confirmed: dict[str, Mark] = {}
        self.retry_at_s: dict[str, float] = {}

    async def step(
        self, orders: VersionOrders, content: CatalogueContent, moving: set[str]
    ) -> None:
        """Go on with some endpoints of entries that are not being moved."""
        self._forget(content)
        by_entry: dict[str, dict[str, Endpoint]] = {}
        for n_found, (name, endpoint) in enumerate(self._find_due(content, moving)):
            if n_found >= N_PER_STEP:
                break
            by_entry.setdefault(endpoint.entry, {})[name] = endpoint
        for entry_name, endpoints in by_entry.items():
            entry = content.entries[entry_name]
            progress = await orders.bring(
                endpoints,
                entry.version,
                is_wanted=True,
                checks_fencing=entry.checks_fencing,
            )
            for name in progress.done:
                self.confirmed[name] = _mark(endpoints[name], entry.version)
            for name in progress.failing:
                self.retry_at_s[name] = self.clock.monotonic() + RETRY_S

    def _find_due(
        self, content: CatalogueContent, moving: set[str]
    ) -> Iterator[tuple[str, Endpoint]]:
        now_s = self.clock.monotonic()
        for name, endpoint in content.endpoints.items():
            entry = content.entries.get(endpoint.entry)
            if entry is None or entry.kind == "plain" or endpoint.entry in moving:
                continue
            is_confirmed = self.confirmed.get(name) == _mark(endpoint, entry.version)
            if not is_confirmed and self.retry_at_s.get(name, 0.0) <= now_s:
                yield name, endpoint

    def _forget(self, content: CatalogueContent) -> None:
        for known in (self.confirmed, self.retry_at_s):
            for name in [name for name in known if name not in content.endpoints]:
                del known[name]


def _mark(endpoint: Endpoint, version: str) -> Mark:
    return Mark(endpoint.url, endpoint.instance, version)
