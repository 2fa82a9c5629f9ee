"""A connection on which a peer sends frames."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from time import perf_counter
from typing import TYPE_CHECKING

from lagoonring.peers.sp_frames import PULL_GREETING, BadFrameError, FrameReader

if TYPE_CHECKING:
    from lagoonring.peers.frame_server import FrameServer

READ_BYTES = 32768  # at a time, of one connection
STRANGER_READ_BYTES = 4096
MAX_STRANGER_FRAMES = 16  # in one turn
MEMBER_RECEIVE_BYTES = 65536


class PeerConnection:
    """Reads frames of one connection, a bounded part in each turn of the event loop.

    Parameters
    ----------
    sock : socket.socket
        Accepted and non-blocking.
    ip : str
        Address of the other side.
    now_s : float
        Time on the server's clock.

    Attributes
    ----------
    frames : deque of bytes
        Received and not passed on yet; the connection is not read meanwhile.
    is_member : bool
        Whether a frame of it has been accepted.
    frame_since_s : float or None
        Time since when a frame, or the greeting, has been incomplete.
    """

    def __init__(
        self, server: FrameServer, sock: socket.socket, ip: str, now_s: float
    ) -> None:
        self.server = server
        self.sock = sock
        self.ip = ip
        self.reader = FrameReader(server.frame_limit_bytes)
        self.frames: deque[bytes] = deque()
        self.n_held_bytes = 0
        self.is_member = False
        self.is_closed = False
        self.is_reading = False
        self.opened_s = self.heard_s = now_s
        self.frame_since_s: float | None = now_s

    def open(self) -> None:
        """Begin to read."""
        self.read_on()
        self._read()  # the greeting of a peer has usually arrived

    def read_on(self) -> None:
        """Read what arrives, unless frames wait to be passed on."""
        if not (self.is_reading or self.is_closed or self.frames):
            self.is_reading = True
            asyncio.get_running_loop().add_reader(self.sock, self._read)

    def hold(self) -> None:
        """Read nothing, so that the sender waits."""
        if self.is_reading:
            self.is_reading = False
            asyncio.get_running_loop().remove_reader(self.sock)

    def close(self) -> None:
        """Close the socket and drop what has been received."""
        self.hold()
        self.is_closed = True
        self.sock.close()
        self.frames.clear()

    def take_turn(self) -> None:
        """Pass on frames of a stranger; see `TurnTaker`."""
        if self.is_closed:
            return
        started_s = perf_counter()
        for _ in range(MAX_STRANGER_FRAMES):
            if not self.frames or self.is_member or self.is_closed:
                break
            self.pass_on()
        if self.is_member:
            self.server.deliver(self)
            return
        self.server.turns.charge(perf_counter() - started_s)
        if self.frames:
            self.server.turns.wait(self)
        elif not self.is_closed:
            self.read_on()
        if self.n_held_bytes:
            self.server.count_held(self)

    @property
    def n_unread_bytes(self) -> int:
        """Return the bytes that have been received and not passed on."""
        return len(self.reader.held) + sum(map(len, self.frames))

    def pass_on(self) -> None:
        """Pass the first frame on."""
        if self.server.receive_frame(self.frames.popleft()) and not self.is_member:
            self.is_member = True
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, MEMBER_RECEIVE_BYTES
            )
            self.server.record_member(self)

    def _read(self) -> None:
        n_bytes = READ_BYTES if self.is_member else STRANGER_READ_BYTES
        try:
            data = self.sock.recv(n_bytes)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.server.close(self, "lost")
            return
        if not data:
            self.server.close(self, "ended")
            return
        was_greeted = self.reader.is_greeted
        try:
            self.frames.extend(self.reader.feed(data))
            if self.reader.is_greeted and not was_greeted:
                self.sock.send(PULL_GREETING)
        except (BadFrameError, OSError) as error:
            self.server.close(self, getattr(error, "reason", "lost"))
            return
        self._record_progress()
        if self.frames:
            self.server.deliver(self)
        if self.reader.held or self.frames or self.n_held_bytes:
            self.server.count_held(self)

    def _record_progress(self) -> None:
        now_s = self.server.clock.monotonic()
        if self.frames:
            self.heard_s = now_s
            self.frame_since_s = None
        if not self.reader.held:
            if self.reader.is_greeted:
                self.frame_since_s = None
        elif self.frame_since_s is None:
            self.frame_since_s = now_s
