"""Asks other instances about a request that this one has not served."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import aiohttp
import msgspec

from lagoonring.errors import LagoonringError
from lagoonring.requests.errors import UnknownRequestError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonring.requests.handover import HandoverService

RELAYED_HEADER = "X-Relayed"
ASK_TIMEOUT_S = 2.0
N_ASKED_MOST = 4


class HolderUnreachableError(LagoonringError, ConnectionError):
    """An instance that may know the request did not answer."""

    code = "holder_unreachable"
    status = 503


async def find_trace(
    handover: HandoverService,
    session: aiohttp.ClientSession,
    request_id: str,
    headers: Mapping[str, str],
) -> Any:
    """Return the trace that another instance has, as plain data.

    An instance that is asked so does not ask further. The operator's token is
    passed on, so that the other instance checks it.

    Raises
    ------
    HolderUnreachableError
        If an instance that may know the request did not answer.
    UnknownRequestError
        If all were asked and none knows it.
    """
    unreached = []
    urls = [] if RELAYED_HEADER in headers else handover.holders(request_id)
    for url in urls[:N_ASKED_MOST]:
        try:
            trace = await _ask(session, url, request_id, headers)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            unreached.append(url)
            continue
        if trace is not None:
            return trace
    if unreached:
        raise HolderUnreachableError(
            f"Got no answer of {', '.join(unreached)} about request "
            f"{request_id[:80]!r}, expected what was decided there.",
            remedy="Try again; if the instance has ended, its decisions are gone.",
            retry_after_s=ASK_TIMEOUT_S,
        )
    raise _unknown(request_id, urls)


async def _ask(
    session: aiohttp.ClientSession,
    url: str,
    request_id: str,
    headers: Mapping[str, str],
) -> Any:
    """Return an instance's trace, or None if it has none."""
    passed = {
        RELAYED_HEADER: "1",
        "Authorization": headers.get("Authorization", ""),
    }
    timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
    path = f"{url}/admin/requests/{quote(request_id, safe='')}"
    async with session.get(path, headers=passed, timeout=timeout) as answer:
        body = await answer.read()
        if answer.status == 404:
            return None
        answer.raise_for_status()
    return msgspec.json.decode(body)


def _unknown(request_id: str, urls: list[str]) -> UnknownRequestError:
    asked = f"this instance and {', '.join(urls)}" if urls else "this instance"
    origin = request_id.partition(".")[0]
    return UnknownRequestError(
        f"Got request id {request_id[:80]!r}, expected a recent one of {asked}.",
        remedy=f"Check the id, and see 'lagoonring peers' for {origin[:80]!r}; only "
        "the newest requests are kept, and only while their instance runs.",
    )
