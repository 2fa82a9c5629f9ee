"""Hands streams over to other instances, and locates streams handed over."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import xxhash
from aiohttp import web

from lagoonring.endpoints.transport import is_cut, watch_close
from lagoonring.errors import LagoonringError
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.peers.messages import MemberState
from lagoonring.requests.caller_input import LAST_EVENT_HEADER
from lagoonring.requests.errors import HandedOverError, unknown_request
from lagoonring.requests.messages import Handover, decode_handover, encode_handover
from lagoonring.requests.relay_headers import RELAYED_HEADER, TO_DATA_CENTRE, TO_HOLDER
from lagoonring.requests.request_builders import make_chat_request
from lagoonring.requests.streams import Stream
from lagoonring.requests.unframed import begin_unframed, end_unframed

if TYPE_CHECKING:
    from lagoonring.kernel import Application
    from lagoonring.requests.service import RequestsService

ADOPT_METHOD = "requests.adopt"
CONFIRM_METHOD = "requests.confirm"
ADOPTED_KIND = "adopted"
CALL_TIMEOUT_S = 2.0
RELAY_TIMEOUT_S = 600.0
MAX_HANDOVER_TARGETS = 3
MAX_CONFIRM_ATTEMPTS = 3

logger = make_logger("handover")


@attrs.frozen(kw_only=True)
class Adopted:
    """Row ``adopted``: where streams of the instance in the row's name continue."""

    url: str


class HandoverService(BaseService):
    """Hands over streams when this instance leaves, and adopts those of peers.

    Parameters
    ----------
    app : Application
        Provides the service ``peers``.
    requests : RequestsService
        Runs the streams.
    url : str
        Root URL of this instance's HTTP interface for peers.
    """

    name = "handover"

    def __init__(
        self, app: Application, requests: RequestsService, *, url: str
    ) -> None:
        self.app = app
        self.requests = requests
        self.url = url
        self.peers: Any = None

    async def start(self) -> None:
        """Register the peer calls that adopt and confirm streams."""
        self.peers = self.app.find("peers")
        self.peers.serve(ADOPT_METHOD, self.adopt)
        self.peers.serve(CONFIRM_METHOD, self.confirm)

    async def drain(self, grace_s: float) -> None:
        """Wait for requests to finish, then hand over the unfinished streams.

        The handover begins ``handover_margin_s`` before the end of the grace period.
        """
        self.requests.leave()
        margin_s = self.requests.parts.options.handover_margin_s
        try:
            async with asyncio.timeout(max(0.0, grace_s - margin_s)):
                await self.requests.idle.wait()
        except TimeoutError:
            streams = list(self.requests.streams.values())
            logger.info("Handing over {} streams.", len(streams))
            await asyncio.gather(*(self.hand_over(stream) for stream in streams))

    async def hand_over(self, stream: Stream) -> bool:
        """Hand a stream over to another instance, or resume it here if none adopts it.

        Returns False if the stream was resumed here.
        """
        await self.requests.pause_stream(stream)
        if stream.is_done:
            return True
        await self.requests.parts.retries.flush()
        payload = encode_handover(self._make_handover(stream))
        for target in self._handover_targets(stream.request.request_id):
            try:
                await self.peers.call(
                    target, ADOPT_METHOD, payload, timeout_s=CALL_TIMEOUT_S
                )
            except LagoonringError as error:
                logger.warning("Instance {} did not adopt a stream: {}.", target, error)
                continue
            self._end_handed_over(stream, target)
            await self._send_confirmation(target, stream.request.request_id)
            return True
        self.requests.resume_stream(stream)
        return False

    async def adopt(self, sender: str, payload: bytes) -> bytes:
        """Continue a stream of a peer; adopting it again has no effect."""
        handover = decode_handover(payload)
        if self.requests.find_stream(handover.request_id) is None:
            self.requests.check_ready()
            request = make_chat_request(
                self.requests.parts,
                handover.body,
                request_id=handover.request_id,
                organisation=handover.organisation,
                timeout_s=handover.grace_s,
            )
            stream = Stream(request=request, may_charge=False)
            stream.journal.append(handover.events)
            stream.journal.n_tokens = handover.n_tokens
            stream.n_tokens_recomputed = handover.n_tokens_recomputed
            if handover.events:
                stream.changed.set()
            self.requests.run_stream(stream)
            self.requests.parts.metrics.adopted.inc()
        origin = handover.request_id.partition(".")[0]
        self.peers.publish(ADOPTED_KIND, origin, Adopted(url=self.url), urgent=True)
        return b""

    async def confirm(self, sender: str, payload: bytes) -> bytes:
        """Charge an adopted stream on this instance; the sender does not charge it."""
        stream = self.requests.find_stream(payload.decode())
        if stream is not None and not stream.may_charge:
            stream.may_charge = True
            if stream.is_done:
                self.requests.charge_stream(stream)
        return b""

    async def relay(
        self, request: web.Request, request_id: str, n_tokens: int
    ) -> web.StreamResponse:
        """Relay a stream from the instance that holds it.

        The holders known to this instance are asked first, then one contact in each
        other data centre. The relay header prevents loops. While the instance that
        accepted the request hands its streams over, the rows that tell where they go
        on may not have arrived; all instances of a data centre are then asked.

        Raises
        ------
        UnknownRequestError
            If no reachable instance holds the stream.
        """
        hop = request.headers.get(RELAYED_HEADER, "")
        urls = [] if hop == TO_HOLDER else self.holders(request_id)
        if hop != TO_HOLDER and self._is_handed_over(request_id):
            urls += [url for url in self._local_members() if url not in urls]
        candidates = [(url, TO_HOLDER) for url in urls]
        if not hop:
            candidates += [(url, TO_DATA_CENTRE) for url in self._remote_contacts()]
        for url, next_hop in candidates:
            response = await self._relay_from(
                request, url, request_id, n_tokens, hop=next_hop
            )
            if response is not None:
                return response
        raise unknown_request(request_id)

    def _is_handed_over(self, request_id: str) -> bool:
        """Return whether the instance that accepted a request is leaving or gone."""
        origin = request_id.partition(".")[0]
        return any(
            name == origin for _, name in self.peers.rows(ADOPTED_KIND, Adopted)
        ) or any(
            member.instance == origin and member.state is not MemberState.ALIVE
            for member in self.peers.members()
        )

    def _local_members(self) -> list[str]:
        """Return the root URLs of the other instances of this data centre."""
        local = self.peers.me.data_centre
        return [
            f"http://{member.http_address}"
            for member in self.peers.members()
            if member.data_centre == local
            and member.http_address
            and member.state is MemberState.ALIVE
        ]

    def holders(self, request_id: str) -> list[str]:
        """Return the root URLs of instances that may hold a request."""
        origin = request_id.partition(".")[0]
        members = {member.instance: member for member in self.peers.members()}
        urls = []
        if origin in members and members[origin].http_address:
            urls.append(f"http://{members[origin].http_address}")
        for (_, name), row in self.peers.rows(ADOPTED_KIND, Adopted).items():
            if name == origin and row.url not in urls:
                urls.append(row.url)
        return urls

    async def _send_confirmation(self, target: str, request_id: str) -> None:
        """Ask the adopting instance to charge for the stream.

        If none of the requests arrives, no instance charges.
        """
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            try:
                await self.peers.call(
                    target,
                    CONFIRM_METHOD,
                    request_id.encode(),
                    timeout_s=CALL_TIMEOUT_S,
                )
                return
            except LagoonringError as error:
                logger.warning("Confirming a handover failed: {}.", error.code)

    async def _relay_from(
        self,
        request: web.Request,
        url: str,
        request_id: str,
        n_tokens: int,
        *,
        hop: str,
    ) -> web.StreamResponse | None:
        """Relay a stream from an instance; return None if it does not hold it."""
        headers = {
            RELAYED_HEADER: hop,
            LAST_EVENT_HEADER: f"{request_id}:{n_tokens}",
            "Authorization": request.headers.get("Authorization", ""),
        }
        session = self.requests.parts.session
        timeout = aiohttp.ClientTimeout(
            total=RELAY_TIMEOUT_S, sock_connect=CALL_TIMEOUT_S
        )
        try:
            answer = await session.get(
                f"{url}/v1/streams/{request_id}",
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectionError, TimeoutError):
            return None
        async with answer:
            if answer.status == 404:
                return None
            return await _copy_answer(request, answer)

    def _remote_contacts(self) -> list[str]:
        """Return the root URL of one contact in each other data centre.

        An instance knows all members of its own data centre only, so the contact
        searches its own data centre.
        """
        me = self.peers.me
        contacts: dict[str, str] = {}
        for member in self.peers.members():
            is_remote = member.data_centre != me.data_centre
            if is_remote and member.http_address and member.state is MemberState.ALIVE:
                contacts.setdefault(member.data_centre, f"http://{member.http_address}")
        return list(contacts.values())

    def _handover_targets(self, request_id: str) -> list[str]:
        """Return candidates to adopt a stream, those in other data centres first."""
        me = self.peers.me

        def rank(member: Any) -> tuple[bool, int]:
            digest = xxhash.xxh3_64_intdigest(
                f"{request_id}/{member.instance}".encode()
            )
            return member.data_centre == me.data_centre, digest

        alive = [
            member
            for member in self.peers.members()
            if member.instance != me.instance and member.state is MemberState.ALIVE
        ]
        return [member.instance for member in sorted(alive, key=rank)][
            :MAX_HANDOVER_TARGETS
        ]

    def _make_handover(self, stream: Stream) -> Handover:
        request = stream.request
        return Handover(
            request_id=request.request_id,
            organisation=request.organisation,
            entry=request.entry,
            body=request.body,
            events=stream.journal.events(),
            n_tokens=stream.journal.n_tokens,
            grace_s=request.deadline_s - self.app.clock.monotonic(),
            n_tokens_recomputed=stream.n_tokens_recomputed,
        )

    def _end_handed_over(self, stream: Stream, target: str) -> None:
        """End a stream that was handed over, with an error that asks to re-attach."""
        request_id = stream.request.request_id
        stream.handed_to = target
        stream.end(
            HandedOverError(
                f"Got a leaving instance; {target} goes on with the request.",
                remedy=f"Fetch the answer from /v1/streams/{request_id}.",
                retry_after_s=1.0,
            )
        )
        self.requests.parts.metrics.handed_over.inc()
        self.requests.finish_stream(stream)


async def _copy_answer(
    request: web.Request, answer: aiohttp.ClientResponse
) -> web.StreamResponse:
    """Copy an answer to the caller as it arrives."""
    closed = watch_close(answer)
    names = ("Content-Type", "X-Request-Id", "X-Cost", "X-Outcome", "Retry-After")
    headers = {name: answer.headers[name] for name in names if name in answer.headers}
    response = web.StreamResponse(status=answer.status, headers=headers)
    begin_unframed(request)
    await response.prepare(request)
    try:
        async for chunk in answer.content.iter_any():
            await response.write(chunk)
    except (aiohttp.ClientError, TimeoutError) as error:
        # The caller receives an answer without its end event, and re-attaches.
        raise ConnectionResetError(
            "The holder closed the connection before the end."
        ) from error
    if is_cut(closed):
        raise ConnectionResetError("The holder's connection was reset.")
    end_unframed(request)
    return response
