"""The one client of the platform's store: an append-only log with keyed topics."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import msgspec

from lagoonring.errors import LagoonringError
from lagoonring.platform.exchange import (
    PlatformAnswerLostError,
    PlatformRejectedError,
    PlatformUnavailableError,
)
from lagoonring.platform.log import LogTruncatedError

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 1.0  # twice the slowest answer of the store while it is only slow
CONNECT_TIMEOUT_S = 0.5  # a data centre's link answers in a few milliseconds
OPERATOR_TOPIC = "keyed.op"
ENDPOINT_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
LENGTH = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")


class OffsetConflictError(LagoonringError):
    """Another append came first; nothing was written."""

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
    """Consecutive records from ``offset`` on, and the topic's bounds."""

    offset: int
    first: int
    end: int
    records: list[bytes]


@attrs.frozen
class KeyedRecord:
    """The newest record of a key; ``value`` is None if the key was removed."""

    key: str
    value: bytes | None
    offset: int


@attrs.frozen
class Snapshot:
    """All keys of a topic, and the offset where the topic ended."""

    records: list[KeyedRecord]
    end: int


class StoreClient:
    """The store over HTTP.

    Parameters
    ----------
    url : str
        Root of the store.
    session : aiohttp.ClientSession
        Owned by the caller.
    timeout_s : float
        How long a call may take, beside the time that it waits for records.
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

    async def append(
        self, topic: str, records: list[bytes], *, at: int | None = None
    ) -> int:
        """Append records all or none; return the offset of the first one.

        Parameters
        ----------
        at : int or None
            Append only if the topic ends at this offset.

        Raises
        ------
        OffsetConflictError
            If the topic ends elsewhere.
        PlatformUnavailableError
            If nothing was done.
        PlatformAnswerLostError
            If it may have been done, or may be done later.
        """
        params = {"topic": topic, "part": "0"}
        if at is not None:
            params["at"] = str(at)
        body = encode_batch(records)
        status, answer = await self._ask("POST", "/log-append", params, body=body)
        if status == 412:
            raise OffsetConflictError(msgspec.json.decode(answer)["end"])
        _raise_unless_ok(status, answer, "/log-append")
        return int(msgspec.json.decode(answer)["offset"])

    async def append_keyed(self, topic: str, key: str, value: bytes) -> int:
        """Append the newest record of a key; errors as for `append`."""
        raw_key = key.encode()
        return await self.append(topic, [bytes([len(raw_key)]) + raw_key + value])

    async def read(self, topic: str, offset: int, *, wait_s: float = 0.0) -> RecordPage:
        """Return records from an offset on, waiting for one if there is none.

        Raises
        ------
        LogTruncatedError
            If the records were forgotten.
        PlatformUnavailableError
            If the store doesn't answer.
        """
        params = {"topic": topic, "part": "0", "from": str(offset)}
        if wait_s > 0:
            params["waitMs"] = str(int(wait_s * 1000))
        status, answer = await self._ask("GET", "/log-read", params, wait_s=wait_s)
        if status == 410:
            first = int(msgspec.json.decode(answer).get("first", offset + 1))
            raise LogTruncatedError(topic, offset, first)
        _raise_unless_ok(status, answer, "/log-read")
        end, first = PAGE_HEADER.unpack_from(answer)
        return RecordPage(
            offset, first, end, list(decode_batch(answer, PAGE_HEADER.size))
        )

    async def read_newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key; errors as for `read`."""
        records: list[KeyedRecord] = []
        params = {"topic": topic, "part": "0"}
        first_end: int | None = None
        while True:
            status, answer = await self._ask("GET", "/log-newest", params)
            _raise_unless_ok(status, answer, "/log-newest")
            page = msgspec.json.decode(answer)
            # Pages are read one after the other: what changes meanwhile is read
            # again from where the first page ended.
            first_end = page["end"] if first_end is None else first_end
            for item in page["items"]:
                value = base64.b64decode(item["value"])
                records.append(KeyedRecord(item["key"], value, item["offset"]))
            if not page.get("hasMore") or not page["items"]:
                return Snapshot(records, first_end)
            params["after"] = page["items"][-1]["key"]

    async def _ask(
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
                method, self.url + path, params=params, data=body, timeout=timeout
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _unavailable(path, repr(error)) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            if method == "GET":
                raise _unavailable(path, repr(error)) from error
            raise PlatformAnswerLostError(
                f"Got no answer of {path} ({error!r}), expected one.",
                remedy="Read the topic before appending again.",
            ) from error


def decode_keyed_record(record: bytes, offset: int) -> KeyedRecord:
    """Return the key and value of a record in a keyed topic."""
    n_key = record[0] if record else 0
    key = record[1 : 1 + n_key].decode(errors="replace")
    return KeyedRecord(key, record[1 + n_key :] or None, offset)


def encode_batch(records: list[bytes]) -> bytes:
    """Return records as they are sent."""
    return b"".join(LENGTH.pack(len(record)) + record for record in records)


def decode_batch(content: bytes, position: int = 0) -> Iterator[bytes]:
    """Yield the records of a body, from a position on."""
    while position + LENGTH.size <= len(content):
        (size,) = LENGTH.unpack_from(content, position)
        position += LENGTH.size
        yield content[position : position + size]
        position += size


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
