"""What became of one request, as its caller saw it."""

from __future__ import annotations

import attrs

from lagoonring.load.checker import TokenFaults

WHOLE = "whole"
REFUSED = "refused"
LOST = "lost"
UNKNOWN = "unknown"
UNREACHED = "unreached"
OUTCOMES = (WHOLE, REFUSED, LOST, UNKNOWN, UNREACHED)


@attrs.define(kw_only=True)
class RequestOutcome:
    """What became of one request; times are seconds since its planned arrival.

    ``outcome`` is ``whole``; ``refused`` (the last word was "not run"); ``lost``
    (accepted, and no whole answer came by the deadline); ``unknown`` (a keyed
    call that the caller was told may have run); or ``unreached`` (no instance
    answered at all). ``code`` is that of the last error.
    """

    kind: str
    organisation: str
    service_class: str
    outcome: str = UNREACHED
    code: str = ""
    request_id: str = ""
    first_token_s: float | None = None
    whole_s: float | None = None
    between_tokens_s: list[float] = attrs.field(factory=list)
    n_tokens: int = 0
    n_sent: int = 0
    n_refusals: int = 0
    n_reattached: int = 0
    n_replayed: int = 0
    n_foreign_answers: int = 0
    faults: TokenFaults = attrs.field(factory=TokenFaults)
