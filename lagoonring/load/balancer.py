"""Simulates the platform's load balancer in front of the entry instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    import random

    from lagoonring.load.options import EntryTarget

PROBE_TIMEOUT_S = 1.0
PROBE_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)


class Balancer:
    """Chooses a random entry instance among those whose last probe was ready.

    Parameters
    ----------
    entries : list of EntryTarget
        All entry instances.
    session : aiohttp.ClientSession
        Owned and closed by the run.
    """

    def __init__(
        self, entries: list[EntryTarget], session: aiohttp.ClientSession
    ) -> None:
        self.entries = entries
        self.session = session
        self.unready: set[str] = set()

    def choose(
        self, rng: random.Random, avoided: EntryTarget | None = None
    ) -> EntryTarget:
        """Return an instance, preferably a ready one other than ``avoided``."""
        ready = [entry for entry in self.entries if entry.instance not in self.unready]
        others = [entry for entry in ready if entry is not avoided]
        return rng.choice(others or ready or self.entries)

    async def probe_forever(self, period_s: float) -> None:
        """Probe all instances every ``period_s`` seconds."""
        while True:
            await asyncio.gather(*map(self.probe, self.entries))
            await asyncio.sleep(period_s)

    async def probe(self, entry: EntryTarget) -> None:
        """Probe ``/readyz`` of one instance and update its readiness."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        try:
            async with self.session.get(
                f"{entry.url}/readyz", timeout=timeout
            ) as answer:
                is_ready = answer.status == 200
        except PROBE_ERRORS:
            is_ready = False
        if is_ready:
            self.unready.discard(entry.instance)
        else:
            self.unready.add(entry.instance)
