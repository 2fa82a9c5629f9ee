"""The state of a streamed answer: journal, caller's connection and endpoint."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
from aiohttp import web

from lagoonring.endpoints.events import SEPARATOR
from lagoonring.errors import LagoonringError
from lagoonring.requests.errors import correct_outcome
from lagoonring.requests.journal import Journal
from lagoonring.requests.messages import ChatRequest


@attrs.define(kw_only=True, eq=False)
class Stream:
    """State of one request to a model assistant.

    ``sink`` is the caller's connection while one is attached. Events are written to
    the journal first, so the connection can be replaced at any time. ``changed`` is
    set by the first event and by the end of the stream. ``is_reading`` is set while
    an attempt is read, ``is_moving`` while it is moved to another endpoint;
    ``move_ready`` is set once the next attempt may start. ``is_paused`` is set while
    the stream is handed over. After a failed attempt, further ones run
    ``pinned_version``. ``may_charge`` is unset while another instance may charge the
    stream. ``may_have_run`` is set unless it is certain that no attempt has run.
    """

    request: ChatRequest
    journal: Journal = attrs.field(factory=Journal)
    sink: web.StreamResponse | None = None
    sink_lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    finished: asyncio.Event = attrs.field(factory=asyncio.Event)
    error: LagoonringError | None = None
    task: asyncio.Task[None] | None = None
    endpoint: str = ""
    version: str = ""
    pinned_version: str = ""
    attempt_id: str = ""
    n_attempts: int = 0
    may_have_run: bool = False
    is_reading: bool = False
    is_moving: bool = False
    is_paused: bool = False
    move_ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    permit: Any = None
    kv: str | None = None
    next_endpoint: str = ""
    n_tokens_recomputed: int = 0
    started_s: float = 0.0
    attempt_first_event_s: float | None = None
    first_token_s: float | None = None
    ended_s: float = 0.0
    cost: float = 0.0
    may_charge: bool = True
    handed_to: str = ""
    decisions: list[str] = attrs.field(factory=list)

    @property
    def is_done(self) -> bool:
        """Return whether the stream has ended."""
        return self.finished.is_set()

    def attach(self, sink: web.StreamResponse) -> None:
        """Send all further events to a connection, which replaces the current one."""
        self.detach()
        self.sink = sink
        self.sink_lost = asyncio.Event()

    def detach(self) -> None:
        """Release the caller's connection and wake its handler."""
        self.sink = None
        self.sink_lost.set()

    async def deliver(self, events: list[bytes]) -> None:
        """Append events to the journal and write them to the attached caller."""
        self.journal.append(events)
        if not self.changed.is_set():
            self.changed.set()
        sink = self.sink
        if sink is None:
            return
        try:
            await sink.write(SEPARATOR.join(events) + SEPARATOR)
        except ConnectionError:
            if self.sink is sink:
                self.detach()

    def end(self, error: LagoonringError | None = None) -> None:
        """Mark the stream as ended, complete or with an error."""
        if error is not None:
            correct_outcome(error, may_have_run=self.may_have_run)
        self.error = error
        self.journal.compact()
        self.finished.set()
        self.changed.set()
