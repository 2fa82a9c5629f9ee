"""HTTP server of a stand-in that can crash and refuse connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from aiohttp import web

from lagoonring.errors import InvalidInputError
from lagoonring.logs import make_logger
from lagoonring.settings import convert, to_plain

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")

SHUTDOWN_TIMEOUT_S = 0.5
BODY_LIMIT_BYTES = 16 << 20

logger = make_logger("standins")


class StandinServer:
    """Serves one stand-in on one port.

    Parameters
    ----------
    app : aiohttp.web.Application
        Routes of the stand-in.
    host : str
        IP number to listen on.
    port : int
        TCP port; 0 lets the system choose, ``port`` then tells which.
    """

    def __init__(self, app: web.Application, *, host: str, port: int) -> None:
        self.app = app
        self.host = host
        self.port = port
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self.site: web.TCPSite | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def url(self) -> str:
        """Root URL, without a trailing slash."""
        return f"http://{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        await self.runner.setup()
        await self._listen()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.runner.cleanup()

    def spawn(self, run: Coroutine[Any, Any, None]) -> None:
        """Run a task that ends with the server at the latest."""
        task = asyncio.get_running_loop().create_task(run)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def refuse(self, duration_s: float | None) -> None:
        """Refuse new connections for some seconds, or until ``accept`` if None.

        Present connections stay.
        """
        if self.site is None:
            return
        site, self.site = self.site, None
        await site.stop()
        if duration_s is not None:
            self.spawn(self._listen_later(duration_s))

    async def crash(self, restart_s: float | None) -> None:
        """Reset all connections and refuse new ones; see :meth:`refuse`."""
        await self.refuse(restart_s)
        self.abort_connections()

    def abort_connections(self) -> None:
        """Reset all open connections."""
        assert self.runner.server is not None
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def accept(self) -> None:
        """Accept connections again, if they are refused."""
        if self.site is None:
            await self._listen()

    async def _listen(self) -> None:
        self.site = web.TCPSite(self.runner, self.host, self.port, reuse_address=True)
        await self.site.start()
        self.port = self.runner.addresses[0][1]

    async def _listen_later(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.accept()


def answer_json(value: Any, *, status: int = 200, **headers: str) -> web.Response:
    """Return a JSON answer; header names are given with ``_`` for ``-``."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
        headers={name.replace("_", "-"): text for name, text in headers.items()},
    )


def answer_error(code: str, message: str, *, status: int) -> web.Response:
    """Return an error in the shape that chat completions clients expect."""
    error = {"message": message, "type": code, "code": code}
    return answer_json({"error": error}, status=status)


def answer_not_run(code: str, message: str) -> web.Response:
    """Return a 503 that says that the request was not run."""
    answer = answer_error(code, message, status=503)
    answer.headers["X-Not-Run"] = "1"
    return answer


async def read_json(request: web.Request, cls: type[T]) -> T:
    """Return the checked body of a request; an empty body counts as ``{}``.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        With all faults of the body.
    """
    return check_json(await request.read(), cls)


def check_json(body: bytes, cls: type[T]) -> T:
    """Return a checked body; raises ``HTTPBadRequest`` with its faults."""
    try:
        return convert(msgspec.json.decode(body or b"{}"), cls, name="body")
    except (msgspec.DecodeError, InvalidInputError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def merge_faults(request: web.Request, current: T) -> T:
    """Return the faults in force with the keys of the body replaced."""
    body = await request.read()
    try:
        changes = msgspec.json.decode(body or b"{}", type=dict[str, Any])
        merged = {**to_plain(current), **changes}
        return convert(merged, type(current), name="faults")
    except (msgspec.MsgspecError, InvalidInputError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def wait_for_ever() -> None:
    """Wait until the connection is closed, which cancels the request."""
    await asyncio.get_running_loop().create_future()
