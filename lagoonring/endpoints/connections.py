"""Connections to endpoints, of which only those are reused that are in order."""

from __future__ import annotations

import select
from collections.abc import Callable
from contextlib import contextmanager
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any
from weakref import WeakKeyDictionary

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler

from lagoonring.endpoints.bounded_socket import expect_head, make_bounded_socket
from lagoonring.endpoints.connect_timeout import connect_timeout

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

MAX_REQUESTS = 256  # per connection; bounds the ids that are remembered of it
# Connections to an endpoint that are kept though they can't carry the current id.
MAX_PASSED_OVER = 4


class NotWantedError(Exception):
    """A connection is not needed; unlike errors of connections, passed on unchanged."""


@attrs.define
class Exchange:
    """A request that the current task sends, and the connection that carries it.

    ``is_wanted`` is asked right before the request is sent.
    """

    is_wanted: Callable[[], bool] | None = None
    protocol: ResponseHandler | None = None

    def drop_connection(self) -> None:
        """Close the connection, also if it is back in the pool already."""
        if self.protocol is not None:
            self.protocol.close()


EXCHANGE: ContextVar[Exchange | None] = ContextVar("exchange", default=None)


@contextmanager
def begin_exchange(is_wanted: Callable[[], bool] | None) -> Iterator[Exchange]:
    """Yield the exchange of the request that is sent inside the block."""
    exchange = Exchange(is_wanted)
    token = EXCHANGE.set(exchange)
    try:
        yield exchange
    finally:
        EXCHANGE.reset(token)


class CheckedConnector(aiohttp.TCPConnector):
    """A connector whose connections read answers strictly and know them by their id.

    Heads are read by `lagoonring.endpoints.bounded_socket` before the HTTP library
    does.

    An endpoint may send bytes after a whole answer, such as a copy of it, at any time.
    A connection on which they have arrived is not reused, which the HTTP library would
    do. Of those that arrive later, only the id tells that they answer another
    request, so a connection never carries the same id twice. A client that repeats
    its id does not make more than a few connections stay idle.

    Once it has a connection, the connector asks again whether the request is wanted:
    connecting may take long enough for the decision to be outdated.

    Without a limit of connections, the time in which this process is stalled does not
    count as time that connecting took.

    Parameters
    ----------
    id_header : str, optional
        Header with the id of a request, if ids may be sent more than once.
    **options
        Those of ``aiohttp.TCPConnector``. A ``socket_factory`` returns a
        `BoundedSocket`.
    """

    def __init__(self, *, id_header: str | None = None, **options: Any) -> None:
        options.setdefault("socket_factory", make_bounded_socket)
        super().__init__(**options)
        self.id_header = id_header
        self.ids_sent: WeakKeyDictionary[ResponseHandler, set[str]] = (
            WeakKeyDictionary()
        )

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection; raises `NotWantedError` if it is not needed."""
        request_id = req.headers.get(self.id_header) if self.id_header else None
        connection = await self._choose(request_id, req, traces, timeout)
        exchange = EXCHANGE.get()
        if exchange is not None:
            if exchange.is_wanted is not None and not exchange.is_wanted():
                connection.release()
                raise NotWantedError
            exchange.protocol = connection.protocol
        if connection.protocol is not None:
            expect_head(connection.protocol.transport)
        if request_id is not None and connection.protocol is not None:
            self.ids_sent[connection.protocol].add(request_id)
        return connection

    async def _choose(
        self,
        request_id: str | None,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a new connection, or an idle one that has not carried the id."""
        others = []
        try:
            while True:
                connection = await self._connect(req, traces, timeout)
                assert connection.protocol is not None
                ids = self.ids_sent.get(connection.protocol)
                if ids is None:
                    self.ids_sent[connection.protocol] = set()
                    return connection
                if len(ids) >= MAX_REQUESTS or has_received(connection.protocol):
                    connection.close()
                elif request_id in ids:
                    others.append(connection)
                else:
                    return connection
        finally:
            for other in others[:MAX_PASSED_OVER]:
                other.release()
            for other in others[MAX_PASSED_OVER:]:
                other.close()

    async def _connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        if self.limit:  # the wait for a free connection must not count
            return await super().connect(req, traces, timeout)
        async with connect_timeout(timeout.sock_connect):
            without = attrs.evolve(timeout, sock_connect=None)
            return await super().connect(req, traces, without)


def has_received(protocol: ResponseHandler) -> bool:
    """Return whether an idle connection has received bytes, or its end."""
    if protocol.should_close or protocol.transport is None:
        return True
    sock = protocol.transport.get_extra_info("socket")
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
