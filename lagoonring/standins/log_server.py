"""HTTP server of the log stand-in, with the platform's published protocol.

Serves ``POST /log-append`` and ``GET /log-read`` for the client in
`lagoonring.platform.store`, for partition 0 of any topic. ``POST /faults`` takes
the keys of :class:`lagoonring.standins.log_standin.LogFaults` and ``forget``,
which maps streams to the first offset to retain.
"""

from __future__ import annotations

import attrs
from aiohttp import web

from lagoonring.kernel import Clock
from lagoonring.platform.log import (
    RECORD_LIMIT_BYTES,
    LogAnswerLostError,
    LogTruncatedError,
    LogUnavailableError,
    assigned_offset,
    make_offset,
)
from lagoonring.platform.store import (
    GENERATION,
    PAGE_HEADER,
    decode_batch,
    encode_batch,
)
from lagoonring.platform.store_log import decode_record, encode_record
from lagoonring.standins.http_server import answer_error, answer_json
from lagoonring.standins.http_standin import HttpStandin
from lagoonring.standins.log_standin import LogFaults, LogStandin
from lagoonring.standins.options import LogOptions

WAIT_LIMIT_MS = 30_000
RETRY_AFTER_S = 1
BURST_S = 0.25


@attrs.define(kw_only=True)
class ServerFaults(LogFaults):
    """Faults of the log; ``forget`` maps streams to the first offset to retain.

    ``return_older_s`` lets the log return once without the records of so many seconds.
    """

    forget: dict[str, int] = attrs.field(factory=dict)
    return_older_s: float | None = None


class RateLimit:
    """Token bucket with a burst of a quarter of a second.

    Parameters
    ----------
    per_s : float
        Average rate; 0 means no limit.
    clock : Clock
        Refills the bucket.
    """

    def __init__(self, per_s: float, *, clock: Clock) -> None:
        self.per_s = per_s
        self.clock = clock
        self.capacity = max(1.0, per_s * BURST_S)
        self.n_left = self.capacity
        self.last_s = clock.monotonic()

    def take(self) -> bool:
        """Take a token; return False if the rate is exceeded."""
        if self.per_s == 0:
            return True
        now_s = self.clock.monotonic()
        refilled = self.n_left + (now_s - self.last_s) * self.per_s
        self.n_left = min(self.capacity, refilled)
        self.last_s = now_s
        if self.n_left < 1:
            return False
        self.n_left -= 1
        return True


class LogServer(HttpStandin[ServerFaults]):
    """HTTP server of the log.

    Parameters
    ----------
    options : LogOptions or None
        Rate limit and retention.
    host, port : str, int
        Where to listen; port 0 lets the system choose.
    clock : Clock or None
        Stamps records and refills the rate limit.
    """

    def __init__(
        self,
        options: LogOptions | None = None,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Clock | None = None,
    ) -> None:
        self.options = options or LogOptions()
        clock = clock or Clock()
        self.log = LogStandin(clock, n_kept=self.options.n_kept)
        self.log.faults = ServerFaults()
        self.rate = RateLimit(self.options.appends_per_s, clock=clock)
        app = web.Application(client_max_size=2 * RECORD_LIMIT_BYTES)
        app.on_response_prepare.append(self._tell_generation)
        routes = [
            web.post("/log-append", self._append),
            web.get("/log-read", self._read),
            web.get("/streams", self._streams),
        ]
        super().__init__(app, routes, host=host, port=port)

    async def _tell_generation(
        self, request: web.Request, answer: web.StreamResponse
    ) -> None:
        answer.headers[GENERATION] = str(self.log.generation)

    async def _append(self, request: web.Request) -> web.Response:
        stream = request.query.get("topic", "")
        records = list(decode_batch(await request.read()))
        if not stream or any(len(item) > RECORD_LIMIT_BYTES + 8 for item in records):
            return answer_error("faulty", "Got no topic or a large record.", status=400)
        if not self.rate.take():
            return _answer_unavailable("Got too many appends.")
        offset = self.log.next_offset_of(stream)
        expected_offset = request.query.get("at")
        if expected_offset is not None and expected_offset != str(offset):
            return answer_json({"end": offset}, status=412)
        try:
            for record in records:
                await self.log.append(stream, decode_record(0, record).data)
        except LogUnavailableError as error:
            return _answer_unavailable(str(error))
        except LogAnswerLostError as error:
            return _drop_answer(request, error)
        return answer_json({"offset": offset, "end": self.log.next_offset_of(stream)})

    async def _read(self, request: web.Request) -> web.Response:
        stream = request.query.get("topic", "")
        try:
            from_offset = int(request.query.get("from", "0"))
            wait_ms = int(request.query.get("waitMs", "0"))
        except ValueError as error:
            return answer_error("faulty_query", str(error), status=400)
        if min(from_offset, wait_ms) < 0:
            return answer_error("faulty_query", "Got a negative number.", status=400)
        wait_s = min(wait_ms, WAIT_LIMIT_MS) / 1000
        try:
            position = make_offset(self.log.generation, from_offset)
            page = await self.log.read(stream, position, wait_s=wait_s)
        except LogTruncatedError as error:
            first = assigned_offset(error.first_offset)
            return answer_json({"first": first}, status=410)
        except LogUnavailableError as error:
            return _answer_unavailable(str(error))
        records = [
            encode_record(record.data.encode(), record.time_s)
            for record in page.records
        ]
        bounds = (page.next_offset, page.first_offset)
        head = PAGE_HEADER.pack(*map(assigned_offset, bounds))
        return web.Response(body=head + encode_batch(records))

    async def _streams(self, request: web.Request) -> web.Response:
        streams = self.log.streams.items()
        return answer_json({name: state.next_offset for name, state in streams})

    def find_faults(self) -> ServerFaults:
        """Return the faults in force, which are stored in the log."""
        assert isinstance(self.log.faults, ServerFaults)
        return self.log.faults

    async def set_faults(self, faults: ServerFaults) -> None:
        """Put faults in force and drop the records in ``forget``."""
        for stream, first_offset in faults.forget.items():
            self.log.forget(stream, before=first_offset)
        faults.forget = {}
        if faults.return_older_s is not None:
            self.log.return_older(faults.return_older_s)
            faults.return_older_s = None
        self.log.faults = faults


def _answer_unavailable(message: str) -> web.Response:
    answer = answer_error("unavailable", message, status=503)
    answer.headers["Retry-After"] = str(RETRY_AFTER_S)
    return answer


def _drop_answer(request: web.Request, error: LogAnswerLostError) -> web.Response:
    """Close the connection instead of answering."""
    if request.transport is not None:
        request.transport.abort()
    return _answer_unavailable(str(error))
