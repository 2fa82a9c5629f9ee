"""Listens for frames of peers, beside clients that need not behave.

It speaks the protocol of nanomsg's Pull sockets over TCP; nng's own sockets limit
neither the connections that they accept nor what unfinished frames hold together.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from typing import TYPE_CHECKING

from lagoonring.logs.logger import make_logger
from lagoonring.peers.peer_connection import PeerConnection
from lagoonring.requests.accepting import MAX_ACCEPTED, open_listener
from lagoonring.requests.turns import Turns

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable

    from lagoonring.kernel import Clock
    from lagoonring.peers.metrics import PeersMetrics
    from lagoonring.peers.receive_limits import ReceiveLimits

    Receive = Callable[[bytes], bool]

MAX_FRAMES_PER_TURN = 64  # of all members, in one turn of the event loop
SWEEP_INTERVAL_S = 1.0
# A peer sends its first frame in this time. nng's Push socket may crash its process if
# it is closed right after the greetings.
GRACE_S = 0.5
LARGE_FACTOR = 2  # by which an address has far more connections than another
IDLE_FACTOR = 2.0  # a peer closes its unused link itself after ``idle_link_s``

logger = make_logger("peers")


class FrameServer:
    """Accepts connections of peers and passes on their frames.

    If connections or memory run short, those of strangers make room, first those that
    have not greeted, then those that are open for longest. Members are never closed to
    make room, nor strangers for ``GRACE_S``, unless their address has far more
    connections than that of the new one; the new one is then closed without a greeting.

    Parameters
    ----------
    receive : callable
        Is passed every frame; returns whether it was accepted.
    frame_limit_bytes : int
        Longest frame that is read.
    idle_link_s : float
        Time after which peers close a link that they do not use.
    """

    def __init__(
        self,
        receive: Receive,
        clock: Clock,
        metrics: PeersMetrics,
        limits: ReceiveLimits,
        *,
        frame_limit_bytes: int,
        idle_link_s: float,
    ) -> None:
        self.receive = receive
        self.clock = clock
        self.metrics = metrics
        self.limits = limits
        self.frame_limit_bytes = frame_limit_bytes
        self.idle_s = IDLE_FACTOR * idle_link_s
        self.address = ""
        self.sock: socket.socket | None = None
        self.is_accepting = False
        # By the time of their arrival, the oldest first; strangers by their IP address.
        self.members: dict[PeerConnection, None] = {}
        self.strangers: dict[str, dict[PeerConnection, None]] = {}
        self.n_strangers = 0
        self.n_held_bytes = 0
        self.waiting_for_memory: deque[PeerConnection] = deque()
        self.turns = Turns()
        self.ready: deque[PeerConnection] = deque()
        self.n_turn_frames = 0
        self.is_turn_due = False
        self.closed: Counter[str] = Counter()
        self.sweeping: asyncio.Task[None] | None = None

    def start(self, address: str) -> None:
        """Listen on an IP address and port.

        Raises
        ------
        OSError
            If the address is in use or not one of this machine.
        """
        self.sock = open_listener(address, self.limits.receive_bytes)
        host, port = self.sock.getsockname()[:2]
        self.address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self._accept_on()
        self.sweeping = asyncio.create_task(self._run_sweeps(), name="peers sweep")

    async def stop(self) -> None:
        """Close all connections."""
        if self.sweeping is not None:
            self.sweeping.cancel()
            await asyncio.gather(self.sweeping, return_exceptions=True)
        if self.sock is not None:
            self._accept_no_more()
            self.sock.close()
        for connection in self.connections():
            self.close(connection, "stop")

    def connections(self) -> list[PeerConnection]:
        """Return all open connections."""
        strangers = [one for group in self.strangers.values() for one in group]
        return [*self.members, *strangers]

    def receive_frame(self, frame: bytes) -> bool:
        """Pass a frame on; return whether it was accepted."""
        self.metrics.bytes_received.inc(len(frame))
        try:
            return bool(self.receive(frame))
        except Exception:
            logger.exception("Handling a frame failed.")
            return False

    def record_member(self, connection: PeerConnection) -> None:
        """Record that a frame of a stranger has been accepted."""
        self._forget_stranger(connection)
        self.members[connection] = None

    def deliver(self, connection: PeerConnection) -> None:
        """Pass frames on, now or in a later turn; nothing is read until then."""
        if not connection.is_member:
            connection.hold()
            if self.turns.is_free():
                connection.take_turn()
            else:
                self.turns.wait(connection)
            return
        self._schedule_turn()
        while connection.frames and self.n_turn_frames < MAX_FRAMES_PER_TURN:
            self.n_turn_frames += 1
            connection.pass_on()
        if connection.frames:
            connection.hold()
            self.ready.append(connection)
        else:
            self._end_delivery(connection)

    def count_held(self, connection: PeerConnection) -> None:
        """Count what a connection holds; make room, or hold it, if that is too much."""
        if connection.is_closed:
            return
        n_bytes = connection.n_unread_bytes
        self.n_held_bytes += n_bytes - connection.n_held_bytes
        is_more = n_bytes > connection.n_held_bytes
        connection.n_held_bytes = n_bytes
        if is_more:
            self._make_memory(connection)
        else:
            self._release_held()

    def close(self, connection: PeerConnection, reason: str) -> None:
        """Close a connection and forget it."""
        if connection.is_closed:
            return
        connection.close()
        self.turns.forget(connection)
        self.n_held_bytes -= connection.n_held_bytes
        connection.n_held_bytes = 0
        if connection.is_member:
            self.members.pop(connection, None)
        else:
            self._forget_stranger(connection)
        self.closed[reason] += 1
        self.metrics.connections_closed.labels(reason).inc()
        self._release_held()

    def sweep(self) -> None:
        """Close connections that are silent, or slow, for too long."""
        now_s = self.clock.monotonic()
        for connection in self.connections():
            self._check_time(connection, now_s)
        self._accept_on()
        self._log_closed()

    def _check_time(self, connection: PeerConnection, now_s: float) -> None:
        since_s = connection.frame_since_s
        if not connection.reader.is_greeted:
            if now_s - connection.heard_s > self.limits.greeting_timeout_s:
                self.close(connection, "no_greeting")
        elif since_s is not None and now_s - since_s > self.limits.frame_timeout_s:
            self.close(connection, "slow_frame")
        elif now_s - connection.heard_s > self.idle_s:
            self.close(connection, "idle")

    def _accept(self) -> None:
        assert self.sock is not None
        for _ in range(MAX_ACCEPTED):
            try:
                sock, address = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                logger.warning("Accepting failed.", extra={"error": str(error)})
                self._accept_no_more()  # until the next sweep
                return
            sock.setblocking(False)
            now_s = self.clock.monotonic()
            connection = PeerConnection(self, sock, address[0], now_s)
            self.strangers.setdefault(connection.ip, {})[connection] = None
            self.n_strangers += 1
            self._make_room(connection)
            if not connection.is_closed:
                connection.open()

    def _make_room(self, newest: PeerConnection) -> None:
        limits = self.limits
        own = self.strangers[newest.ip]
        patient_s = newest.opened_s - GRACE_S
        if len(own) > limits.max_strangers_per_address:
            self.close(_first_to_go(own, newest, patient_s), "connections")
        n_free = max(limits.max_connections - len(self.members), 0)
        while self.n_strangers > min(limits.max_strangers, n_free):
            group = max(self.strangers.values(), key=len)
            is_far_larger = len(group) > LARGE_FACTOR * len(own)
            before_s = newest.opened_s if is_far_larger else patient_s
            self.close(_first_to_go(group, newest, before_s), "connections")

    def _make_memory(self, wanting: PeerConnection) -> None:
        """Close strangers until the rest fits, or hold a member until it does."""
        while not self._has_memory():
            slowest = self._slowest_stranger(wanting)
            if slowest is None:
                break
            self.close(slowest, "memory")
        if self._has_memory():
            return
        if not wanting.is_member:
            self.close(wanting, "memory")
        elif self._is_frame_arriving(wanting):
            wanting.hold()
            wanting.frame_since_s = None  # its sender owes nothing meanwhile
            self.waiting_for_memory.append(wanting)

    def _has_memory(self) -> bool:
        return self.n_held_bytes <= self.limits.max_held_bytes

    def _is_frame_arriving(self, but: PeerConnection | None = None) -> bool:
        """Return whether an unfinished frame of another member is being read."""
        return any(
            one.n_held_bytes and one.is_reading
            for one in self.members
            if one is not but
        )

    def _slowest_stranger(self, wanting: PeerConnection) -> PeerConnection | None:
        """Return the other stranger that has sent no whole frame for longest."""
        slow = [
            connection
            for group in self.strangers.values()
            for connection in group
            if connection.n_held_bytes and connection is not wanting
        ]
        return min(slow, key=lambda one: one.heard_s, default=None)

    def _release_held(self) -> None:
        while self.waiting_for_memory and (
            self._has_memory() or not self._is_frame_arriving()
        ):
            connection = self.waiting_for_memory.popleft()
            if connection.reader.held:
                connection.frame_since_s = self.clock.monotonic()
            connection.read_on()

    def _forget_stranger(self, connection: PeerConnection) -> None:
        group = self.strangers.get(connection.ip, {})
        if connection in group:
            del group[connection]
            self.n_strangers -= 1
            if not group:
                del self.strangers[connection.ip]

    def _schedule_turn(self) -> None:
        if not self.is_turn_due:
            self.is_turn_due = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        """Pass on frames that wait, one of each connection after the other."""
        self.is_turn_due = False
        self.n_turn_frames = 0
        while self.ready and self.n_turn_frames < MAX_FRAMES_PER_TURN:
            self._schedule_turn()
            connection = self.ready.popleft()
            if connection.is_closed:
                continue
            self.n_turn_frames += 1
            connection.pass_on()
            if connection.frames:
                self.ready.append(connection)
            else:
                self._end_delivery(connection)

    def _end_delivery(self, connection: PeerConnection) -> None:
        if connection.n_held_bytes:
            self.count_held(connection)
        if connection not in self.waiting_for_memory:
            connection.read_on()

    def _accept_on(self) -> None:
        if self.sock is not None and not self.is_accepting:
            self.is_accepting = True
            asyncio.get_running_loop().add_reader(self.sock, self._accept)

    def _accept_no_more(self) -> None:
        if self.sock is not None and self.is_accepting:
            self.is_accepting = False
            asyncio.get_running_loop().remove_reader(self.sock)

    def _log_closed(self) -> None:
        refused = {
            reason: number
            for reason, number in self.closed.items()
            if reason not in ("ended", "lost")
        }
        self.closed.clear()
        if refused:
            logger.warning(
                "Connections of peers closed.",
                extra={
                    "closed": refused,
                    "n_members": len(self.members),
                    "n_strangers": self.n_strangers,
                    "n_held_bytes": self.n_held_bytes,
                },
            )

    async def _run_sweeps(self) -> None:
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_S)
            self.sweep()


def _first_to_go(
    group: Iterable[PeerConnection], newest: PeerConnection, before_s: float
) -> PeerConnection:
    """Return the oldest that has not greeted, or the oldest opened before a time.

    If there is none, the newest goes.
    """
    older = [connection for connection in group if connection is not newest]
    for connection in older:
        if not connection.reader.is_greeted:
            return connection
    if older and older[0].opened_s <= before_s:
        return older[0]
    return newest
