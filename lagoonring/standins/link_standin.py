"""TCP proxy that stands in for a network link, with delays and partitions.

``POST /faults`` on the control port takes the keys of :class:`LinkFaults`. A cut
link behaves like a network partition: connections stay open and no bytes are
lost, but they are held back until the link heals.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from lagoonring.kernel import Clock
from lagoonring.settings.validators import between
from lagoonring.standins.http_server import StandinServer, answer_json, merge_faults

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.standins.options import LinkOptions

CHUNK_BYTES = 65_536
MAX_QUEUED_CHUNKS = 256
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define(kw_only=True)
class LinkFaults:
    """Faults in force.

    ``is_cut`` holds back bytes in both directions, ``is_cut_back`` only those from
    the target. ``refuses`` closes new connections at once. ``reset`` resets all
    connections once. ``delay_s`` is added in each direction.
    """

    is_cut: bool = False
    is_cut_back: bool = False
    refuses: bool = False
    reset: bool = False
    delay_s: float = attrs.field(default=0.0, validator=between(0, 60))


class LinkStandin:
    """Forwards connections from a port to a target.

    Parameters
    ----------
    options : LinkOptions
        Target, control port, delay.
    host, port : str, int
        Where to listen; port 0 lets the system choose.
    clock : Clock or None
        Times the delay.
    """

    def __init__(
        self,
        options: LinkOptions,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Clock | None = None,
    ) -> None:
        self.options = options
        self.clock = clock or Clock()
        self.host = host
        self.port = port
        self.faults = LinkFaults(delay_s=options.delay_s)
        self.healed = asyncio.Event()
        self.healed.set()
        self.healed_return = asyncio.Event()
        self.healed_return.set()
        self.n_held = 0
        self.listener: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        app = web.Application()
        app.add_routes(
            [
                web.get("/faults", self._faults),
                web.post("/faults", self._set_faults),
            ]
        )
        self.control = StandinServer(app, host=host, port=options.control_port)

    @property
    def url(self) -> str:
        """Root URL of the forwarded port, for HTTP targets."""
        return f"http://{self.host}:{self.port}"

    @property
    def control_url(self) -> str:
        """Root URL of the control port."""
        return self.control.url

    async def start(self) -> None:
        """Listen on the forwarded port and the control port."""
        await self.control.start()
        self.listener = await asyncio.start_server(self._accept, self.host, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.listener is not None:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.control.stop()

    def set_faults(self, faults: LinkFaults) -> None:
        """Put faults in force; reset all connections if requested."""
        self.faults = faults
        _set_event(self.healed, not faults.is_cut)
        _set_event(self.healed_return, not (faults.is_cut or faults.is_cut_back))
        if faults.reset:
            faults.reset = False
            for writer in self.writers:
                reset_connection(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            reset_connection(writer)
        finally:
            self.tasks.discard(task)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward in both directions until both sides close or one fails."""
        if self.faults.refuses:
            writer.transport.abort()
            return
        await self._wait_until(self.healed)
        options = self.options
        target_reader, target_writer = await asyncio.open_connection(
            options.target_host, options.target_port
        )
        writers = {writer, target_writer}
        self.writers |= writers
        forwards = [
            asyncio.create_task(self._forward(reader, target_writer, self.healed)),
            asyncio.create_task(
                self._forward(target_reader, writer, self.healed_return)
            ),
        ]
        end: Callable[[asyncio.StreamWriter], None] = reset_connection
        try:
            await asyncio.gather(*forwards)
            end = asyncio.StreamWriter.close
        finally:
            for forward in forwards:
                forward.cancel()
            for end_writer in writers:
                end(end_writer)
            self.writers -= writers

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        healed: asyncio.Event,
    ) -> None:
        """Forward in one direction: read chunks, and send each when it is due."""
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        sender = asyncio.create_task(self._send(chunks, writer, healed))
        try:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                due_s = self.clock.monotonic() + self.faults.delay_s
                await chunks.put((due_s, chunk))
                if not chunk:
                    break
            await sender
        finally:
            sender.cancel()

    async def _send(
        self,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        healed: asyncio.Event,
    ) -> None:
        while True:
            due_s, chunk = await chunks.get()
            wait_s = due_s - self.clock.monotonic()
            if wait_s > 0:
                await self.clock.sleep(wait_s)
            await self._wait_until(healed)
            if not chunk:
                with suppress(OSError):
                    writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    async def _wait_until(self, healed: asyncio.Event) -> None:
        self.n_held += 1
        try:
            await healed.wait()
        finally:
            self.n_held -= 1

    async def _faults(self, request: web.Request) -> web.Response:
        return answer_json(self.faults)

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.set_faults(await merge_faults(request, self.faults))
        return answer_json(self.faults)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset, which can't be taken for its end."""
    reset_transport(writer.transport)


def reset_transport(transport: asyncio.WriteTransport) -> None:
    """Close the connection of a transport with a TCP reset."""
    sock = transport.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def _set_event(event: asyncio.Event, is_set: bool) -> None:
    if is_set:
        event.set()
    else:
        event.clear()
