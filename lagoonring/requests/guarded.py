"""Connections of callers that need not behave: one request at a time is read.

The HTTP library parses all that arrives, and reads further requests while one is being
served. Here it gets one request after the other, in a form that is cheap to parse.
"""

from __future__ import annotations

import asyncio
from time import perf_counter
from typing import TYPE_CHECKING, Any

from aiohttp import web

from lagoonring.requests.chunks import ChunkReader
from lagoonring.requests.connection_memory import LONG_READ_BYTES, SHORT_READ_BYTES
from lagoonring.requests.errors import (
    BadChunkError,
    HeadTooLargeError,
    no_memory_error,
)
from lagoonring.requests.framing import (
    END_OF_HEAD,
    Framing,
    is_no_head,
    read_framing,
)
from lagoonring.requests.listening import count_unacknowledged, watch_leaving
from lagoonring.requests.refusals import make_refusal

if TYPE_CHECKING:
    from aiohttp import StreamReader

    from lagoonring.errors import LagoonringError
    from lagoonring.requests.tracking import ConnectionTracker

READ_BYTES = 32768  # at a time, of one connection
LOOK_AHEAD_BYTES = 16384  # read behind a request that is being served
SLICE_BYTES = 8192  # of chunks, between turns
FIRST_SLICE_BYTES = 1024
SHORT_CHUNK_BYTES = 64  # the mean of a body that is read in turns
MAX_FREE_FIELDS = 32
FIELD_BYTES = 400  # that a field of a head takes once it is parsed
LAST_CHUNK = b"0\r\n\r\n"


class GuardedProtocol(web.RequestHandler, asyncio.BufferedProtocol):
    """A connection that passes one request at a time to the HTTP library.

    Attributes
    ----------
    ahead : bytes
        Received and not passed on yet.
    n_left : int
        Bytes of the body that are due; of one in chunks, those that have arrived.
    is_last : bool
        Whether the connection is closed after the answer.
    """

    __slots__ = (
        "ahead",
        "chunks",
        "content",
        "error",
        "is_answered",
        "is_held",
        "is_last",
        "is_slow_to_read",
        "is_watched",
        "n_field_bytes",
        "n_left",
        "n_read_bytes",
        "read_part",
        "tracker",
    )

    def __init__(self, tracker: Any, **options: Any) -> None:
        super().__init__(tracker, **options)
        self.tracker: ConnectionTracker = tracker
        self.ahead = b""
        self.chunks: ChunkReader | None = None
        self.content: StreamReader | None = None
        self.error: LagoonringError | None = None
        self.is_answered = False
        self.is_held = False
        self.is_last = False
        self.is_slow_to_read = False
        self.is_watched = False
        self.n_field_bytes = 0
        self.n_left = 0
        self.n_read_bytes = READ_BYTES
        self.read_part = self._read_head

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to receive; see ``asyncio.BufferedProtocol``."""
        memory = self.tracker.memory
        if memory.n_turn_bytes > memory.max_turn_bytes:
            return self.tracker.view[:SHORT_READ_BYTES]
        return self.tracker.view[: self.n_read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Receive bytes; see ``asyncio.BufferedProtocol``."""
        if nbytes > LONG_READ_BYTES:
            self.tracker.memory.count_read(nbytes)
        self._read(self.tracker.view[:nbytes].tobytes())

    def resume_reading(self, *args: Any, **options: Any) -> None:
        """Read on, unless this connection is held."""
        super().resume_reading(*args, **options)
        if self.is_held and self.transport is not None:
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """Wait for the caller to read; see ``asyncio.Protocol``."""
        super().pause_writing()
        self.tracker.record_unread(self, is_full=True)

    def resume_writing(self) -> None:
        """Write on; see ``asyncio.Protocol``."""
        super().resume_writing()
        self.tracker.record_unread(self, is_full=False)

    @property
    def n_buffered_bytes(self) -> int:
        """Return the bytes of the answer that the system has not taken yet."""
        transport = self.transport
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def n_unsent_bytes(self) -> int:
        """Return the bytes of the answer that wait for the caller to read."""
        return self.n_buffered_bytes + count_unacknowledged(self.transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop what has been received; see ``asyncio.Protocol``."""
        self._drop_rest()
        self._free_fields()
        super().connection_lost(exc)

    def begin_request(self, content: StreamReader) -> None:
        """Take the body of the request that begins to be served."""
        self.content = content
        if self.error is not None:
            content.set_exception(self.error)

    def end_request(self) -> None:
        """Read the next request, once the current one has been answered."""
        if self.error is not None and self.content is not None:
            # The HTTP library reads on for a while, so that the sender gets the answer.
            self.content.set_exception(None)  # type: ignore[arg-type]
        self.content = self.error = None
        self._free_fields()
        if self.read_part == self._look_ahead:
            self._expect_head()
            if self.ahead:
                asyncio.get_running_loop().call_soon(self._read_ahead)
            else:
                self._release()
        else:
            self.is_answered = True  # the rest of its body is due
        if self.is_last:
            self._drop_rest()
            self.close()

    def fail_body(self, error: LagoonringError) -> None:
        """End a body that is not read on; the request is refused."""
        self._drop_rest()
        self.tracker.count_closed(error.code)
        self.error = error
        if self.content is not None:
            self.content.set_exception(error)

    def evict(self) -> None:
        """Close at once, and hold nothing."""
        transport = self.transport
        self._drop_rest()
        self.force_close()
        if transport is not None:
            transport.abort()  # also what its client does not read

    def drop_body(self) -> None:
        """Read no more of the body of a request that is refused, nor what follows."""
        self._drop_rest()
        self.tracker.count_closed("refused_body")

    def _read(self, data: bytes) -> None:
        while data:
            data = self.read_part(data)

    def _read_ahead(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self._release()
        self._read(self._take_ahead())

    def _take_ahead(self) -> bytes:
        data = self.ahead
        self._keep(b"")
        return data

    def _keep(self, data: bytes) -> bool:
        """Keep bytes until they can be passed on; return whether there is room."""
        n_more = len(data) - len(self.ahead)
        self.ahead = data
        memory = self.tracker.memory
        memory.hold(n_more)
        return n_more <= 0 or not memory.is_full or self.tracker.make_memory(self)

    def _read_head(self, data: bytes) -> bytes:
        self.tracker.record_received(self)
        if self.ahead:
            data = self._take_ahead() + data
        data = data.lstrip(b"\r\n")
        end = data.find(END_OF_HEAD)
        n_bytes = end + len(END_OF_HEAD) if end >= 0 else len(data)
        if n_bytes > self.tracker.head_limit_bytes():
            limit = self.tracker.head_limit_bytes()
            self._refuse(
                HeadTooLargeError(
                    f"Got a head of over {limit} bytes, expected at most that.",
                    remedy="Send fewer or shorter headers.",
                )
            )
        elif end >= 0:
            return self._begin_body(data, n_bytes)
        elif data and is_no_head(data):
            self._drop_rest()
            super().data_received(data)  # the HTTP library refuses it
        elif not self._keep(data):
            self._refuse(no_memory_error("a part of a head"))
        return b""

    def _refuse(self, error: LagoonringError) -> None:
        """Answer a request whose head is not read, and read no other."""
        self._drop_rest()
        assert self.transport is not None
        self.transport.write(make_refusal(error))
        self.tracker.record_refused(self, error)

    def _begin_body(self, data: bytes, head_end: int) -> bytes:
        n_fields = data.count(b"\r\n", 0, head_end)
        if n_fields > MAX_FREE_FIELDS and not self._take_fields(n_fields):
            return b""
        framing = read_framing(data[:head_end])
        self.is_last = framing.is_last
        end = head_end + (framing.n_body_bytes or 0)
        self._expect_body(framing, max(end - len(data), 0))
        if end == len(data):
            super().data_received(data)
            return b""
        super().data_received(data[:end])
        return data[end:]

    def _take_fields(self, n_fields: int) -> bool:
        """Take room for a head of many fields; refuse it if there is none."""
        n_bytes = n_fields * FIELD_BYTES
        if self.tracker.memory.hold_fields(n_bytes):
            self.n_field_bytes = n_bytes
            return True
        self._refuse(no_memory_error(f"a head of {n_fields} fields"))
        return False

    def _free_fields(self) -> None:
        if self.n_field_bytes:
            self.tracker.memory.hold_fields(-self.n_field_bytes)
            self.n_field_bytes = 0

    def _expect_body(self, framing: Framing, n_left: int) -> None:
        self.n_left = n_left
        if framing.n_body_bytes is None:
            self.chunks = ChunkReader(self.tracker.head_limit_bytes())
            self.read_part = self._read_chunks
            self.tracker.record_progress(self)
        elif n_left:
            self.read_part = self._read_body
            self.tracker.record_progress(self)
            if n_left > self.tracker.memory.receive_bytes:
                self.tracker.memory.widen(self, self.transport)
        else:
            self._end_body()

    def _read_body(self, data: bytes) -> bytes:
        part = data[: self.n_left]
        self.n_left -= len(part)
        if self.n_left:
            self.tracker.record_progress(self)
        else:
            self._end_body()
        super().data_received(part)
        return data[len(part) :]

    def _read_chunks(self, data: bytes) -> bytes:
        """Pass on a slice of chunks; wait for a turn if they take long to read."""
        assert self.chunks is not None
        if self.is_slow_to_read and not self.tracker.turns.is_free():
            return self._wait_for_turn(data)
        return self._read_slice(data)

    def _wait_for_turn(self, data: bytes) -> bytes:
        self._hold()
        if self._keep(data):
            self.tracker.record_whole(self)  # its sender owes nothing meanwhile
            self.tracker.turns.wait(self)
        else:
            self.fail_body(no_memory_error("chunks that wait"))
        return b""

    def take_turn(self) -> None:
        """Read a slice of the chunks that wait; see `TurnTaker`."""
        rest = self._take_ahead()
        if self.chunks is not None:
            self.tracker.record_progress(self)
            rest = self._read_slice(rest)
        if rest and self.chunks is not None:
            self._wait_for_turn(rest)
        else:
            self._release()
            self._read(rest)

    def _read_slice(self, data: bytes) -> bytes:
        assert self.chunks is not None
        n_chunks = self.chunks.n_chunks
        n_bytes = SLICE_BYTES if n_chunks else FIRST_SLICE_BYTES
        started_s = perf_counter()
        try:
            content = self.chunks.feed(data[:n_bytes])
        except (BadChunkError, HeadTooLargeError) as error:
            self.fail_body(error)
            return b""
        if content:
            self.tracker.record_progress(self)
            self.n_left += len(content)
            if self.n_left > READ_BYTES:
                self.tracker.memory.widen(self, self.transport)
            super().data_received(b"%x\r\n%b\r\n" % (len(content), content))
        n_chunks = self.chunks.n_chunks - n_chunks
        if n_chunks * SHORT_CHUNK_BYTES > min(len(data), n_bytes):
            self.is_slow_to_read = True
        if self.is_slow_to_read:
            self.n_read_bytes = SLICE_BYTES
            self.tracker.turns.charge(perf_counter() - started_s)
        if not self.chunks.is_done:
            return data[n_bytes:]
        rest = self.chunks.pending + data[n_bytes:]
        self._end_body()
        super().data_received(LAST_CHUNK)
        return rest

    def _look_ahead(self, data: bytes) -> bytes:
        if not self._keep(self.ahead + data):
            self.tracker.count_closed("look_ahead")
            self._drop_rest()
        elif len(self.ahead) >= LOOK_AHEAD_BYTES:
            self._hold()
            watch_leaving(self)
        return b""

    def _drop(self, data: bytes) -> bytes:
        self.tracker.turns.charge(0.0)
        return self._wait_for_turn(b"")

    def _end_body(self) -> None:
        self.tracker.record_whole(self)
        self.tracker.memory.narrow(self)
        self.chunks = None
        self.is_slow_to_read = False
        if self.is_answered:
            self._expect_head()
        else:
            self.read_part = self._look_ahead
            self.n_read_bytes = LOOK_AHEAD_BYTES

    def _expect_head(self) -> None:
        self.is_answered = False
        self.read_part = self._read_head
        self.n_read_bytes = READ_BYTES

    def _drop_rest(self) -> None:
        """Read no further request."""
        self.tracker.record_whole(self)
        self.tracker.turns.forget(self)
        self.tracker.memory.narrow(self)
        self._keep(b"")
        self.chunks = None
        self.is_last = True
        self.read_part = self._drop
        self._release()

    def _hold(self) -> None:
        if not self.is_held and self.transport is not None:
            self.is_held = True
            self.transport.pause_reading()

    def _release(self) -> None:
        if self.is_held:
            self.is_held = False
            if self.transport is not None:
                self.transport.resume_reading()
