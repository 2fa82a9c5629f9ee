"""What all connections of callers together hold before requests are served."""

from __future__ import annotations

import asyncio

from lagoonring.requests.listening import (
    WIDE_RECEIVE_BYTES,
    max_wide_connections,
    receive_buffer_bytes,
    set_receive_buffer,
)

HELD_SHARE = 0.1  # of the process's memory, for bytes that wait to be parsed
FIELDS_SHARE = 0.05  # and for heads of many fields
TURN_SHARE = 0.02  # and for what is read in one turn of the event loop
LONG_READ_BYTES = 4096  # shorter reads do not count
SHORT_READ_BYTES = 256  # once a turn has read its share


class ConnectionMemory:
    """Counts what connections hold, and limits it by the process's memory.

    Parameters
    ----------
    n_sockets : int
        Most connections at once.
    memory_bytes : float
        Of the process.
    """

    def __init__(self, n_sockets: int, memory_bytes: float) -> None:
        self.set_limits(n_sockets, memory_bytes)
        self.n_held_bytes = 0
        self.n_field_bytes = 0
        self.n_turn_bytes = 0
        self.wide: dict[object, asyncio.Transport] = {}

    def set_limits(self, n_sockets: int, memory_bytes: float) -> None:
        """Set the limits, which hold for new connections."""
        self.receive_bytes = receive_buffer_bytes(memory_bytes, n_sockets)
        self.max_wide = max_wide_connections(memory_bytes)
        self.max_held_bytes = HELD_SHARE * memory_bytes
        self.max_field_bytes = FIELDS_SHARE * memory_bytes
        self.max_turn_bytes = TURN_SHARE * memory_bytes

    @property
    def is_full(self) -> bool:
        """Return whether more bytes wait to be parsed than there is room for."""
        return self.n_held_bytes > self.max_held_bytes

    def count_read(self, n_bytes: int) -> None:
        """Count a long read, which its request takes in a later turn of the loop."""
        if not self.n_turn_bytes:
            asyncio.get_running_loop().call_soon(self._end_turn)
        self.n_turn_bytes += n_bytes

    def _end_turn(self) -> None:
        self.n_turn_bytes = 0

    def hold(self, n_more: int) -> None:
        """Count bytes that wait to be parsed; a negative number frees them."""
        self.n_held_bytes += n_more

    def hold_fields(self, n_more: int) -> bool:
        """Count what parsed heads hold, if there is room; return whether there is."""
        if n_more > 0 and self.n_field_bytes + n_more > self.max_field_bytes:
            return False
        self.n_field_bytes += n_more
        return True

    def widen(self, connection: object, transport: asyncio.Transport | None) -> None:
        """Let a connection receive faster, as far as there is room."""
        if transport is None or connection in self.wide:
            return
        if len(self.wide) < self.max_wide:
            self.wide[connection] = transport
            set_receive_buffer(transport, WIDE_RECEIVE_BYTES)

    def narrow(self, connection: object) -> None:
        """Let a connection receive no faster than others."""
        transport = self.wide.pop(connection, None)
        if transport is not None and not transport.is_closing():
            set_receive_buffer(transport, self.receive_bytes)
