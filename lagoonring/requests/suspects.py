"""Crashed attempts whose cause is not known yet.

A crash may be the fault of the request or of the endpoint's version. The
quarantine decides later; only then may the version be blamed.
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
    """Keeps crashed attempts until their cause is decided.

    Parameters
    ----------
    observe : callable
        Takes the request, route and result of an attempt whose endpoint is to
        blame.
    """

    def __init__(self, observe: Observe) -> None:
        self.observe = observe
        self.attempts: OrderedDict[
            tuple[str, str], tuple[CallerRequest, Route, AttemptResult]
        ] = OrderedDict()

    def add(self, request: CallerRequest, route: Route, result: AttemptResult) -> None:
        """Keep an attempt if its cause is still open."""
        if result.cause != CAUSE_SUSPECT:
            return
        self.attempts[request.fingerprint, route.endpoint] = (request, route, result)
        while len(self.attempts) > MAX_SUSPECTED_ATTEMPTS:
            self.attempts.popitem(last=False)

    def decide(self, verdict: Verdict) -> None:
        """Blame the endpoints' versions if the request is not the cause."""
        for crash in verdict.crashes:
            attempt = self.attempts.pop((verdict.fingerprint, crash.endpoint), None)
            if attempt is not None and not verdict.cause:
                request, route, result = attempt
                self.observe(request, route, attrs.evolve(result, cause=""))
