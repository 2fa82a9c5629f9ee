"""HTTP server of the stand-ins, with injected crashes and refused connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from aiohttp import web

from lagoonring.endpoints.transport import ECHOED_HEADERS
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
    """Serves a stand-in on one port.

    Parameters
    ----------
    app : aiohttp.web.Application
        Routes of the stand-in.
    host : str
        IP address to listen on.
    port : int
        TCP port. If 0, the system chooses a port, which replaces ``port``.
    """

    def __init__(self, app: web.Application, *, host: str, port: int) -> None:
        self.app = app
        app.on_response_prepare.append(_echo_ids)
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
        """Start to listen on the port."""
        await self.runner.setup()
        await self._listen()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.runner.cleanup()

    def spawn(self, run: Coroutine[Any, Any, None]) -> None:
        """Run a task that is cancelled when the server stops."""
        task = asyncio.get_running_loop().create_task(run)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def refuse(self, duration_s: float | None) -> None:
        """Refuse new connections for some seconds, or until ``accept`` if None.

        Open connections are not affected.
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
        """Accept connections again after ``refuse`` or ``crash``."""
        if self.site is None:
            await self._listen()

    async def _listen(self) -> None:
        self.site = web.TCPSite(self.runner, self.host, self.port, reuse_address=True)
        await self.site.start()
        self.port = self.runner.addresses[0][1]

    async def _listen_later(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.accept()


async def _echo_ids(request: web.Request, response: web.StreamResponse) -> None:
    """Echo the ids of a request in its answer, refusals and errors included."""
    for name in ECHOED_HEADERS:
        if name in request.headers:
            response.headers.setdefault(name, request.headers[name])


def answer_json(value: Any, *, status: int = 200, **headers: str) -> web.Response:
    """Return a JSON response; ``_`` in header names stands in for ``-``."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
        headers={name.replace("_", "-"): text for name, text in headers.items()},
    )


def answer_error(code: str, message: str, *, status: int) -> web.Response:
    """Return an error in the format that chat completions clients expect."""
    error = {"message": message, "type": code, "code": code}
    return answer_json({"error": error}, status=status)


def answer_not_run(code: str, message: str) -> web.Response:
    """Return a 503 response marked as not run."""
    answer = answer_error(code, message, status=503)
    answer.headers["X-Not-Run"] = "1"
    return answer


async def read_json(request: web.Request, cls: type[T]) -> T:
    """Return the validated body of a request; an empty body counts as ``{}``.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        If the body is invalid; the text lists all errors.
    """
    return check_json(await request.read(), cls)


def check_json(body: bytes, cls: type[T]) -> T:
    """Return the validated body; see :func:`read_json`."""
    try:
        return convert(msgspec.json.decode(body or b"{}"), cls, name="body")
    except (msgspec.DecodeError, InvalidInputError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def merge_faults(request: web.Request, current: T) -> T:
    """Return the faults in force, updated with the keys of the request's body."""
    body = await request.read()
    try:
        changes = msgspec.json.decode(body or b"{}", type=dict[str, Any])
        merged = {**to_plain(current), **changes}
        return convert(merged, type(current), name="faults")
    except (msgspec.MsgspecError, InvalidInputError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def wait_forever() -> None:
    """Wait until cancelled, which happens when the connection is closed."""
    await asyncio.get_running_loop().create_future()
