"""Callers' connections: how long they may stay open, and how many there may be."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from lagoonring.logs import make_logger
from lagoonring.platform.socket_shares import n_spare_sockets
from lagoonring.requests.accepting import AcceptingRunner, Acceptor, open_listener
from lagoonring.requests.connection_memory import ConnectionMemory
from lagoonring.requests.errors import slow_sender_error
from lagoonring.requests.guarded import READ_BYTES, GuardedProtocol
from lagoonring.requests.tracking import Unread, older_than
from lagoonring.requests.turns import Turns

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from prometheus_client import Counter

    from lagoonring.errors import LagoonringError
    from lagoonring.kernel import Clock

SWEEP_INTERVAL_S = 1.0
ENDPOINT_IDLE_S = 3.0  # for which connections to endpoints are kept
# Without progress, uploads and the rest of answers make room for other connections.
STALLED_S = 1.0
MAX_DEFERRED = 64  # connections that are looked at to find an unused one
LINGER_TIMEOUT_S = 2.0  # keep reading a refused body, so its sender gets the answer
MAX_HEADER_BYTES = 16384  # the platform's default limit for a request head
MIN_FIELD_BYTES = len(b"a:\r\n")
READ_BUFFER_BYTES = 16384  # per connection; most bodies are shorter
# The HTTP library's own timeout; connections are closed earlier, by configuration.
LIBRARY_TIMEOUT_S = 3600.0

logger = make_logger("callers")


class CallerConnections(web.Server):
    """HTTP server that closes idle connections in time.

    A request needs a second socket, the one to its endpoint. If sockets run short,
    the connections that have been unused for longest make room for new ones.

    Parameters
    ----------
    handler : callable
        Serves a request.
    clock : Clock
        Source of time.
    head_limit_bytes : callable
        Returns the longest head of a request, chunk line and trailers.
    timeouts : callable
        Returns the seconds after which an idle connection is closed, and one on which
        a request's head does not end.
    max_sockets : int
        Sockets for callers' connections and their requests to endpoints.
    memory_bytes : float
        Of the process.
    closed : Counter
        Counts closed connections by reason.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        clock: Clock,
        head_limit_bytes: Callable[[], int],
        timeouts: Callable[[], tuple[float, float]],
        max_sockets: int,
        memory_bytes: float,
        closed: Counter,
    ) -> None:
        super().__init__(self._serve, handler_cancellation=True)
        self.handle = handler
        self.clock = clock
        self.head_limit_bytes = head_limit_bytes
        self.timeouts = timeouts
        self.max_sockets = max_sockets
        self.memory = ConnectionMemory(max_sockets, memory_bytes)
        self.closed = closed
        self.view = memoryview(bytearray(READ_BYTES))
        self.turns = Turns()
        self.acceptors: set[Acceptor] = set()
        self.accepted: set[GuardedProtocol] = set()  # and not made yet
        self.n_made = 0  # and not closed yet
        # By the time since when they are in this state, the longest first.
        self.idle: dict[GuardedProtocol, float] = {}
        self.receiving: dict[GuardedProtocol, float] = {}
        self.busy: set[GuardedProtocol] = set()
        self.n_most_busy = 0
        self.most_busy_s = float("-inf")
        self.refused: dict[GuardedProtocol, float] = {}
        self.uploads: dict[GuardedProtocol, float] = {}
        self.unread: dict[GuardedProtocol, Unread] = {}

    def __call__(self) -> GuardedProtocol:
        """Return the protocol of a new connection."""
        return GuardedProtocol(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=LIBRARY_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADER_BYTES // MIN_FIELD_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGER_TIMEOUT_S,
            auto_decompress=False,
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.transport is None:
            # The connection closed while the request was queued; the caller retries.
            raise asyncio.CancelledError
        self.begin(request)
        try:
            if not self._has_socket():
                # Those that make room close in this turn of the event loop.
                await asyncio.sleep(0)
            return await self.handle(request)
        finally:
            self.end(request)

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Track a new connection."""
        assert isinstance(handler, GuardedProtocol)
        super().connection_made(handler, transport)
        self.n_made += 1
        self.accepted.discard(handler)
        self.make_room(n_more=1)
        self.idle[handler] = self.clock.monotonic()

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Stop tracking a connection."""
        assert isinstance(handler, GuardedProtocol)
        self._forget(handler)
        self._forget_transfers(handler)
        self.n_made -= 1
        super().connection_lost(handler, exc)
        self._resume_accepting()

    def has_room(self) -> bool:
        """Return whether one more socket may be opened, after making room for it."""
        self.make_room(n_more=1)
        return self._has_socket(n_more=1)

    def accept(self) -> GuardedProtocol:
        """Return the protocol of a connection that has been accepted."""
        handler = self()
        self.accepted.add(handler)
        return handler

    def drop(self, handler: GuardedProtocol) -> None:
        """Forget a connection that was accepted and not made."""
        if handler in self.accepted:
            self.accepted.discard(handler)
            self._resume_accepting()

    def set_limits(self, max_sockets: int, memory_bytes: float) -> None:
        """Set the limits of the process, which hold for new connections."""
        self.max_sockets = max_sockets
        self.memory.set_limits(max_sockets, memory_bytes)

    def make_memory(self, wanting: GuardedProtocol) -> bool:
        """Close those whose heads take longest until the rest fits; return if so."""
        for slowest in list(self.receiving):
            if not self.memory.is_full:
                break
            if slowest is not wanting:
                self._close([slowest], "memory")
        return not self.memory.is_full

    def record_received(self, handler: GuardedProtocol) -> None:
        """Record that bytes arrive on a connection."""
        if self.idle.pop(handler, None) is not None:
            self.receiving[handler] = self.clock.monotonic()

    def record_progress(self, handler: GuardedProtocol) -> None:
        """Record that a part of a body has arrived, and not the last one."""
        self.uploads.pop(handler, None)
        self.uploads[handler] = self.clock.monotonic()

    def record_whole(self, handler: GuardedProtocol) -> None:
        """Record that a body has arrived whole, or that it is not read on."""
        self.uploads.pop(handler, None)

    def record_unread(self, handler: GuardedProtocol, is_full: bool) -> None:
        """Record that a caller reads no more of its answer, or reads it again."""
        self.unread.pop(handler, None)
        if is_full:
            n_bytes = handler.n_unsent_bytes
            self.unread[handler] = Unread(n_bytes, self.clock.monotonic())

    def record_refused(self, handler: GuardedProtocol, error: LagoonringError) -> None:
        """Record that a request is refused whose head has not been read.

        Its connection is closed later, so that its sender gets the answer.
        """
        self._forget(handler)
        self.refused[handler] = self.clock.monotonic()
        self.count_closed(error.code)
        logger.info(
            "Refused a request.",
            extra={
                "code": error.code,
                "status": error.status,
                "error": error.message,
            },
        )

    def count_closed(self, reason: str) -> None:
        """Count a connection that is closed after the current request."""
        self.closed.labels(reason).inc()

    def begin(self, request: web.BaseRequest) -> None:
        """Record that a request is being served."""
        handler = connection_of(request)
        handler.begin_request(request.content)
        self._forget(handler)
        self.busy.add(handler)
        self.make_room()

    def end(self, request: web.BaseRequest) -> None:
        """Record that a request has been answered."""
        handler = connection_of(request)
        self.n_endpoint_sockets()  # its own is kept from now on
        self.busy.discard(handler)
        if handler.transport is not None:
            self.idle[handler] = self.clock.monotonic()
        handler.end_request()
        self._resume_accepting()

    @property
    def is_full(self) -> bool:
        """Return whether the requests in progress need more sockets than there are."""
        return self._n_sockets() > self.max_sockets

    def close_unused(self) -> int:
        """Close all connections on which no request is served; return their number."""
        unused = [handler for handler in self.connections if handler not in self.busy]
        for handler in unused:
            handler.force_close()
        return len(unused)

    async def listen(self, address: str) -> web.ServerRunner:
        """Listen on an address; the caller cleans the runner up."""
        sock = open_listener(address, self.memory.receive_bytes)
        runner = AcceptingRunner(self, shutdown_timeout=0.1)
        await runner.setup()
        runner.acceptor = Acceptor(self, sock)
        return runner

    async def sweep(self) -> None:
        """Close connections that are idle, or slow, for too long, until cancelled."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_S)
            idle_s, head_s = self.timeouts()
            self._end_transfers(idle_s)
            self._close(self._find_idle(self._ago_s(idle_s)), "idle")
            self._close(list(older_than(self.receiving, self._ago_s(head_s))), "slow")
            lingering = older_than(self.refused, self._ago_s(LINGER_TIMEOUT_S))
            for handler in list(lingering):
                self._forget(handler)
                handler.evict()
            self._resume_accepting()

    def _find_idle(self, end_s: float) -> list[GuardedProtocol]:
        """Return the idle connections of which nothing is left to send."""
        idle = []
        for handler in older_than(self.idle, end_s):
            if not handler.n_buffered_bytes:
                idle.append(handler)
            elif handler not in self.unread:
                self.record_unread(handler, is_full=True)
        return idle

    def _end_transfers(self, timeout_s: float) -> None:
        """End uploads, and answers, that have not gone on for a time."""
        for handler in list(older_than(self.uploads, self._ago_s(timeout_s))):
            handler.fail_body(slow_sender_error(timeout_s))
        late_s = self._ago_s(timeout_s)
        for handler in list(self.unread):
            if not handler.n_buffered_bytes:
                del self.unread[handler]
                continue
            unread = self.check_unread(handler)
            if unread.since_s <= late_s:
                logger.info("Answer not read.", extra={"n_bytes": unread.n_bytes})
                self._close([handler], "unread")

    def _ago_s(self, age_s: float) -> float:
        return self.clock.monotonic() - age_s

    def _n_sockets(self) -> int:
        n_unused = len(self.idle) + len(self.receiving) + len(self.refused)
        return len(self.accepted) + n_unused + 2 * len(self.busy)

    def _has_socket(self, n_more: int = 0) -> bool:
        """Return whether so many may be opened beside all that are, or are closing."""
        n_open = self.n_made + len(self.accepted) + self.n_endpoint_sockets()
        limit = self.max_sockets + n_spare_sockets(self.max_sockets)
        return n_open + n_more <= limit

    def _resume_accepting(self) -> None:
        for acceptor in self.acceptors:
            acceptor.resume()

    def make_room(self, n_more: int = 0) -> None:
        """Close the connections that have been unused for longest if sockets run out.

        Unused are those that are idle, or whose requests do not arrive.
        """
        n_more += self.n_endpoint_sockets() - len(self.busy)
        while self._n_sockets() + n_more > self.max_sockets:
            unused = [next(iter(group.items())) for group in self._unused() if group]
            if not unused:
                return
            handler, since_s = min(unused, key=lambda entry: entry[1])
            logger.warning(
                "Sockets run out, an unused connection is closed.",
                extra={
                    "unused_s": round(self._ago_s(since_s), 3),
                    "n_idle": len(self.idle),
                    "n_busy": len(self.busy),
                    "max_sockets": self.max_sockets,
                },
            )
            self._close([handler], "sockets")

    def n_endpoint_sockets(self) -> int:
        """Return the sockets to endpoints, also those that are kept for a while."""
        now_s, n_busy = self.clock.monotonic(), len(self.busy)
        if n_busy >= self.n_most_busy or now_s - self.most_busy_s > ENDPOINT_IDLE_S:
            self.n_most_busy, self.most_busy_s = n_busy, now_s
        return self.n_most_busy

    def _has_unused(self) -> bool:
        """Return whether the first idle connection is not reading its answer.

        Those that are reading go to the end.
        """
        for _ in range(min(len(self.idle), MAX_DEFERRED)):
            handler = next(iter(self.idle))
            if not handler.n_buffered_bytes:
                return True
            if self.check_unread(handler).since_s <= self._ago_s(STALLED_S):
                return True
            del self.idle[handler]
            self.idle[handler] = self.clock.monotonic()
        return False

    def check_unread(self, handler: GuardedProtocol) -> Unread:
        """Return what waits to be read, and since when nothing of it has been."""
        unread = self.unread.get(handler)
        if unread is None or unread.n_bytes != handler.n_unsent_bytes:
            self.record_unread(handler, is_full=True)
        return self.unread[handler]

    def _unused(self) -> Iterator[dict[GuardedProtocol, float]]:
        if self._has_unused():
            yield self.idle
        yield self.receiving
        yield self.refused
        if self.uploads and next(iter(self.uploads.values())) < self._ago_s(STALLED_S):
            yield self.uploads

    def _close(self, handlers: list[GuardedProtocol], reason: str) -> None:
        for handler in handlers:
            self._forget(handler)
            self._forget_transfers(handler)
            handler.evict()
        if handlers:
            self.closed.labels(reason).inc(len(handlers))

    def _forget(self, handler: GuardedProtocol) -> None:
        self.idle.pop(handler, None)
        self.receiving.pop(handler, None)
        self.refused.pop(handler, None)
        self.busy.discard(handler)

    def _forget_transfers(self, handler: GuardedProtocol) -> None:
        self.uploads.pop(handler, None)
        self.unread.pop(handler, None)


def connection_of(request: web.BaseRequest) -> GuardedProtocol:
    """Return the connection on which a request arrives."""
    connection = request.protocol
    assert isinstance(connection, GuardedProtocol)
    return connection
