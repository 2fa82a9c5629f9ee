"""Accepts connections while there is room for their sockets."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import TYPE_CHECKING, Any, Protocol

from aiohttp import web

from lagoonring.logs import make_logger
from lagoonring.requests.listening import BACKLOG

if TYPE_CHECKING:
    from lagoonring.requests.guarded import GuardedProtocol

MAX_ACCEPTED = 16  # in one turn of the event loop
ERROR_PAUSE_S = 1.0  # after the system has no more descriptors or memory

logger = make_logger("callers")


class AcceptingServer(Protocol):
    """A server that says when it takes a connection."""

    acceptors: set[Acceptor]

    def has_room(self) -> bool:
        """Return whether one more socket may be opened, after making room for it."""

    def accept(self) -> GuardedProtocol:
        """Return the protocol of a connection that has been accepted."""

    def drop(self, handler: GuardedProtocol) -> None:
        """Forget a connection that was accepted and not made."""


class Acceptor:
    """Accepts the connections of one listening socket.

    Parameters
    ----------
    server : AcceptingServer
        Makes room for connections; it calls `resume` when there may be some.
    sock : socket.socket
        Listens, and does not block. The acceptor owns it.
    """

    def __init__(self, server: AcceptingServer, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.poll = select.poll()
        self.poll.register(sock.fileno(), select.POLLIN)
        self.is_accepting = False
        self.opening: set[asyncio.Task[Any]] = set()
        server.acceptors.add(self)
        self.resume()

    def resume(self) -> None:
        """Accept connections from the next turn of the event loop on."""
        if not self.is_accepting and self in self.server.acceptors:
            self.is_accepting = True
            self.loop.add_reader(self.sock.fileno(), self.accept_waiting)

    def pause(self) -> None:
        """Leave new connections in the system's queue."""
        if self.is_accepting:
            self.is_accepting = False
            self.loop.remove_reader(self.sock.fileno())

    def close(self) -> None:
        """Stop listening."""
        self.pause()
        self.server.acceptors.discard(self)
        for task in self.opening:
            task.cancel()
        self.sock.close()

    def accept_waiting(self) -> None:
        """Accept connections that wait, as long as there is room."""
        for _ in range(MAX_ACCEPTED):
            # Room is made by closing another connection.
            if not self.poll.poll(0):
                return
            if not self.server.has_room():
                self.pause()
                return
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            except OSError as error:
                logger.error("Could not accept.", extra={"error": str(error)})
                self.pause()
                self.loop.call_later(ERROR_PAUSE_S, self.resume)
                return
            connection.setblocking(False)
            task = self.loop.create_task(self._open(connection, self.server.accept()))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def _open(self, connection: socket.socket, handler: GuardedProtocol) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: handler, connection)
        except OSError as error:
            logger.info("Connection not opened.", extra={"error": str(error)})
            connection.close()
        finally:
            self.server.drop(handler)


class AcceptingRunner(web.ServerRunner):
    """Runs a server that accepts connections itself."""

    def __init__(self, server: web.Server, **options: Any) -> None:
        super().__init__(server, **options)
        self.acceptor: Acceptor | None = None

    @property
    def addresses(self) -> list[Any]:
        """Return the addresses that it listens on."""
        return [self.acceptor.sock.getsockname()] if self.acceptor else []

    async def cleanup(self) -> None:
        """Stop listening and close all connections."""
        if self.acceptor is not None:
            self.acceptor.close()
            self.acceptor = None
        await super().cleanup()


def open_listener(address: str, receive_bytes: int) -> socket.socket:
    """Listen on an address whose connections have receive buffers of a size.

    Raises
    ------
    OSError
        If the address is in use or not a local one.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
