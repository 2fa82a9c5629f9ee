"""Search for the trace of a request that another instance served.

An instance knows the members of its data centre and a few contacts in each of the
others. If the request's origin is not a known member, the search is forwarded to
contacts, which search their own data centres and do not forward it again.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import aiohttp
import attrs
import msgspec

from lagoonring.decoding import decode_json
from lagoonring.endpoints.transport import read_bounded
from lagoonring.errors import LagoonringError
from lagoonring.peers.messages import MemberState
from lagoonring.requests.errors import UnknownRequestError
from lagoonring.requests.relay_headers import RELAYED_HEADER, TO_DATA_CENTRE, TO_HOLDER

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lagoonring.requests.handover import HandoverService

HOLDER_TIMEOUT_S = 2.0
CONTACT_TIMEOUT_S = 6.0
MAX_HOLDERS = 4
MAX_CONTACTS = 2


class HolderUnreachableError(LagoonringError, ConnectionError):
    """An instance that may have the trace of the request did not answer."""

    code = "holder_unreachable"
    status = 503


@attrs.define
class _TraceSearch:
    """Search on other instances; ``unreached`` are the URLs that did not answer."""

    session: aiohttp.ClientSession
    request_id: str
    authorization: str
    queried: list[str] = attrs.field(factory=list)
    unreached: list[str] = attrs.field(factory=list)

    async def find_first(self, urls: Iterable[str], hop: str, timeout_s: float) -> Any:
        """Query the instances in order; return the first trace found, or None."""
        for url in urls:
            self.queried.append(url)
            try:
                trace = await self._fetch(url, hop, timeout_s)
            except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
                self.unreached.append(url)
                continue
            if trace is not None:
                return trace
        return None

    async def find_in_data_centres(self, contacts: dict[str, list[str]]) -> Any:
        """Query all data centres concurrently; return a trace, or None."""
        found = await asyncio.gather(
            *(
                self._find_in_data_centre(urls[:MAX_CONTACTS])
                for urls in contacts.values()
            )
        )
        return next((trace for trace in found if trace is not None), None)

    async def _find_in_data_centre(self, urls: list[str]) -> Any:
        """Query one contact, and the next one only if that does not answer."""
        for url in urls:
            n_unreached = len(self.unreached)
            trace = await self.find_first([url], TO_DATA_CENTRE, CONTACT_TIMEOUT_S)
            if trace is not None or len(self.unreached) == n_unreached:
                return trace
        return None

    async def _fetch(self, url: str, hop: str, timeout_s: float) -> Any:
        headers = {RELAYED_HEADER: hop, "Authorization": self.authorization}
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        path = f"{url}/admin/requests/{quote(self.request_id, safe='')}"
        async with self.session.get(
            path, headers=headers, timeout=timeout, allow_redirects=False
        ) as answer:
            body = await read_bounded(answer)
            if answer.status == 404:
                return None
            answer.raise_for_status()
        return decode_json(body)


async def find_trace(
    handover: HandoverService,
    session: aiohttp.ClientSession,
    request_id: str,
    headers: Mapping[str, str],
) -> Any:
    """Return the trace of a request from another instance, as plain data.

    The operator's token is forwarded, so that the other instance can check it.

    Raises
    ------
    HolderUnreachableError
        If an instance that may have the trace did not answer.
    UnknownRequestError
        If every instance queried answered and none has the trace.
    """
    hop = headers.get(RELAYED_HEADER, "")
    search = _TraceSearch(session, request_id, headers.get("Authorization", ""))
    holders = handover.holders(request_id) if hop != TO_HOLDER else []
    trace = await search.find_first(holders[:MAX_HOLDERS], TO_HOLDER, HOLDER_TIMEOUT_S)
    if trace is None and not hop and not _is_origin_known(handover, request_id):
        trace = await search.find_in_data_centres(_find_contacts(handover))
    if trace is not None:
        return trace
    if search.unreached:
        raise HolderUnreachableError(
            f"Got no answer of {', '.join(search.unreached)} about request "
            f"{request_id[:80]!r}, expected what was decided there.",
            remedy="Try again; if the instance has ended, its decisions are gone.",
            retry_after_s=HOLDER_TIMEOUT_S,
        )
    raise _unknown_request(request_id, len(search.queried))


def _is_origin_known(handover: HandoverService, request_id: str) -> bool:
    origin = request_id.partition(".")[0]
    members = [handover.peers.me, *handover.peers.members()]
    return any(member.instance == origin for member in members)


def _find_contacts(handover: HandoverService) -> dict[str, list[str]]:
    """Return the root URLs of live contacts in each other data centre."""
    contacts: dict[str, list[str]] = {}
    for member in handover.peers.members():
        is_other = member.data_centre != handover.peers.me.data_centre
        if is_other and member.http_address and member.state is MemberState.ALIVE:
            url = f"http://{member.http_address}"
            contacts.setdefault(member.data_centre, []).append(url)
    return contacts


def _unknown_request(request_id: str, n_asked: int) -> UnknownRequestError:
    origin = request_id.partition(".")[0]
    return UnknownRequestError(
        f"Got request id {request_id[:80]!r}, expected a recent one of this instance "
        f"or of {n_asked} others that were asked.",
        remedy=f"Check the id and whether {origin[:80]!r} still runs; only the newest "
        "requests are kept, and only while their instance runs.",
    )
