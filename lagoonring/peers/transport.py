"""Carries frames between addresses: the pynng sockets of an instance.

Each instance listens with one Pull socket and sends through one Push socket per
peer, which a task of its own feeds. Sockets are read and written without
blocking when their descriptors say so; this takes about a third of the
processor time of pynng's own coroutines.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import attrs
import pynng

from lagoonring.logs.logger import make_logger
from lagoonring.peers.errors import AddressNotUsableError

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.peers.metrics import PeersMetrics

    Receive = Callable[[bytes], None]

N_QUEUED_MOST = 256
QUEUED_LIMIT_BYTES = 4 << 20
N_READ_AT_ONCE = 64
RECEIVE_BUFFER_FRAMES = 64
SEND_BUFFER_FRAMES = 8
RECONNECT_LEAST_MS = 100
RECONNECT_MOST_MS = 2000
POLL_LEAST_S = 0.002
POLL_MOST_S = 0.05

logger = make_logger("peers")


class LinkOptions(Protocol):
    """Options of a transport; times in seconds."""

    @property
    def address(self) -> str:
        """IP number and port to listen on."""

    @property
    def connect_timeout_s(self) -> float:
        """How long a frame waits for a connection."""

    @property
    def idle_link_s(self) -> float:
        """Time after which an unused link is closed."""

    @property
    def frame_limit_bytes(self) -> int:
        """Largest frame accepted."""


class Transport(Protocol):
    """What the service needs of its network; tests pass one in memory."""

    address: str

    async def start(self, receive: Receive) -> None:
        """Listen, and give every frame that comes to ``receive``."""

    def post(
        self, address: str, frame: bytes, on_unsent: Callable[[], None] | None = None
    ) -> None:
        """Send a frame; ``on_unsent`` is called if it provably was not sent."""

    async def stop(self) -> None:
        """Close all sockets."""


@attrs.define
class Posted:
    """A frame that waits for its peer."""

    frame: bytes
    due_s: float
    on_unsent: Callable[[], None] | None

    def give_up(self, metrics: PeersMetrics) -> None:
        """Report that the frame was not sent."""
        metrics.frames_unsent.inc()
        if self.on_unsent is not None:
            self.on_unsent()


class PeerLink:
    """The connection to one peer and the frames that wait for it."""

    def __init__(
        self, address: str, clock: Clock, options: LinkOptions, metrics: PeersMetrics
    ) -> None:
        self.metrics = metrics
        self.address = address
        self.clock = clock
        self.options = options
        self.waiting: deque[Posted] = deque()
        self.n_waiting_bytes = 0
        self.wakened = asyncio.Event()
        self.socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_FRAMES,
            reconnect_time_min=RECONNECT_LEAST_MS,
            reconnect_time_max=RECONNECT_MOST_MS,
        )

    def post(self, posted: Posted) -> None:
        """Queue a frame; those that waited longest give way when full."""
        size = len(posted.frame)
        while self.waiting and (
            len(self.waiting) >= N_QUEUED_MOST
            or self.n_waiting_bytes + size > QUEUED_LIMIT_BYTES
        ):
            self._take().give_up(self.metrics)
        self.waiting.append(posted)
        self.n_waiting_bytes += size
        self.wakened.set()

    async def run(self) -> None:
        """Send queued frames until the link has been idle for long."""
        try:
            self.socket.dial(f"tcp://{self.address}", block=False)
            while await self._wait_for_frame():
                await self._send_first()
        except pynng.NNGException as error:
            logger.warning("Link to {} failed: {}.", self.address, error)
        finally:
            self.close()

    def close(self) -> None:
        """Close the socket and give up what waits."""
        self.socket.close()
        while self.waiting:
            self._take().give_up(self.metrics)

    def _take(self) -> Posted:
        posted = self.waiting.popleft()
        self.n_waiting_bytes -= len(posted.frame)
        return posted

    async def _wait_for_frame(self) -> bool:
        while not self.waiting:
            self.wakened.clear()
            # asyncio.wait_for of Python 3.11 loses a cancellation that comes
            # together with the event.
            try:
                async with asyncio.timeout(self.options.idle_link_s):
                    await self.wakened.wait()
            except TimeoutError:
                return False
        return True

    async def _send_first(self) -> None:
        delay_s = POLL_LEAST_S
        while self.waiting:
            posted = self.waiting[0]
            if self._try_send(posted.frame):
                self._take()
                return
            if self.clock.monotonic() >= posted.due_s:
                self._take().give_up(self.metrics)
                return
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, POLL_MOST_S)

    def _try_send(self, frame: bytes) -> bool:
        if not self.socket.pipes:
            return False
        try:
            self.socket.send(frame, block=False)
        except pynng.TryAgain:
            return False
        self.metrics.frames_sent.inc()
        self.metrics.bytes_sent.inc(len(frame))
        return True


class NngTransport:
    """Frames over TCP by pynng.

    Parameters
    ----------
    clock : Clock
        Times how long frames wait for a connection.
    options : LinkOptions
        ``address`` is listened on; after :meth:`start` the attribute ``address``
        has the port in use.
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
        self.socket: pynng.Pull0 | None = None
        self.descriptor = -1
        self.receive: Receive | None = None

    async def start(self, receive: Receive) -> None:
        """Listen, and give every frame that comes to ``receive``.

        Raises
        ------
        AddressNotUsableError
            If the address is in use or not one of this machine.
        """
        self.receive = receive
        self.socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_FRAMES,
            recv_max_size=self.options.frame_limit_bytes + 1,
        )
        try:
            listener = self.socket.listen(f"tcp://{self.options.address}")
        except pynng.NNGException as error:
            self.socket.close()
            self.socket = None
            raise AddressNotUsableError(
                f"Got {error} for peers address {self.options.address}, "
                "expected a free address of this machine.",
                remedy="Correct peers.address, or end the process that has it.",
            ) from error
        self.address = str(listener.local_address).removeprefix("tcp://")
        self.descriptor = self.socket.recv_fd
        asyncio.get_running_loop().add_reader(self.descriptor, self._read)

    def post(
        self, address: str, frame: bytes, on_unsent: Callable[[], None] | None = None
    ) -> None:
        """Send a frame, dialling the peer if there is no link to it yet."""
        due_s = self.clock.monotonic() + self.options.connect_timeout_s
        posted = Posted(frame, due_s, on_unsent)
        if self.socket is None:
            posted.give_up(self.metrics)
            return
        link = self.links.get(address)
        if link is None:
            link = self._open(address)
        link.post(posted)

    async def stop(self) -> None:
        """Close all sockets."""
        socket = self.socket
        self.socket = None
        if socket is not None:
            asyncio.get_running_loop().remove_reader(self.descriptor)
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for link in self.links.values():
            link.close()
        if socket is not None:
            socket.close()

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

    def _read(self) -> None:
        for _ in range(N_READ_AT_ONCE):
            if self.socket is None or self.receive is None:
                return
            try:
                frame = self.socket.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                logger.warning("Reading from peers failed: {}.", error)
                return
            self.metrics.bytes_received.inc(len(frame))
            self.receive(frame)
