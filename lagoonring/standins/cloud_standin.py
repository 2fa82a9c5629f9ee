"""Stand-in for the platform's cloud over HTTP: starts, waves of reclaims, costs.

The interface is that of :mod:`lagoonring.platform.cloud`. In addition, ``GET
/costs`` returns the money spent, and ``POST /faults`` takes the keys of
:class:`CloudFaults`.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from lagoonring.kernel import Clock
from lagoonring.platform.cloud import (
    CloudPrice,
    InstancePage,
    NoticePage,
    PricePage,
    StartOrder,
)
from lagoonring.settings.validators import between
from lagoonring.standins.cloud_model import (
    CloudModel,
    NoCapacityError,
    UnknownPriceError,
)
from lagoonring.standins.endpoint_pool import EndpointPool
from lagoonring.standins.fault_counts import consume_fault
from lagoonring.standins.http_server import answer_error, answer_json, read_json
from lagoonring.standins.http_standin import HttpStandin
from lagoonring.standins.options import CloudOptions
from lagoonring.standins.platform_faults import (
    MANY,
    PlatformFaults,
    faults_middleware,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonring.standins.endpoint_pool import PooledEndpoint

RETRY_AFTER_S = 2


@attrs.frozen(kw_only=True)
class Wave:
    """Reclaims a share of the reclaimable instances; empty names match all."""

    data_centre: str = ""
    instance_class: str = ""
    share: float = attrs.field(default=1.0, validator=between(0, 1))
    notice_s: float | None = None


@attrs.define(kw_only=True)
class CloudFaults(PlatformFaults):
    """Faults in force.

    ``waves`` start at once. The next ``n_refused`` starts and a random share of
    ``refused_share`` of all starts fail for lack of capacity. ``price_factor``
    multiplies the reclaimable prices.
    """

    waves: list[Wave] = attrs.field(factory=list)
    n_refused: int = attrs.field(default=0, validator=between(0, MANY))
    refused_share: float = attrs.field(default=0.0, validator=between(0, 1))
    price_factor: float = attrs.field(default=1.0, validator=between(0, 1000))


class CloudStandin(HttpStandin[CloudFaults]):
    """HTTP server of the cloud.

    Parameters
    ----------
    options : CloudOptions or None
        Prices, capacity, times.
    host, port : str, int
        Where to listen; port 0 lets the system choose.
    clock : Clock or None
        Times starts and reclaims.
    endpoints : mapping of str to PooledEndpoint or None
        Endpoint stand-ins by URL, which start and end with their instances.
    """

    def __init__(
        self,
        options: CloudOptions | None = None,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Clock | None = None,
        endpoints: Mapping[str, PooledEndpoint] | None = None,
    ) -> None:
        self.options = options or CloudOptions()
        self.clock = clock or Clock()
        self.pool = EndpointPool(self.options.endpoint_urls, endpoints or {})
        self.model = CloudModel(
            self.options,
            clock=self.clock,
            attach=self.pool.attach,
            detach=self.pool.detach,
        )
        self.faults = CloudFaults()
        self.rng = random.Random(0)
        app = web.Application(middlewares=[faults_middleware(lambda: self.faults)])
        routes = [
            web.post("/instances", self._start),
            web.get("/instances", self._list),
            web.delete("/instances/{instance}", self._stop),
            web.get("/prices", self._prices),
            web.get("/notices", self._notices),
            web.get("/costs", self._costs),
        ]
        super().__init__(app, routes, host=host, port=port)

    async def start(self) -> None:
        """Listen; endpoints refuse connections until an instance runs them."""
        await super().start()
        self.pool.end_unattached()

    async def _start(self, request: web.Request) -> web.Response:
        order = await read_json(request, StartOrder)
        is_new = order.token not in self.model.by_token
        if is_new and self._is_refused():
            return _answer_no_capacity("Got a fault on command.")
        try:
            instance = self.model.start(order)
        except UnknownPriceError as error:
            return answer_error("unknown_price", str(error), status=400)
        except NoCapacityError as error:
            return _answer_no_capacity(str(error))
        if is_new:
            self.server.spawn(self._begin_later(instance.instance))
        return answer_json(instance)

    def _is_refused(self) -> bool:
        if consume_fault(self.faults, "n_refused"):
            return True
        return self.rng.random() < self.faults.refused_share

    async def _begin_later(self, name: str) -> None:
        await self.clock.sleep(self.options.start_s)
        self.model.mark_running(name)

    async def _list(self, request: web.Request) -> web.Response:
        token = request.query.get("token")
        found = [
            instance
            for instance in self.model.instances.values()
            if token is None or instance.token == token
        ]
        return answer_json(InstancePage(found))

    async def _stop(self, request: web.Request) -> web.Response:
        name = request.match_info["instance"]
        if name not in self.model.instances:
            return answer_error("unknown", "Got no such instance.", status=404)
        return answer_json(self.model.terminate(name))

    async def _prices(self, request: web.Request) -> web.Response:
        factor = self.faults.price_factor
        prices = [
            CloudPrice(
                data_centre=price.data_centre,
                instance_class=price.instance_class,
                reclaimable=price.reclaimable * factor,
                on_demand=price.on_demand,
            )
            for price in self.model.prices.values()
        ]
        return answer_json(PricePage(prices))

    async def _notices(self, request: web.Request) -> web.Response:
        text = request.query.get("from", "0")
        if not text.isdecimal():
            return answer_error("faulty_query", f"Got from={text}.", status=400)
        notices = self.model.notices
        return answer_json(NoticePage(notices[int(text) :], len(notices)))

    async def _costs(self, request: web.Request) -> web.Response:
        return answer_json(self.model.count_costs())

    async def set_faults(self, faults: CloudFaults) -> None:
        """Put faults in force and start their waves."""
        self.faults = faults
        for wave in faults.waves:
            self._begin_wave(wave)
        faults.waves = []

    def _begin_wave(self, wave: Wave) -> None:
        names = self.model.find_reclaimable(wave.data_centre, wave.instance_class)
        notice_s = self.options.notice_s if wave.notice_s is None else wave.notice_s
        for name in self.rng.sample(names, round(len(names) * wave.share)):
            self.model.announce(name, notice_s)
            self.server.spawn(self._reclaim_later(name, notice_s))

    async def _reclaim_later(self, name: str, notice_s: float) -> None:
        await self.clock.sleep(notice_s)
        self.model.terminate(name)


def _answer_no_capacity(message: str) -> web.Response:
    answer = answer_error("no_capacity", message, status=503)
    answer.headers["Retry-After"] = str(RETRY_AFTER_S)
    return answer
