"""Requests to the limits service, its permits and errors."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from lagoonring.errors import LagoonringError


@attrs.frozen(kw_only=True)
class AdmitRequest:
    """A request to be admitted.

    ``deadline_s`` is the time on ``app.clock.monotonic()`` by which the complete
    response is due.
    """

    organisation: str
    entry: str
    service_class: str
    n_tokens_most: int = 0
    deadline_s: float


class RefusedError(LagoonringError):
    """The request was refused and not run."""

    code = "refused"
    status = 503


class LimitRefusedError(RefusedError):
    """A limit of the organisation, class or entry is used up."""

    code = "limit_reached"
    status = 429


class OverloadRefusedError(RefusedError):
    """The queue is full, or the request can't meet its deadline."""

    code = "overloaded"
    status = 503


@attrs.define(kw_only=True, eq=False)
class Permit:
    """Permission to dispatch one request; must be released when it ends.

    Repeated calls of :meth:`release` have no effect.
    """

    request: AdmitRequest
    granted_s: float
    waited_s: float
    on_release: Callable[[Permit, int], None] = attrs.field(repr=False)
    is_released: bool = False

    def release(self, n_tokens: int = 0) -> None:
        """Release the slot and charge the tokens that the request used."""
        if self.is_released:
            return
        self.is_released = True
        self.on_release(self, n_tokens)
