"""Transport of frames between addresses, in the protocol of nng's sockets.

Each instance receives by a `FrameServer`, which peers see as a Pull socket, and sends
through one `PushSocket` per peer, each fed by its own task.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import attrs

from lagoonring.peers.errors import AddressNotUsableError
from lagoonring.peers.frame_server import FrameServer
from lagoonring.peers.push_socket import PushSocket
from lagoonring.peers.receive_limits import ReceiveLimits

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.peers.metrics import PeersMetrics

    Receive = Callable[[bytes], bool]

MAX_QUEUED_FRAMES = 256
MAX_QUEUED_BYTES = 4 << 20
# A connection request to an instance without power is retransmitted after 1, 3 and
# 7 s; a new one reaches it sooner after its return.
REDIAL_S = 1.0
MIN_POLL_S = 0.002
MAX_POLL_S = 0.05


class LinkOptions(Protocol):
    """Options of a transport; times in seconds."""

    @property
    def address(self) -> str:
        """IP address and port to listen on."""

    @property
    def connect_timeout_s(self) -> float:
        """Maximum time that a frame waits for a connection."""

    @property
    def idle_link_s(self) -> float:
        """Time after which an unused link is closed."""

    @property
    def frame_limit_bytes(self) -> int:
        """Maximum size of an accepted frame."""


class Transport(Protocol):
    """Network interface of the service; tests pass an in-memory one."""

    address: str

    async def start(self, receive: Receive) -> None:
        """Listen, and pass every frame received to ``receive``.

        It returns whether the frame is that of a peer.
        """

    def set_limits(self, limits: ReceiveLimits) -> None:
        """Set the limits of what is received."""

    def post(
        self, address: str, frame: bytes, on_unsent: Callable[[], None] | None = None
    ) -> None:
        """Queue a frame; ``on_unsent`` is called if it was provably not sent."""

    def reconnect(self, address: str) -> None:
        """Replace the connection to a peer that has returned, if there is one."""

    async def stop(self) -> None:
        """Close all sockets."""


@attrs.define
class QueuedFrame:
    """A frame waiting to be sent to a peer."""

    frame: bytes
    due_s: float
    on_unsent: Callable[[], None] | None

    def report_unsent(self, metrics: PeersMetrics) -> None:
        """Count the frame as unsent and notify its sender."""
        metrics.frames_unsent.inc()
        if self.on_unsent is not None:
            self.on_unsent()


class PeerLink:
    """Connection to one peer, with its queue of frames."""

    def __init__(
        self, address: str, clock: Clock, options: LinkOptions, metrics: PeersMetrics
    ) -> None:
        self.metrics = metrics
        self.address = address
        self.clock = clock
        self.options = options
        self.queue: deque[QueuedFrame] = deque()
        self.n_queued_bytes = 0
        self.frame_queued = asyncio.Event()
        self.socket = PushSocket(address)
        self.dialed_s: float | None = None

    def post(self, queued: QueuedFrame) -> None:
        """Queue a frame; drop the oldest frames if the queue is full."""
        size = len(queued.frame)
        while self.queue and (
            len(self.queue) >= MAX_QUEUED_FRAMES
            or self.n_queued_bytes + size > MAX_QUEUED_BYTES
        ):
            self._pop().report_unsent(self.metrics)
        self.queue.append(queued)
        self.n_queued_bytes += size
        self.frame_queued.set()

    async def run(self) -> None:
        """Send queued frames until the link has been idle for ``idle_link_s``."""
        try:
            self._dial()
            while await self._wait_for_frame():
                await self._send_first()
        finally:
            self.close()

    def reconnect(self) -> None:
        """Dial with a new socket; frames in the old one are lost."""
        if self.dialed_s is None:
            return
        self.socket.close()
        self.socket = PushSocket(self.address)
        self._dial()

    def close(self) -> None:
        """Close the socket and drop all queued frames."""
        self.socket.close()
        while self.queue:
            self._pop().report_unsent(self.metrics)

    def _is_dial_late(self, now_s: float) -> bool:
        """Return whether a connection is missing ``REDIAL_S`` after its request."""
        if self.socket.is_connected or self.dialed_s is None:
            return False
        return now_s - self.dialed_s >= REDIAL_S

    def _dial(self) -> None:
        self.dialed_s = self.clock.monotonic()
        self.socket.dial()

    def _pop(self) -> QueuedFrame:
        queued = self.queue.popleft()
        self.n_queued_bytes -= len(queued.frame)
        return queued

    async def _wait_for_frame(self) -> bool:
        while not self.queue:
            self.frame_queued.clear()
            # asyncio.wait_for in Python 3.11 loses a cancellation that coincides
            # with the event, so asyncio.timeout is used instead.
            try:
                async with asyncio.timeout(self.options.idle_link_s):
                    await self.frame_queued.wait()
            except TimeoutError:
                return False
        return True

    async def _send_first(self) -> None:
        delay_s = MIN_POLL_S
        while self.queue:
            queued = self.queue[0]
            if self._try_send(queued.frame):
                self._pop()
                return
            now_s = self.clock.monotonic()
            if now_s >= queued.due_s:
                self._pop().report_unsent(self.metrics)
                if self._is_dial_late(now_s):
                    self.reconnect()
                return
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_POLL_S)

    def _try_send(self, frame: bytes) -> bool:
        if not self.socket.try_send(frame):
            return False
        self.metrics.frames_sent.inc()
        self.metrics.bytes_sent.inc(len(frame))
        return True


class FrameTransport:
    """Transport of frames over TCP.

    Parameters
    ----------
    clock : Clock
        Source of time for connection timeouts of frames.
    options : LinkOptions
        ``address`` is the address to listen on; after :meth:`start`, the attribute
        ``address`` of the transport has the actual port.
    """

    def __init__(
        self, clock: Clock, options: LinkOptions, metrics: PeersMetrics
    ) -> None:
        self.metrics = metrics
        self.clock = clock
        self.options = options
        self.address = options.address
        self.links: dict[str, PeerLink] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.limits = ReceiveLimits()
        self.server: FrameServer | None = None

    async def start(self, receive: Receive) -> None:
        """Listen, and pass every frame received to ``receive``.

        Raises
        ------
        AddressNotUsableError
            If the address is in use or not one of this machine.
        """
        server = FrameServer(
            receive,
            self.clock,
            self.metrics,
            self.limits,
            frame_limit_bytes=self.options.frame_limit_bytes + 1,
            idle_link_s=self.options.idle_link_s,
        )
        try:
            server.start(self.options.address)
        except (OSError, OverflowError) as error:
            raise AddressNotUsableError(
                f"Got {error} for peers address {self.options.address}, "
                "expected a free address of this machine.",
                remedy="Correct peers.address, or end the process that has it.",
            ) from error
        self.server = server
        self.address = server.address

    def set_limits(self, limits: ReceiveLimits) -> None:
        """Set the limits of what is received."""
        self.limits = limits
        if self.server is not None:
            self.server.limits = limits

    def post(
        self, address: str, frame: bytes, on_unsent: Callable[[], None] | None = None
    ) -> None:
        """Queue a frame, opening a link to the peer if there is none yet."""
        due_s = self.clock.monotonic() + self.options.connect_timeout_s
        queued = QueuedFrame(frame, due_s, on_unsent)
        if self.server is None:
            queued.report_unsent(self.metrics)
            return
        link = self.links.get(address)
        if link is None:
            link = self._open(address)
        link.post(queued)

    def reconnect(self, address: str) -> None:
        """Replace the connection to a peer that has returned, if there is one."""
        link = self.links.get(address)
        if link is not None:
            link.reconnect()

    async def stop(self) -> None:
        """Close all sockets."""
        server = self.server
        self.server = None
        if server is not None:
            await server.stop()
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for link in self.links.values():
            link.close()

    def _open(self, address: str) -> PeerLink:
        link = PeerLink(address, self.clock, self.options, self.metrics)
        self.links[address] = link
        task = asyncio.create_task(self._run(link), name=f"peer {address}")
        self.tasks[address] = task
        return link

    async def _run(self, link: PeerLink) -> None:
        try:
            await link.run()
        finally:
            link.close()
            if self.links.get(link.address) is link:
                del self.links[link.address]
                del self.tasks[link.address]
