"""Sends frames to the port of a peer, in the protocol of nanomsg's Push sockets."""

from __future__ import annotations

import asyncio

from lagoonring.peers.sp_frames import LENGTH, PULL_GREETING, PUSH_GREETING

# Frames that the system does not take yet; others wait in the queue of their link.
MAX_UNSENT_BYTES = 65536
MIN_RECONNECT_S = 0.1
MAX_RECONNECT_S = 2.0


class PushConnection(asyncio.Protocol):
    """One connection; it takes frames once both sides have greeted.

    Attributes
    ----------
    lost : asyncio.Event
        Set when the connection has ended.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.lost = asyncio.Event()

    @property
    def is_greeted(self) -> bool:
        """Whether the peer has greeted as a Pull socket."""
        return self.received == PULL_GREETING

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the peer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(PUSH_GREETING)

    def data_received(self, data: bytes) -> None:
        """Read the peer's greeting, behind which it sends nothing."""
        self.received += data
        if not PULL_GREETING.startswith(self.received):
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Send nothing more."""
        self.transport = None
        self.lost.set()

    def try_send(self, frame: bytes) -> bool:
        """Send a frame, unless earlier ones still wait; return whether it was taken."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.is_greeted:
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        transport.write(LENGTH.pack(len(frame)) + frame)
        return True

    def close(self) -> None:
        """End the connection; frames that the system has not taken are lost."""
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()


class PushSocket:
    """Sends frames to one address, and connects again when a connection ends.

    Parameters
    ----------
    address : str
        IP address and port of the peer.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.connection = PushConnection()
        self.connecting: asyncio.Task[None] | None = None

    @property
    def is_connected(self) -> bool:
        """Whether frames can be sent."""
        return self.connection.transport is not None and self.connection.is_greeted

    def dial(self) -> None:
        """Begin to connect."""
        self.connecting = asyncio.create_task(
            self._run(), name=f"connection to {self.address}"
        )

    def try_send(self, frame: bytes) -> bool:
        """Send a frame if there is a connection with room; return whether it was."""
        return self.connection.try_send(frame)

    def close(self) -> None:
        """End the connection and connect no more."""
        if self.connecting is not None:
            self.connecting.cancel()
        self.connection.close()

    async def _run(self) -> None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        pause_s = MIN_RECONNECT_S

        def get_connection() -> PushConnection:
            return self.connection

        while True:
            connection = self.connection = PushConnection()
            try:
                await loop.create_connection(
                    get_connection, host.strip("[]"), int(port)
                )
            except (OSError, ValueError, OverflowError):
                pass  # also no address, or this process has no descriptor left
            else:
                await connection.lost.wait()
                if connection.is_greeted:
                    pause_s = MIN_RECONNECT_S
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RECONNECT_S)
