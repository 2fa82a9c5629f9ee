"""Outcome of one request, as observed by its caller."""

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
    """Outcome and measurements of one request; times count from its planned arrival.

    ``outcome`` is ``whole``; ``refused`` (the last error said that the request was
    not run); ``lost`` (accepted, but no complete answer by the deadline);
    ``unknown`` (an error said that a keyed call may have run); or ``unreached``
    (no instance answered at all). ``code`` is the code of the last error.
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
