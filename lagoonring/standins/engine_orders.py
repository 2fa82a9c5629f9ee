"""Handles orders to the engine stand-in: versions, adapters, role, leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import attrs

from lagoonring.endpoints.messages import EngineState
from lagoonring.errors import AnswerLostError, UnavailableError
from lagoonring.logs import make_logger
from lagoonring.platform.weight_store import WeightStoreClient

if TYPE_CHECKING:
    from lagoonring.endpoints.messages import EngineOrder
    from lagoonring.kernel import Clock
    from lagoonring.standins.options import EngineOptions

FETCH_POLL_S = 0.05
FETCH_RETRY_S = 0.5

logger = make_logger("standins")


class StaleFencingNumberError(ValueError):
    """The fencing number of an order is lower than that of an accepted order."""


class OrderHandler:
    """Accepts and applies orders; versions may be loaded from a weight store.

    Parameters
    ----------
    options : EngineOptions
        Whether fencing numbers are checked, and how versions are loaded.
    clock : Clock
        Simulates the duration of loading.
    """

    def __init__(self, options: EngineOptions, *, clock: Clock) -> None:
        self.options = options
        self.clock = clock
        self.state = EngineState(list(options.versions), role="both")
        self.accepted: list[EngineOrder] = []

    def reset(self) -> None:
        """Reset to the state of a new instance."""
        new = EngineState(list(self.options.versions), role="both")
        for field in attrs.fields(EngineState):
            setattr(self.state, field.name, getattr(new, field.name))

    def check(self, order: EngineOrder) -> None:
        """Record an order, unless its fencing number is checked and stale."""
        if self.options.checks_fencing and order.fencing < self.state.fencing:
            raise StaleFencingNumberError(
                f"Got fencing number {order.fencing}, "
                f"expected {self.state.fencing} or later."
            )
        self.state.fencing = order.fencing
        self.accepted.append(order)
        del self.accepted[:-1000]

    async def apply(self, order: EngineOrder) -> None:
        """Apply a checked order; return when it has taken effect."""
        state = self.state
        if order.kind == "load_version":
            await self._load(order.name)
        elif order.kind == "unload_version":
            state.versions = [name for name in state.versions if name != order.name]
        elif order.kind == "load_adapter":
            state.adapters = sorted({*state.adapters, order.name})
        elif order.kind == "set_role":
            state.role = order.name
        else:
            state.leaving = True

    async def _load(self, name: str) -> None:
        state = self.state
        if name in state.versions or name in state.loading:
            return
        state.loading.append(name)
        try:
            if self.options.weight_store_url:
                await self._fetch(name)
            else:
                await self.clock.sleep(self.options.load_version_s)
            state.versions = [*state.versions, name]
        finally:
            state.loading.remove(name)

    async def _fetch(self, name: str) -> None:
        """Fetch the weights named like the version, retrying failed fetches."""
        async with aiohttp.ClientSession() as session:
            store = WeightStoreClient(self.options.weight_store_url, session)
            while True:
                try:
                    fetch = await store.start_fetch(name)
                    while fetch.state in ("waiting", "running"):
                        await self.clock.sleep(FETCH_POLL_S)
                        fetch = await store.read_fetch(fetch.fetch)
                    if fetch.state == "done":
                        return
                except (UnavailableError, AnswerLostError) as error:
                    logger.info(
                        "Fetch of weights {} failed and will be retried: {}.",
                        name,
                        error,
                    )
                await self.clock.sleep(FETCH_RETRY_S)
