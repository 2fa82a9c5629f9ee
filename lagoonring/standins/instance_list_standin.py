"""Stand-in for the platform's instance list over HTTP, which lags behind.

The interface is that of :mod:`lagoonring.platform.instance_list`. In addition,
``PUT /instances`` adds or changes an instance, ``DELETE /instances/NAME`` removes
one, and ``POST /faults`` takes the keys of
:class:`lagoonring.standins.platform_faults.PlatformFaults`.
"""

from __future__ import annotations

from collections import deque

from aiohttp import web

from lagoonring.kernel import Clock
from lagoonring.platform.instance_list import ListedInstance, ListPage
from lagoonring.standins.http_server import answer_error, answer_json, read_json
from lagoonring.standins.http_standin import HttpStandin
from lagoonring.standins.options import InstanceListOptions
from lagoonring.standins.platform_faults import PlatformFaults, faults_middleware


class InstanceListStandin(HttpStandin[PlatformFaults]):
    """HTTP server of the instance list; changes become visible after a lag.

    Parameters
    ----------
    options : InstanceListOptions or None
        Initial instances, which are visible at once, and the lag.
    host, port : str, int
        Where to listen; port 0 lets the system choose.
    clock : Clock or None
        Times the changes.
    """

    def __init__(
        self,
        options: InstanceListOptions | None = None,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Clock | None = None,
    ) -> None:
        self.options = options or InstanceListOptions()
        self.clock = clock or Clock()
        self.faults = PlatformFaults()
        self.shown = {row.instance: row for row in self.options.instances}
        self.changes: deque[tuple[float, str, ListedInstance | None]] = deque()
        app = web.Application(middlewares=[faults_middleware(lambda: self.faults)])
        routes = [
            web.get("/instances", self._list),
            web.put("/instances", self._put),
            web.delete("/instances/{instance}", self._remove),
        ]
        super().__init__(app, routes, host=host, port=port)

    def put(self, instance: ListedInstance) -> None:
        """Add or change an instance, visible after the lag."""
        self._change(instance.instance, instance)

    def remove(self, name: str) -> None:
        """Remove an instance, visible after the lag."""
        self._change(name, None)

    def read(self) -> list[ListedInstance]:
        """Return the instances that are visible now."""
        now_s = self.clock.monotonic()
        while self.changes and self.changes[0][0] <= now_s:
            _, name, instance = self.changes.popleft()
            if instance is None:
                self.shown.pop(name, None)
            else:
                self.shown[name] = instance
        return list(self.shown.values())

    def _change(self, name: str, instance: ListedInstance | None) -> None:
        due_s = self.clock.monotonic() + self.options.lag_s
        self.changes.append((due_s, name, instance))

    async def _list(self, request: web.Request) -> web.Response:
        return answer_json(ListPage(self.read()))

    async def _put(self, request: web.Request) -> web.Response:
        self.put(await read_json(request, ListedInstance))
        return answer_json({"noted": True})

    async def _remove(self, request: web.Request) -> web.Response:
        name = request.match_info["instance"]
        if not name:
            return answer_error("faulty_name", "Got no name.", status=400)
        self.remove(name)
        return answer_json({"noted": True})
