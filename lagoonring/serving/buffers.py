"""Bounds what all requests together hold in memory.

A faulty endpoint may send without end, and one answer is small beside what many of
them hold. When the memory for answers is used up, the longest one is given up, which
is hardly ever a sound one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.endpoints.errors import EndpointCutError
from lagoonring.logs import make_logger
from lagoonring.serving.errors import OverloadError

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

MEMORY_SHARE = 0.15  # of the process; copies and buffers of the system need more
DEFAULT_LIMIT_BYTES = 45_000_000
FULL_RETRY_S = 0.3

logger = make_logger("buffers")


class BufferPool:
    """The memory that answers and callers' bodies share.

    Parameters
    ----------
    limit_bytes : int
        What all of them may hold.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.n_bytes = 0
        self.buffers: set[Buffer] = set()

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
        """Cut the longest answers until the rest fits; return if ``wanting`` stays."""
        while self.n_bytes > self.limit_bytes:
            longest = max(
                (buffer for buffer in self.buffers if buffer.cut is not None),
                key=lambda buffer: buffer.n_bytes,
                default=wanting,
            )
            logger.warning(
                "Answer given up, memory is used up.",
                extra={
                    "n_bytes": longest.n_bytes,
                    "n_bytes_all": self.n_bytes,
                    "n_buffers": len(self.buffers),
                    "limit_bytes": self.limit_bytes,
                },
            )
            longest.evict()
            if longest is wanting:
                return False
        return True


class Buffer:
    """What one request holds; see `BufferPool.open`."""

    def __init__(self, pool: BufferPool, cut: Callable[[], None] | None) -> None:
        self.pool = pool
        self.cut = cut
        self.n_bytes = 0

    def __enter__(self) -> Buffer:
        self.pool.buffers.add(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._set(0)
        self.pool.buffers.discard(self)

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
        if self.pool.n_bytes - self.n_bytes + n_bytes > self.pool.limit_bytes:
            raise OverloadError(
                f"Got {n_bytes} bytes of a body beside {len(self.pool.buffers) - 1} "
                "others, expected fewer (no_memory).",
                remedy="Send it again after the time told.",
                retry_after_s=FULL_RETRY_S,
            )
        self._set(n_bytes)

    def keep(self) -> None:
        """Keep the answer, which is whole, until it has been sent."""
        self.cut = None

    def evict(self) -> None:
        """Give up the answer, and what is held of it."""
        self._set(0)
        cut, self.cut = self.cut, None
        if cut is not None:
            cut()

    def _set(self, n_bytes: int) -> None:
        self.pool.n_bytes += n_bytes - self.n_bytes
        self.n_bytes = n_bytes
