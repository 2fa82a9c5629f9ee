"""Limits of what a port for messages of peers holds of its connections."""

from __future__ import annotations

import attrs

from lagoonring.requests.listening import MAX_RECEIVE_BYTES, MIN_RECEIVE_BYTES

STRANGERS_SHARE = 0.2  # of the connections
ADDRESS_SHARE = 0.5  # of the strangers, from one IP address
HELD_SHARE = 0.05  # of the process's memory, for frames that are not whole
RECEIVE_SHARE = 0.02  # and for the receive buffers of strangers
GREETING_TIMEOUT_S = 5.0
FRAME_TIMEOUT_S = 30.0  # from the first byte of a frame to its last
DEFAULT_CONNECTIONS = 1948
DEFAULT_MEMORY_BYTES = 3e8


@attrs.frozen(kw_only=True)
class ReceiveLimits:
    """Limits of a port for messages of peers, for all its connections together.

    A connection is a stranger's until one of its frames has been accepted.

    Parameters
    ----------
    max_connections : int
        Connections at once.
    memory_bytes : float
        Of the process.
    """

    max_connections: int = DEFAULT_CONNECTIONS
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    greeting_timeout_s: float = GREETING_TIMEOUT_S
    frame_timeout_s: float = FRAME_TIMEOUT_S

    @property
    def max_strangers(self) -> int:
        """Return how many connections of strangers there may be."""
        return max(int(STRANGERS_SHARE * self.max_connections), 1)

    @property
    def max_strangers_per_address(self) -> int:
        """Return how many of them may come from one IP address."""
        return max(int(ADDRESS_SHARE * self.max_strangers), 1)

    @property
    def max_held_bytes(self) -> float:
        """Return the bytes that unfinished frames may hold."""
        return HELD_SHARE * self.memory_bytes

    @property
    def receive_bytes(self) -> int:
        """Return the size of a stranger's receive buffer, in bytes."""
        n_bytes = int(RECEIVE_SHARE * self.memory_bytes / self.max_strangers)
        return min(max(n_bytes, MIN_RECEIVE_BYTES), MAX_RECEIVE_BYTES)
