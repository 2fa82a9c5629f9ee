"""Bounds what all requests together hold in memory.

A faulty endpoint may send without end, and one answer is small beside what many of
them hold. When the memory for answers is used up, the longest one is given up, which
is hardly ever a sound one.

An upload may stop short of its end and stay, and a caller may not read its answer. When
the memory is used up, those that have made no progress for some time are given up.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import EndpointCutError
from lagoonring.logs import make_logger
from lagoonring.serving.errors import OverloadError

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from lagoonring.errors import LagoonringError
    from lagoonring.serving.requests import Sink

MEMORY_SHARE = 0.15  # of the process; copies and buffers of the system need more
DEFAULT_LIMIT_BYTES = 45_000_000
FULL_RETRY_S = 0.3
RESERVED_SHARE = 0.05  # for short bodies
SHORT_BODY_BYTES = 65536
# An upload that receives less than these bytes in this time may be given up.
PROGRESS_BYTES = 16384
STALLED_S = 1.0  # likewise an answer of which nothing is read for longer

logger = make_logger("buffers")


class BufferPool:
    """The memory that answers and callers' bodies share.

    Parameters
    ----------
    limit_bytes : int
        What all of them may hold.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.clock = clock
        self.n_bytes = 0
        self.buffers: set[Buffer] = set()
        # By the time of their last progress, the longest ago first.
        self.uploads: dict[Buffer, float] = {}
        self.whole: dict[Buffer, Sink] = {}  # answers that are being sent

    def set_memory(self, memory_bytes: float) -> None:
        """Set the limit from the memory that the process may use."""
        self.limit_bytes = int(MEMORY_SHARE * memory_bytes)

    def open(self, cut: Callable[[], None] | None = None) -> Buffer:
        """Return a buffer without content; a context manager.

        Parameters
        ----------
        cut : callable or None
            Ends the answer that fills the buffer. Without it the buffer is kept, and
            one more byte than fits is an error.
        """
        return Buffer(self, cut)

    def make_room(self, wanting: Buffer) -> bool:
        """Cut the longest answers until the rest fits; return if ``wanting`` stays.

        Whole answers that are not read go first.
        """
        self._free_unread(self.n_bytes - self.limit_bytes)
        while self.n_bytes > self.limit_bytes:
            longest = max(
                (buffer for buffer in self.buffers if buffer.cut is not None),
                key=lambda buffer: buffer.n_bytes,
                default=wanting,
            )
            self._log("Answer given up, memory is used up.", longest)
            longest.evict()
            if longest is wanting:
                return False
        return True

    def fits_body(self, wanting: Buffer, n_bytes: int) -> bool:
        """Return if a body may hold ``n_bytes``; give up stalled uploads for it."""
        limit_bytes = float(self.limit_bytes)
        if n_bytes > SHORT_BODY_BYTES:
            limit_bytes *= 1.0 - RESERVED_SHARE
        n_others = self.n_bytes - wanting.n_bytes
        if n_others + n_bytes <= limit_bytes:
            return True
        for stalled in self._stalled_uploads():
            if stalled is not wanting:
                n_others -= stalled.n_bytes
                self._give_up(stalled)
                if n_others + n_bytes <= limit_bytes:
                    return True
        n_others -= self._free_unread(n_others + n_bytes - limit_bytes)
        return n_others + n_bytes <= limit_bytes

    def _free_unread(self, n_bytes: float) -> int:
        """Give up answers that are not read; return the bytes that this freed."""
        if n_bytes <= 0:
            return 0
        n_freed = 0
        longest = sorted(self.whole, key=lambda buffer: buffer.n_bytes, reverse=True)
        for buffer in longest:
            if n_freed >= n_bytes:
                break
            if self.whole[buffer].unread_s() > STALLED_S:
                n_freed += buffer.n_bytes
                self._log("Answer given up, its caller does not read.", buffer)
                buffer.withdraw()
        return n_freed

    def _stalled_uploads(self) -> list[Buffer]:
        """Return the uploads without progress, by what they hold for how long."""
        now_s = self.clock()
        stalled: list[tuple[float, Buffer]] = []
        for buffer, progress_s in self.uploads.items():
            if now_s - progress_s < STALLED_S:
                break
            stalled.append((buffer.n_bytes * (now_s - progress_s), buffer))
        stalled.sort(key=lambda entry: entry[0], reverse=True)
        return [buffer for _, buffer in stalled]

    def _give_up(self, buffer: Buffer) -> None:
        self._log("Upload given up, memory is used up.", buffer)
        buffer.give_up()

    def _log(self, message: str, buffer: Buffer) -> None:
        logger.warning(
            message,
            extra={
                "n_bytes": buffer.n_bytes,
                "n_bytes_all": self.n_bytes,
                "n_buffers": len(self.buffers),
                "limit_bytes": self.limit_bytes,
            },
        )


class Buffer:
    """What one request holds; see `BufferPool.open`."""

    def __init__(self, pool: BufferPool, cut: Callable[[], None] | None) -> None:
        self.pool = pool
        self.cut = cut
        self.n_bytes = 0
        self.n_progress_bytes = 0
        self.fail_upload: Callable[[LagoonringError], None] | None = None

    def __enter__(self) -> Buffer:
        self.pool.buffers.add(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.end_upload()
        self._set(0)
        self.pool.whole.pop(self, None)
        self.pool.buffers.discard(self)

    def begin_upload(self, fail: Callable[[LagoonringError], None]) -> None:
        """Expect a caller's body.

        Parameters
        ----------
        fail : callable
            Ends the upload with an error, once its room is needed and it has stalled.
        """
        self.fail_upload = fail
        self.n_progress_bytes = 0
        self.pool.uploads[self] = self.pool.clock()

    def end_upload(self) -> None:
        """Keep the body, which is whole."""
        self.pool.uploads.pop(self, None)

    def hold(self, n_bytes: int) -> None:
        """Set what is held of an answer; raises `EndpointCutError` if too much."""
        self._set(n_bytes)
        if not self.pool.make_room(self):
            raise EndpointCutError(
                f"Got {n_bytes} bytes of an answer beside {len(self.pool.buffers) - 1} "
                f"others, expected at most {self.pool.limit_bytes} of all.",
                remedy="Repeat the request only if it is idempotent.",
            )

    def hold_body(self, n_bytes: int) -> None:
        """Set what is held of a caller's body; raises `OverloadError` if too much."""
        if not self.pool.fits_body(self, n_bytes):
            raise _no_room(n_bytes, len(self.pool.buffers) - 1)
        self._set(n_bytes)
        if (
            n_bytes - self.n_progress_bytes >= PROGRESS_BYTES
            and self in self.pool.uploads
        ):
            self.n_progress_bytes = n_bytes
            del self.pool.uploads[self]
            self.pool.uploads[self] = self.pool.clock()

    def give_up(self) -> None:
        """Give up an upload, and what is held of it."""
        n_bytes = self.n_bytes
        self._set(0)
        self.end_upload()
        if self.fail_upload is not None:
            self.fail_upload(_no_room(n_bytes, len(self.pool.buffers) - 1))

    def keep(self, sink: Sink | None = None) -> None:
        """Keep the answer, which is whole, until it has been sent.

        Parameters
        ----------
        sink : Sink or None
            Sends it; if its caller does not read, it is aborted once room is needed.
        """
        self.cut = None
        if sink is not None:
            self.pool.whole[self] = sink

    def withdraw(self) -> None:
        """Abort an answer that is being sent, and free what is held of it."""
        self._set(0)
        self.pool.whole.pop(self).abort()

    def evict(self) -> None:
        """Give up the answer, and what is held of it."""
        self._set(0)
        cut, self.cut = self.cut, None
        if cut is not None:
            cut()

    def _set(self, n_bytes: int) -> None:
        self.pool.n_bytes += n_bytes - self.n_bytes
        self.n_bytes = n_bytes


def _no_room(n_bytes: int, n_others: int) -> OverloadError:
    return OverloadError(
        f"Got {n_bytes} bytes of a body beside {n_others} others, expected fewer "
        "(no_memory).",
        remedy="Send it again after the time told.",
        retry_after_s=FULL_RETRY_S,
    )
