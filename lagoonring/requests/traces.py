"""Routing and retry decisions of recent requests, for ``lagoonring why``."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.requests.streams import Stream


@attrs.frozen(kw_only=True)
class Trace:
    """The decisions about one request, in order, and its outcome.

    ``first_token_s`` and ``elapsed_s`` are measured from admission; ``outcome`` is
    ``ok``, ``replayed`` or the code of the error.
    """

    request_id: str
    organisation: str
    entry: str
    outcome: str
    endpoint: str = ""
    version: str = ""
    n_attempts: int = 0
    n_tokens: int = 0
    n_tokens_recomputed: int = 0
    first_token_s: float | None = None
    elapsed_s: float = 0.0
    cost: float = 0.0
    decisions: list[str] = attrs.field(factory=list)


class Traces:
    """The traces of the ``n_most`` most recent requests."""

    def __init__(self, n_most: int) -> None:
        self.n_most = n_most
        self.by_id: OrderedDict[str, Trace] = OrderedDict()

    def add(self, trace: Trace) -> None:
        """Add a trace and drop the oldest ones beyond the limit."""
        self.by_id[trace.request_id] = trace
        while len(self.by_id) > self.n_most:
            self.by_id.popitem(last=False)

    def get(self, request_id: str) -> Trace | None:
        """Return the trace of a request, or None if it is unknown or dropped."""
        return self.by_id.get(request_id)


def trace_of_stream(stream: Stream, *, outcome: str, elapsed_s: float) -> Trace:
    """Return the trace of a finished stream."""
    request = stream.request
    return Trace(
        request_id=request.request_id,
        organisation=request.organisation,
        entry=request.entry,
        outcome=outcome,
        endpoint=stream.endpoint,
        version=stream.version,
        n_attempts=stream.n_attempts,
        n_tokens=stream.journal.n_tokens,
        n_tokens_recomputed=stream.n_tokens_recomputed,
        first_token_s=stream.first_token_s,
        elapsed_s=elapsed_s,
        cost=stream.cost,
        decisions=stream.decisions,
    )
