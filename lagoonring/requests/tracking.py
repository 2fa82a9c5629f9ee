"""What a connection needs of the server that tracks it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.errors import LagoonringError
    from lagoonring.requests.connection_memory import ConnectionMemory
    from lagoonring.requests.guarded import GuardedProtocol
    from lagoonring.requests.turns import Turns


class ConnectionTracker(Protocol):
    """The server of connections.

    Attributes
    ----------
    view : memoryview
        Where bytes are received.
    """

    view: memoryview
    turns: Turns
    memory: ConnectionMemory

    def record_received(self, handler: GuardedProtocol) -> None:
        """Record that a request arrives."""

    def record_progress(self, handler: GuardedProtocol) -> None:
        """Record that a part of a body has arrived, and not the last one."""

    def record_whole(self, handler: GuardedProtocol) -> None:
        """Record that a body has arrived whole, or that it is not read on."""

    def record_unread(self, handler: GuardedProtocol, is_full: bool) -> None:
        """Record that a caller reads no more of its answer, or reads it again."""

    def record_refused(self, handler: GuardedProtocol, error: LagoonringError) -> None:
        """Record that a request is refused whose head has not been read."""

    def make_memory(self, wanting: GuardedProtocol) -> bool:
        """Close others until the rest fits; return if it does."""

    def count_closed(self, reason: str) -> None:
        """Count a connection that is closed after the current request."""

    def head_limit_bytes(self) -> int:
        """Return the longest head, chunk line and trailers."""


@attrs.frozen
class Unread:
    """Bytes of an answer that wait for their caller, and since when."""

    n_bytes: int
    since_s: float


def older_than(
    since: dict[GuardedProtocol, float], end_s: float
) -> Iterator[GuardedProtocol]:
    """Yield the connections that are in a state since a time or longer."""
    for handler, since_s in since.items():
        if since_s > end_s:
            return
        yield handler
