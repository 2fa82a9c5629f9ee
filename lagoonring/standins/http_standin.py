"""What all stand-ins behind HTTP share: a server, and faults on command."""

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
        Without routes as yet.
    routes : iterable of aiohttp.web.RouteDef
        Routes besides those of faults.
    host : str
        IP number to listen on.
    port : int
        TCP port; 0 lets the system choose.

    Attributes
    ----------
    faults : F
        Faults in force, of an attrs class; to be set by the subclass, unless it
        keeps them elsewhere and overrides ``find_faults`` and ``set_faults``.
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
                web.get(FAULTS_PATH, self._answer_faults),
                web.post(FAULTS_PATH, self._take_faults),
                *routes,
            ]
        )
        self.server = StandinServer(app, host=host, port=port)

    @property
    def url(self) -> str:
        """Root URL, without a trailing slash."""
        return self.server.url

    async def start(self) -> None:
        """Listen."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self.server.stop()

    def find_faults(self) -> F:
        """Return the faults in force."""
        return self.faults

    async def set_faults(self, faults: F) -> None:
        """Put faults in force, and begin at once what they order to begin."""
        self.faults = faults

    async def _answer_faults(self, request: web.Request) -> web.Response:
        return answer_json(self.find_faults())

    async def _take_faults(self, request: web.Request) -> web.Response:
        faults: Any = await merge_faults(request, self.find_faults())
        await self.set_faults(faults)
        return answer_json(faults)
