"""Crashed attempts whose cause is not yet known.

A crash may be caused by the request or by the endpoint's version. It counts
against the version only after the quarantine has decided that the request is not
the cause.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from lagoonring.routing.messages import CAUSE_SUSPECT, AttemptResult, Route

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.requests.messages import CallerRequest
    from lagoonring.retries.quarantine import Verdict

    Observe = Callable[[CallerRequest, Route, AttemptResult], None]

MAX_SUSPECTED_ATTEMPTS = 256


class SuspectedAttempts:
    """Stores crashed attempts until their cause is decided.

    Parameters
    ----------
    observe : callable
        Called with the request, route and result of each crash that the endpoint
        caused.
    """

    def __init__(self, observe: Observe) -> None:
        self.observe = observe
        self.attempts: OrderedDict[
            tuple[str, str], tuple[CallerRequest, Route, AttemptResult]
        ] = OrderedDict()

    def add(self, request: CallerRequest, route: Route, result: AttemptResult) -> None:
        """Store an attempt if its cause is undecided; drop the oldest if too many."""
        if result.cause != CAUSE_SUSPECT:
            return
        self.attempts[request.fingerprint, route.endpoint] = (request, route, result)
        while len(self.attempts) > MAX_SUSPECTED_ATTEMPTS:
            self.attempts.popitem(last=False)

    def decide(self, verdict: Verdict) -> None:
        """Report crashes that the request did not cause as the versions' failures."""
        for crash in verdict.crashes:
            attempt = self.attempts.pop((verdict.fingerprint, crash.endpoint), None)
            if attempt is not None and not verdict.cause:
                request, route, result = attempt
                self.observe(request, route, attrs.evolve(result, cause=""))
