"""Control of model engines: cancel, KV cache, load, cache events, orders.

All functions take a session, which the caller owns, and the engine's root URL
without a trailing slash. They raise the errors of
:mod:`lagoonring.endpoints.errors`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import msgspec

from lagoonring.decoding import decode_json
from lagoonring.endpoints.errors import (
    EndpointFailedError,
    EndpointRejectedError,
    FencedError,
)
from lagoonring.endpoints.messages import (
    CacheEventPage,
    CacheUpdate,
    EngineOrder,
    EngineState,
    KvExport,
    LoadReport,
)
from lagoonring.endpoints.transport import raise_unless_ok, read_body, send

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    import aiohttp

    from lagoonring.kernel import Clock

T = TypeVar("T")

CONTROL_TIMEOUT_S = 3.0
KV_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.25


@attrs.frozen
class ImportedKv:
    """Answer to an import, with the handle for resuming the stream."""

    handle: str


async def cancel(session: aiohttp.ClientSession, url: str, attempt_id: str) -> bool:
    """Cancel an attempt and free its slot; return False if it was not running."""
    try:
        await _request_json(session, "POST", f"{url}/requests/{attempt_id}/cancel", Any)
    except EndpointRejectedError as error:
        if error.status == 404:
            return False
        raise
    return True


async def export_kv(
    session: aiohttp.ClientSession,
    url: str,
    attempt_id: str,
    *,
    timeout_s: float = KV_TIMEOUT_S,
) -> KvExport:
    """Freeze an attempt's KV cache and return its handle and size."""
    path = f"{url}/requests/{attempt_id}/export"
    return await _request_json(session, "POST", path, KvExport, timeout_s=timeout_s)


async def import_kv(
    session: aiohttp.ClientSession,
    url: str,
    source_url: str,
    handle: str,
    *,
    timeout_s: float = KV_TIMEOUT_S,
) -> str:
    """Have an engine fetch another's export; return the handle for resuming."""
    document = {"source_url": source_url, "handle": handle}
    imported: ImportedKv = await _request_json(
        session,
        "POST",
        f"{url}/kv/import",
        ImportedKv,
        document,
        timeout_s=timeout_s,
    )
    return imported.handle


async def read_load(
    session: aiohttp.ClientSession, url: str, *, timeout_s: float = CONTROL_TIMEOUT_S
) -> LoadReport:
    """Return the load that an engine or a plain service reports."""
    return await _request_json(
        session, "GET", f"{url}/load", LoadReport, timeout_s=timeout_s
    )


async def read_state(session: aiohttp.ClientSession, url: str) -> EngineState:
    """Return the state that orders have brought the engine into."""
    return await _request_json(session, "GET", f"{url}/state", EngineState)


async def send_order(
    session: aiohttp.ClientSession, url: str, wanted: EngineOrder
) -> None:
    """Send an order; on return the engine has accepted it but may not be done.

    Raises
    ------
    FencedError
        If the engine has received an order with a later fencing number.
    """
    try:
        await _request_json(session, "POST", f"{url}/orders", Any, wanted)
    except EndpointRejectedError as error:
        if error.status != 409:
            raise
        raise FencedError(
            f"Got an order with fencing number {wanted.fencing} refused by {url}.",
            remedy="Stop giving orders: another instance holds the lease.",
        ) from error


async def read_cache_events(
    session: aiohttp.ClientSession, url: str, from_seq: int
) -> CacheEventPage:
    """Return the cache events available now, from a sequence number on."""
    path = f"{url}/cache/events?from={from_seq}"
    return await _request_json(session, "GET", path, CacheEventPage)


async def follow_cache_events(
    session: aiohttp.ClientSession,
    url: str,
    *,
    clock: Clock,
    from_seq: int = 0,
    poll_s: float = POLL_INTERVAL_S,
) -> AsyncGenerator[CacheUpdate, None]:
    """Yield cache events as they become available, with the number lost.

    Ends only with an error of an exchange. To continue, follow again from the last
    sequence number received plus one.
    """
    while True:
        page = await read_cache_events(session, url, from_seq)
        if page.next_seq < from_seq:
            yield CacheUpdate([], is_restarted=True)
            from_seq = 0
            continue
        n_missing = page.next_seq - from_seq - len(page.events)
        if page.events or n_missing:
            yield CacheUpdate(page.events, n_missing=n_missing)
        from_seq = page.next_seq
        await clock.sleep(poll_s)


async def _request_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    answer_type: type[T] | Any,
    content: Any = None,
    *,
    timeout_s: float = CONTROL_TIMEOUT_S,
) -> T:
    body = None if content is None else msgspec.json.encode(content)
    headers = None if content is None else {"Content-Type": "application/json"}
    response = await send(
        session, method, url, body=body, headers=headers, timeout_s=timeout_s
    )
    async with response:
        await raise_unless_ok(response)
        answer = await read_body(response)
    try:
        return decode_json(answer, answer_type)
    except msgspec.MsgspecError as error:
        raise EndpointFailedError(
            f"Got a faulty answer of {url}: {error}.", remedy="Use another endpoint."
        ) from error
