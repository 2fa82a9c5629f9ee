"""Requests and answers of the request path, independent of the front end."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import attrs
import xxhash

from lagoonring.platform.engine_calls import MovedRun
from lagoonring.serving.configuration import Organisation, RouteEntry
from lagoonring.serving.endpoints import Endpoint, EndpointRecord
from lagoonring.serving.placing import Placement
from lagoonring.serving.relay_directory import Relay
from lagoonring.serving.stopping import StopState
from lagoonring.serving.usual_results import UsualRecorder
from lagoonring.serving.version_results import AttemptRecorder

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from lagoonring.errors import LagoonringError
    from lagoonring.serving.buffers import Buffer
    from lagoonring.serving.statements import Statement


PromptParts = tuple[tuple[str, int], ...]
# Where a stopped run can be continued, and as what, best first.
Ways = list[tuple[Endpoint, MovedRun]]


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A complete request of a caller, validated and decoded by a front end.

    ``headers`` holds those that are forwarded to an endpoint unchanged. ``received_s``
    is on the monotonic clock; ``allowed_s`` is how long the caller waits.
    ``resume_after`` is the id of the last event that the caller has of a stream.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    has_body: bool
    key: str | None
    received_s: float
    allowed_s: float | None
    n_prompt_tokens: int = 0
    n_output_tokens: int = 0
    counts_tokens: bool = False
    prompt_parts: PromptParts = ()
    resume_after: int | None = None

    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests may share.

        The last part belongs to the request or its session.
        """
        return tuple(part for part, _ in self.prompt_parts[:-1])

    def fingerprint(self) -> str:
        """Return a hash that is the same for the same call of the same caller."""
        digest = xxhash.xxh3_128()
        for text in (self.key or "", self.method, self.host, self.target):
            digest.update(text.encode(errors="surrogateescape"))
            digest.update(b"\x00")
        digest.update(self.body)
        return digest.hexdigest()


@attrs.define(kw_only=True)
class Job:
    """An accepted request and its progress.

    ``ran_at`` names the endpoints on which it may have run, ``n_sends`` counts all
    endpoints that it was sent to, the last time ``sent_to`` at ``sent_s``. That and
    ``deadline_s`` are on the monotonic clock,
    ``taken`` is what the request counts towards its organisation's limit.
    ``placement`` is the last choice of an endpoint, ``version`` the version there,
    and ``first_answer_s`` the time from the last send to the first event, or to the
    end of a plain answer, ``progressed_s`` when the last event was complete.
    ``event_s`` is when the last event was relayed, ``longest_pause_s`` the longest time
    between two of them.
    ``has_ids`` says that all events relayed had one, ``media_type`` what type the
    stream is of that has begun.
    ``is_long`` says that reading its prompt interrupts other streams for too long.
    ``recorder`` records the attempt in progress for the comparison of versions,
    ``permit`` is an endpoint with a limit and the slot in which it takes the job,
    ``waited_s`` how long it waited for endpoints that wanted no request before. At
    ``expires_s``, on the clock that counts suspension, it may no longer be sent.
    ``retry_taken_s`` is when a send was last taken from the retry budget, ``granted``
    where the job goes on if its endpoint was given up for that. ``may_be_over`` says
    that the stream was given up between two events, of which the last may have come.
    ``relay`` is the instance by which it was sent the last time, None if directly, and
    ``tried_relays`` those that did not pass it on. ``move`` is set while its stream is
    moved to another endpoint, and resolves to the ways to continue it. ``stops`` holds
    what is known of the calls to stop it, by endpoint, and ``n_generated`` is how many
    events of its stream an engine has told to have made, at least. ``first_event`` is
    the id of the stream's first event, 0 if the caller got that from another answer.
    ``copies`` are those of its run that were not used, by address and handle;
    ``is_ended`` says that the job was answered or given up.
    """

    request: CallerRequest
    route: RouteEntry
    service: str
    organisation: Organisation | None
    deadline_s: float
    fingerprint: str
    ran_at: set[str] = attrs.field(factory=set)
    n_sends: int = 0
    sent_to: str = ""
    sent_s: float = 0.0
    tried: set[str] = attrs.field(factory=set)
    last_event: int | None = None
    first_event: int = 0
    has_begun: bool = False
    has_ids: bool = True
    media_type: str = ""
    is_long: bool = False
    is_counted: bool = False
    taken: float = 0.0
    placement: Placement | None = None
    version: str | None = None
    recorder: AttemptRecorder | UsualRecorder | None = None
    first_answer_s: float | None = None
    progressed_s: float = 0.0
    event_s: float | None = None
    longest_pause_s: float = 0.0
    permit: tuple[Endpoint, int] | None = None
    waited_s: float = 0.0
    expires_s: float = math.inf
    retry_taken_s: float | None = None
    granted: Placement | None = None
    may_be_over: bool = False
    relay: Relay | None = None
    tried_relays: set[Relay] = attrs.field(factory=set)
    moved: MovedRun | None = None
    move: asyncio.Future[Ways | None] | None = None
    stops: dict[str, StopState] = attrs.field(factory=dict)
    n_generated: int = 0
    copies: set[tuple[str, str]] = attrs.field(factory=set)
    is_ended: bool = False

    def record_event(self, now_s: float) -> None:
        """Update the longest pause of the stream with an event that is relayed."""
        if self.event_s is not None:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.event_s)
        self.event_s = now_s

    @property
    def n_runs(self) -> int:
        """Return the number of endpoints on which the job may have run."""
        return len(self.ran_at)

    @property
    def may_retry(self) -> bool:
        """Return whether the job may be retried although it may have run already."""
        is_retryable = self.route.is_idempotent or self.route.may_resume
        return is_retryable and self.n_runs < self.route.max_attempts

    @property
    def may_continue(self) -> bool:
        """Return whether another endpoint can tell which events the caller has."""
        return not self.has_begun or (self.has_ids and self.last_event is not None)


@attrs.frozen(kw_only=True)
class SendOrder:
    """What the system adds to a request that it sends to an endpoint.

    Urgency 0 is the highest. ``moved`` is the run that the endpoint continues,
    ``relay`` the instance that passes the request on, None if it is sent directly.
    ``is_wanted`` is asked right before the request is sent.
    """

    endpoint: EndpointRecord
    left_s: float
    urgency: int
    organisation: str | None
    resume_after: int | None
    moved: MovedRun | None = None
    relay: Relay | None = None
    is_wanted: Callable[[], bool] | None = None


class EndpointAnswer(Protocol):
    """An endpoint's answer, whose body is read as it arrives.

    ``is_framed`` says that the body tells its end, which else is only the close of the
    endpoint's connection.
    """

    status: int
    headers: list[tuple[str, str]]
    is_not_run: bool
    is_other_endpoint: bool
    is_signed: bool
    is_framed: bool
    statement: Statement

    async def read(self, buffer: Buffer | None = None) -> bytes:
        """Return the complete body; raises an ``EndpointError`` if it is cut off.

        ``buffer`` bounds what all answers hold together.
        """

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in chunks; raises an ``EndpointError`` if it is cut off."""

    def close(self) -> None:
        """Return the connection to its pool, or close it if the body was not read."""


class Sender(Protocol):
    """Sends requests to endpoints in the platform's format."""

    async def send(self, request: CallerRequest, order: SendOrder) -> EndpointAnswer:
        """Send a request once; raises an ``EndpointError`` if no answer begins."""


class Sink(Protocol):
    """Writes an answer to the caller."""

    async def send_whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send an answer with a complete body."""

    async def send_error(self, error: LagoonringError) -> None:
        """Send an error, which also says whether the request was run."""

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begin an answer whose length is not known yet."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def end(self) -> None:
        """End the body regularly."""

    def abort(self) -> None:
        """Close the connection, so that the answer can't be taken for complete."""

    def unread_s(self) -> float:
        """Return for how long the caller has read nothing of what waits for it."""
