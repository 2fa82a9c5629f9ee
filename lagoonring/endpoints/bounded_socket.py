"""Sockets that read little at a time, and no head of an answer without end.

The HTTP library parses all that it receives at once, and reads interim answers
(``100 Continue``) for as long as they come.
"""

from __future__ import annotations

import errno
import fcntl
import re
import socket
import struct
import termios
from typing import TYPE_CHECKING, Any
from weakref import WeakValueDictionary, ref

from lagoonring.endpoints.answer_heads import (
    BrokenHeadError,
    check_line_ends,
    read_status,
)
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

# In one turn of the event loop; parsing a head takes longer than passing on a body.
MAX_HEAD_READ_BYTES = 16384
MAX_READ_BYTES = 65536
MAX_HEAD_BYTES = 65536  # of the heads of an answer, the interim ones included
MAX_INTERIM_ANSWERS = 8
END_OF_HEAD = re.compile(rb"\r?\n\r?\n")
N_END_BYTES = 4
FIRST_FINAL_STATUS = 200
N_UNSENT = struct.Struct("i")

logger = make_logger("answers")

# The event loop hands out a wrapper of a socket; descriptors tell which one it is.
by_descriptor: WeakValueDictionary[int, BoundedSocket] = WeakValueDictionary()


class EndlessHeadError(ConnectionAbortedError):
    """An answer whose head does not end."""


class EarlyEndError(ConnectionResetError):
    """A connection that its peer ended before it had received the whole request."""

    def __init__(self) -> None:
        super().__init__(
            errno.ECONNRESET,
            "Got the end of the connection, expected it after the request.",
        )


class HeadCheck:
    """Reads the heads of one answer up to the final one."""

    def __init__(self) -> None:
        self.buffer = b""
        self.n_bytes = 0
        self.n_interim = 0

    def feed(self, data: bytes) -> bool:
        """Read received bytes; return whether the final head has ended.

        Raises
        ------
        EndlessHeadError
            If there are too many bytes, or interim answers, before its end.
        BrokenHeadError
            If a head is not one of HTTP/1.1.
        """
        # The last bytes before may be the begin of an end.
        position = max(len(self.buffer) - N_END_BYTES, 0)
        self.buffer += data
        self.n_bytes += len(data)
        while (end := END_OF_HEAD.search(self.buffer, position)) is not None:
            if read_status(self.buffer[: end.end()]) >= FIRST_FINAL_STATUS:
                return True
            self.n_interim += 1
            self.buffer = self.buffer[end.end() :]
            position = 0
            if self.n_interim > MAX_INTERIM_ANSWERS:
                break
        check_line_ends(self.buffer, position)
        if self.n_bytes > MAX_HEAD_BYTES or self.n_interim > MAX_INTERIM_ANSWERS:
            raise EndlessHeadError(
                errno.ECONNABORTED,
                f"Got {self.n_bytes} bytes and {self.n_interim} interim answers "
                "without the head of an answer.",
            )
        return False


class BoundedSocket(socket.socket):
    """A socket of a connection on which answers arrive."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.head: HeadCheck | None = None
        self.transport: Callable[[], asyncio.Transport | None] = lambda: None
        by_descriptor[self.fileno()] = self

    @property
    def address(self) -> str | None:
        """Address and port of the peer, None if the connection has ended."""
        try:
            host, port = self.getpeername()[:2]
        except OSError:
            return None
        return f"{host}:{port}"

    def expect_head(self, transport: asyncio.Transport) -> None:
        """Check the head of the next answer, to a request that a transport sends."""
        self.head = HeadCheck()
        self.transport = ref(transport)

    def is_sending(self) -> bool:
        """Return whether bytes are left that the peer has not acknowledged."""
        transport = self.transport()
        if transport is not None and transport.get_write_buffer_size():
            return True
        unsent = fcntl.ioctl(self.fileno(), termios.TIOCOUTQ, bytes(N_UNSENT.size))
        return N_UNSENT.unpack(unsent)[0] > 0

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receive some bytes.

        Raises
        ------
        EarlyEndError
            If the peer ends the connection and has not received all of the request.
            A body without a length that ends so may be a part of one.
        EndlessHeadError, BrokenHeadError
            As of `HeadCheck.feed`.
        """
        limit_bytes = MAX_READ_BYTES if self.head is None else MAX_HEAD_READ_BYTES
        data = super().recv(min(size, limit_bytes), flags)
        if not data and size and self.is_sending():
            logger.warning(
                "A connection ended before its request was delivered.",
                extra={"address": self.address},
            )
            raise EarlyEndError
        if self.head is None:
            return data
        try:
            if self.head.feed(data):
                self.head = None
        except BrokenHeadError as error:
            logger.warning(
                "Dropped a broken answer.",
                extra={"address": self.address, "error": error.strerror},
            )
            raise
        return data


def make_bounded_socket(info: tuple) -> BoundedSocket:
    """Return a non-blocking socket for an address as of ``socket.getaddrinfo``."""
    family, socket_type, protocol, _, _ = info
    sock = BoundedSocket(family, socket_type, protocol)
    sock.setblocking(False)
    return sock


def expect_head(transport: asyncio.Transport | None) -> None:
    """Check the head of the next answer on a connection, if its socket can.

    A socket can't read what TLS encrypts.
    """
    if transport is None or transport.get_extra_info("sslcontext") is not None:
        return
    sock = transport.get_extra_info("socket")
    bounded = None if sock is None else by_descriptor.get(sock.fileno())
    if bounded is not None:
        bounded.expect_head(transport)
