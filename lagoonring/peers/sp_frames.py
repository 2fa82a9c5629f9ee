"""Wire format of nanomsg's scalability protocols over TCP.

Both sides send a greeting that names their protocol. Then each message is its length,
as a 64-bit integer in network byte order, and its content.
"""

from __future__ import annotations

import struct

PUSH, PULL = 0x50, 0x51
LENGTH = struct.Struct("!Q")


def make_greeting(protocol: int) -> bytes:
    """Return the greeting of a protocol."""
    return b"\0SP\0" + struct.pack("!HH", protocol, 0)


PUSH_GREETING = make_greeting(PUSH)
PULL_GREETING = make_greeting(PULL)


class BadFrameError(Exception):
    """The peer sent what is no frame; internal to the package.

    ``reason`` names it in metrics.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class FrameReader:
    """Splits the bytes of a Push socket into frames.

    Attributes
    ----------
    held : bytearray
        The beginning of what has not arrived whole.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.is_greeted = False
        self.held = bytearray()
        self.n_due = len(PUSH_GREETING)

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes; return the frames that are whole now.

        Raises
        ------
        BadFrameError
            If the greeting is not that of a Push socket, or a frame is too long.
        """
        if self.held:
            self.held += data
            if len(self.held) < self.n_due:
                return []
            data = bytes(self.held)
            self.held = bytearray()
        start = 0
        if not self.is_greeted:
            start = len(PUSH_GREETING)
            if data[:start] != PUSH_GREETING[: len(data)]:
                raise BadFrameError("greeting")
            if len(data) < start:
                return self._keep(data, start)
            self.is_greeted = True
        return self._split(data, start)

    def _split(self, data: bytes, start: int) -> list[bytes]:
        frames: list[bytes] = []
        n_bytes = len(data)
        while start + LENGTH.size <= n_bytes:
            (n_frame_bytes,) = LENGTH.unpack_from(data, start)
            if n_frame_bytes > self.limit_bytes:
                raise BadFrameError("frame_too_large")
            content_start = start + LENGTH.size
            end = content_start + n_frame_bytes
            if end > n_bytes:
                self._keep(data[start:], LENGTH.size + n_frame_bytes)
                return frames
            frames.append(data[content_start:end])
            start = end
        self._keep(data[start:], LENGTH.size)
        return frames

    def _keep(self, rest: bytes, n_due: int) -> list[bytes]:
        self.held += rest
        self.n_due = n_due
        return []
