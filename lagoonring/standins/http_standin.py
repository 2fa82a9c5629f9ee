"""Base class of the HTTP stand-ins: a server and routes to inject faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Generic, TypeVar

from aiohttp import web

from lagoonring.standins.http_server import StandinServer, answer_json, merge_faults

if TYPE_CHECKING:
    from collections.abc import Iterable

F = TypeVar("F")

FAULTS_PATH = "/faults"


class HttpStandin(Generic[F]):
    """A stand-in on a port, with ``GET`` and ``POST /faults``.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application to which the routes are added.
    routes : iterable of aiohttp.web.RouteDef
        Routes other than ``/faults``.
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 lets the system choose.

    Attributes
    ----------
    faults : F
        Faults in force, of an attrs class. Set by the subclass, unless it stores
        them elsewhere and overrides ``find_faults`` and ``set_faults``.
    """

    faults: F

    def __init__(
        self,
        app: web.Application,
        routes: Iterable[web.RouteDef],
        *,
        host: str,
        port: int,
    ) -> None:
        app.add_routes(
            [
                web.get(FAULTS_PATH, self._handle_get_faults),
                web.post(FAULTS_PATH, self._handle_set_faults),
                *routes,
            ]
        )
        self.server = StandinServer(app, host=host, port=port)

    @property
    def url(self) -> str:
        """Root URL, without a trailing slash."""
        return self.server.url

    async def start(self) -> None:
        """Start to listen on the port."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self.server.stop()

    def find_faults(self) -> F:
        """Return the faults in force."""
        return self.faults

    async def set_faults(self, faults: F) -> None:
        """Put faults in force; subclasses also start immediate effects."""
        self.faults = faults

    async def _handle_get_faults(self, request: web.Request) -> web.Response:
        return answer_json(self.find_faults())

    async def _handle_set_faults(self, request: web.Request) -> web.Response:
        faults: Any = await merge_faults(request, self.find_faults())
        await self.set_faults(faults)
        return answer_json(faults)
