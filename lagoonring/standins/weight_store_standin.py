"""Stand-in for the platform's weight store over HTTP, with a limited rate.

The interface is that of :mod:`lagoonring.platform.weight_store`.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict

import attrs
from aiohttp import web

from lagoonring.kernel import Clock
from lagoonring.platform.weight_store import Fetch, WeightsPage
from lagoonring.settings.validators import between
from lagoonring.standins.fault_counts import consume_fault
from lagoonring.standins.http_server import answer_error, answer_json, read_json
from lagoonring.standins.http_standin import HttpStandin
from lagoonring.standins.options import WeightStoreOptions
from lagoonring.standins.platform_faults import (
    MANY,
    PlatformFaults,
    faults_middleware,
)

MAX_FETCHES = 10_000


@attrs.define(kw_only=True)
class WeightStoreFaults(PlatformFaults):
    """Faults in force; the next ``n_failed`` fetches fail."""

    n_failed: int = attrs.field(default=0, validator=between(0, MANY))
    slow_factor: float = attrs.field(default=1.0, validator=between(0.01, 1000))


@attrs.frozen(kw_only=True)
class FetchOrder:
    """Request body that names the weights to fetch."""

    weights: str


class WeightStoreStandin(HttpStandin[WeightStoreFaults]):
    """HTTP server of the weight store.

    Each of the ``n_concurrent`` transfer slots gets an equal part of the rate.

    Parameters
    ----------
    options : WeightStoreOptions or None
        Rate, queue and sizes.
    host, port : str, int
        Where to listen; port 0 lets the system choose.
    clock : Clock or None
        Simulates the duration of transfers.
    """

    def __init__(
        self,
        options: WeightStoreOptions | None = None,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Clock | None = None,
    ) -> None:
        self.options = options or WeightStoreOptions()
        self.clock = clock or Clock()
        self.faults = WeightStoreFaults()
        self.fetches: OrderedDict[str, Fetch] = OrderedDict()
        self.transfer_slots = asyncio.Semaphore(self.options.n_concurrent)
        self.n_waiting = 0
        self.n_fetches = 0
        app = web.Application(middlewares=[faults_middleware(lambda: self.faults)])
        routes = [
            web.post("/fetches", self._start_fetch),
            web.get("/fetches/{fetch}", self._read_fetch),
            web.get("/weights", self._weights),
        ]
        super().__init__(app, routes, host=host, port=port)

    async def _start_fetch(self, request: web.Request) -> web.Response:
        order = await read_json(request, FetchOrder)
        size_mb = self.options.weights.get(order.weights)
        if size_mb is None:
            text = f"Got weights {order.weights!r}, expected one of the store."
            return answer_error("unknown_weights", text, status=404)
        if self.n_waiting >= self.options.n_waiting_most:
            answer = answer_error("busy", "Got too many fetches.", status=503)
            answer.headers["Retry-After"] = "1"
            return answer
        self.n_fetches += 1
        name = f"f-{self.n_fetches}"
        fetch = Fetch(
            fetch=name, weights=order.weights, size_mb=size_mb, state="waiting"
        )
        self.fetches[name] = fetch
        if len(self.fetches) > MAX_FETCHES:
            self.fetches.popitem(last=False)
        self.n_waiting += 1
        self.server.spawn(self._transfer(fetch))
        return answer_json(fetch)

    async def _transfer(self, fetch: Fetch) -> None:
        async with self.transfer_slots:
            self.n_waiting -= 1
            self.fetches[fetch.fetch] = attrs.evolve(fetch, state="running")
            slot_mb_per_s = self.options.mb_per_s / self.options.n_concurrent
            duration_s = fetch.size_mb / slot_mb_per_s * self.faults.slow_factor
            await self.clock.sleep(duration_s)
            state = "failed" if consume_fault(self.faults, "n_failed") else "done"
            self.fetches[fetch.fetch] = attrs.evolve(fetch, state=state)

    async def _read_fetch(self, request: web.Request) -> web.Response:
        fetch = self.fetches.get(request.match_info["fetch"])
        if fetch is None:
            return answer_error("unknown_fetch", "Got no such fetch.", status=404)
        return answer_json(fetch)

    async def _weights(self, request: web.Request) -> web.Response:
        return answer_json(WeightsPage(self.options.weights))
