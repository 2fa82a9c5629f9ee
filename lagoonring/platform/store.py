"""The only client of the platform's store, an append-only log with keyed topics."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp
import attrs
import msgspec

from lagoonring.decoding import decode_json
from lagoonring.endpoints.transport import read_bounded
from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.platform.exchange import (
    PlatformAnswerLostError,
    PlatformRejectedError,
    PlatformUnavailableError,
)
from lagoonring.platform.log import (
    LogTruncatedError,
    assigned_offset,
    generation_of,
    make_offset,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")

TIMEOUT_S = 1.0  # twice the slowest answer of an overloaded but working store
CONNECT_TIMEOUT_S = 0.5  # links in a data centre answer in a few milliseconds
OPERATOR_TOPIC = "keyed.op"
ENDPOINT_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
# In all answers; rises by one each time the store returns from an older copy.
GENERATION = "Store-Era"
NOTHING_DONE_STATUSES = frozenset({503, 507})  # of the 5xx; others say nothing of it
logger = make_logger("store")

LENGTH_PREFIX = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")


class _Appended(msgspec.Struct):
    offset: int


class _Conflict(msgspec.Struct):
    end: int


class _Truncated(msgspec.Struct):
    first: int | None = None


class _NewestItem(msgspec.Struct):
    key: str
    value: bytes  # base64 in JSON
    offset: int


class _NewestPage(msgspec.Struct):
    end: int
    items: list[_NewestItem]
    hasMore: bool = False


class OffsetConflictError(LagoonringError):
    """Another append changed the topic's end offset; nothing was written."""

    code = "offset_conflict"
    status = 409

    def __init__(self, end: int) -> None:
        self.end = end
        super().__init__(
            f"Got a topic that ends at {end}, expected the offset of the condition.",
            remedy="Read the records up to there and decide anew.",
        )


@attrs.frozen
class RecordPage:
    """Consecutive records from ``offset`` on, and the topic's first and end offsets."""

    offset: int
    first: int
    end: int
    records: list[bytes]


@attrs.frozen
class KeyedRecord:
    """The newest record of a key; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    offset: int


@attrs.frozen
class Snapshot:
    """The newest record of each key of a topic, and the topic's end offset."""

    records: list[KeyedRecord]
    end: int


class StoreClient:
    """The store over HTTP; offsets include its generation.

    Parameters
    ----------
    url : str
        Root URL of the store.
    session : aiohttp.ClientSession
        Owned by the caller.
    timeout_s : float
        Timeout of a call, in addition to the time that it waits for records.
    """

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        *,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self.url = url.rstrip("/")
        self.session = session
        self.timeout_s = timeout_s
        self.n_calls = 0
        self.generation = 0

    async def append(
        self, topic: str, records: list[bytes], *, at: int | None = None
    ) -> int:
        """Append records atomically and return the offset of the first one.

        Parameters
        ----------
        at : int or None
            Append only if the topic ends at this offset.

        Raises
        ------
        OffsetConflictError
            If the topic ends at another offset.
        PlatformUnavailableError
            If nothing was appended.
        PlatformAnswerLostError
            If the records may have been appended, or may still be.
        """
        params = {"topic": topic, "part": "0"}
        if at is not None:
            params["at"] = str(assigned_offset(at))
        body = encode_batch(records)
        status, answer = await self._request("POST", "/log-append", params, body=body)
        if status == 412:
            end = _decode_answer(answer, _Conflict, "/log-append").end
            raise OffsetConflictError(self._offset(end))
        is_refused = 400 <= status < 500 or status in NOTHING_DONE_STATUSES
        if status != 200 and not is_refused:
            raise _answer_lost("/log-append", f"status {status}")
        _raise_unless_ok(status, answer, "/log-append")
        try:
            return self._offset(decode_json(answer, _Appended).offset)
        except msgspec.DecodeError as error:
            raise _answer_lost("/log-append", repr(error)) from error

    async def append_keyed(self, topic: str, key: str, value: bytes) -> int:
        """Append a record that becomes the key's newest; errors as for `append`."""
        return await self.append(topic, [encode_keyed_record(key, value)])

    async def read(self, topic: str, offset: int, *, wait_s: float = 0.0) -> RecordPage:
        """Return records from an offset on, waiting up to ``wait_s`` for the first.

        Raises
        ------
        LogTruncatedError
            If the records have been truncated, or the offset is of an earlier
            generation.
        PlatformUnavailableError
            If the store doesn't answer.
        """
        params = {"topic": topic, "part": "0", "from": str(assigned_offset(offset))}
        if wait_s > 0:
            params["waitMs"] = str(int(wait_s * 1000))
        status, answer = await self._request("GET", "/log-read", params, wait_s=wait_s)
        if status == 410:
            first = _decode_answer(answer, _Truncated, "/log-read").first
            if first is None:
                first = assigned_offset(offset) + 1
            raise LogTruncatedError(topic, offset, self._offset(first))
        _raise_unless_ok(status, answer, "/log-read")
        if len(answer) < PAGE_HEADER.size:
            raise _unavailable("/log-read", f"{len(answer)} bytes")
        end, first = PAGE_HEADER.unpack_from(answer)
        if offset and generation_of(offset) != self.generation:
            raise LogTruncatedError(topic, offset, self._offset(first))
        records = list(decode_batch(answer, PAGE_HEADER.size))
        # A reader that begins at 0 has missed nothing if the store still has all.
        first_offset = self._offset(first) if offset or first else 0
        from_offset = self._offset(assigned_offset(offset))
        return RecordPage(from_offset, first_offset, self._offset(end), records)

    async def read_newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key; errors as for `read`."""
        records: list[KeyedRecord] = []
        params = {"topic": topic, "part": "0"}
        first_end: int | None = None
        while True:
            status, answer = await self._request("GET", "/log-newest", params)
            _raise_unless_ok(status, answer, "/log-newest")
            page = _decode_answer(answer, _NewestPage, "/log-newest")
            # Pages are read one after the other. Changes made in between are read
            # later, because the snapshot ends at the end offset of the first page.
            end = self._offset(page.end)
            first_end = end if first_end is None else first_end
            if generation_of(end) != generation_of(first_end):
                raise _unavailable("/log-newest", "pages of two generations")
            for item in page.items:
                offset = self._offset(item.offset)
                records.append(KeyedRecord(item.key, item.value, offset))
            if not page.hasMore or not page.items:
                return Snapshot(records, first_end)
            params["after"] = page.items[-1].key

    def _offset(self, assigned: int) -> int:
        """Return an offset of the last answer, with the store's generation."""
        return make_offset(self.generation, assigned)

    def _record_generation(self, text: str | None) -> bool:
        """Record the generation of an answer; return False if a later one is known.

        Answers that don't tell it are taken for those of the known one.
        """
        if text is None or not text.isascii() or not text.isdigit():
            return True
        generation = int(text)
        if generation > self.generation:
            logger.warning(
                "The store has another generation.",
                extra={"generation": generation, "before": self.generation},
            )
            self.generation = generation
        return generation == self.generation

    async def _request(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        self.n_calls += 1
        timeout = aiohttp.ClientTimeout(
            total=self.timeout_s + wait_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.request(
                method,
                self.url + path,
                params=params,
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                answer = await read_bounded(response)
                if self._record_generation(response.headers.get(GENERATION)):
                    return response.status, answer
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _unavailable(path, repr(error)) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            if method == "GET":
                raise _unavailable(path, repr(error)) from error
            raise _answer_lost(path, repr(error)) from error
        raise _unavailable(path, "an answer of an earlier generation")


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic; an empty value drops the key."""
    raw_key = key.encode()
    return bytes([len(raw_key)]) + raw_key + value


def decode_keyed_record(record: bytes, offset: int) -> KeyedRecord:
    """Decode a record of a keyed topic: key length (one byte), key and value."""
    n_key = record[0] if record else 0
    key = record[1 : 1 + n_key].decode(errors="replace")
    return KeyedRecord(key, record[1 + n_key :] or None, offset)


def encode_batch(records: list[bytes]) -> bytes:
    """Return records in the store's wire format: each preceded by its length."""
    return b"".join(LENGTH_PREFIX.pack(len(record)) + record for record in records)


def decode_batch(content: bytes, position: int = 0) -> Iterator[bytes]:
    """Yield the records of a batch that starts at a byte position.

    A last record that is cut short is left out; it is read again from its offset.
    """
    while position + LENGTH_PREFIX.size <= len(content):
        (size,) = LENGTH_PREFIX.unpack_from(content, position)
        position += LENGTH_PREFIX.size
        if position + size > len(content):
            return
        yield content[position : position + size]
        position += size


def _decode_answer(answer: bytes, kind: type[T], path: str) -> T:
    try:
        return decode_json(answer, kind)
    except msgspec.DecodeError as error:
        raise _unavailable(path, repr(error)) from error


def _raise_unless_ok(status: int, answer: bytes, path: str) -> None:
    if status == 200:
        return
    shown = answer[:200].decode(errors="replace")
    if status in (429, 503, 507) or status >= 500:
        raise _unavailable(path, f"status {status} ({shown})")
    raise PlatformRejectedError(
        f"Got status {status} of {path} ({shown}), expected 200.", status=status
    )


def _unavailable(path: str, got: Any) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"Got {got} for {path}, expected an answer.",
        remedy="Try again when the store is back.",
    )


def _answer_lost(path: str, got: str) -> PlatformAnswerLostError:
    return PlatformAnswerLostError(
        f"Got no usable answer of {path} ({got}), expected one.",
        remedy="Read the topic before appending again.",
    )
