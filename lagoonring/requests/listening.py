"""Sockets of connections: what they hold that is not read, and whether they ended."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonring.requests.guarded import GuardedProtocol

BACKLOG = 1024  # a full queue drops the SYN, which is resent after 1 s
# Of the process's memory, in the receive buffers of all connections.
RECEIVE_SHARE = 0.2
# Most requests fit in one.
MAX_RECEIVE_BYTES = 32768
MIN_RECEIVE_BYTES = 4096
WIDE_RECEIVE_BYTES = 131072  # of a connection on which a long body arrives
N_UNSENT = struct.Struct("i")
WIDE_SHARE = 0.05  # of the memory, in wide buffers
WATCH_INTERVAL_S = 0.2  # between checks of a connection that is not read


def receive_buffer_bytes(memory_bytes: float, n_sockets: int) -> int:
    """Return the size of a connection's receive buffer, in bytes."""
    n_bytes = int(RECEIVE_SHARE * memory_bytes / n_sockets)
    return min(max(n_bytes, MIN_RECEIVE_BYTES), MAX_RECEIVE_BYTES)


def max_wide_connections(memory_bytes: float) -> int:
    """Return how many connections may have a wide receive buffer at once."""
    return int(WIDE_SHARE * memory_bytes / WIDE_RECEIVE_BYTES)


def set_receive_buffer(transport: asyncio.BaseTransport | None, n_bytes: int) -> None:
    """Set the size of a connection's receive buffer, in bytes."""
    if transport is not None:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, n_bytes)


def count_unacknowledged(transport: asyncio.Transport | None) -> int:
    """Return the bytes that the system holds until the peer has received them."""
    if transport is None or transport.is_closing():
        return 0
    sock = transport.get_extra_info("socket")
    n_bytes = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(N_UNSENT.size))
    return int(N_UNSENT.unpack(n_bytes)[0])


def has_left(transport: asyncio.Transport) -> bool:
    """Return whether the peer has ended a connection that is not being read."""
    poll = select.poll()
    sock = transport.get_extra_info("socket")
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def watch_leaving(connection: GuardedProtocol) -> None:
    """Close a connection whose caller leaves while it is held."""
    if connection.is_watched:
        return
    connection.is_watched = True

    def check() -> None:
        connection.is_watched = False
        if connection.transport is None or not connection.is_held:
            return
        if has_left(connection.transport):
            connection.evict()
        else:
            watch_leaving(connection)

    asyncio.get_running_loop().call_later(WATCH_INTERVAL_S, check)
