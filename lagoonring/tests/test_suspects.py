from __future__ import annotations

from lagoonring.requests.messages import CallerRequest
from lagoonring.requests.suspects import SuspectedAttempts
from lagoonring.retries.messages import Crash
from lagoonring.retries.quarantine import Verdict
from lagoonring.routing.messages import CAUSE_REQUEST, AttemptResult, Route


def decide(cause: str) -> list[str]:
    """Return the versions blamed for a crash after a verdict with this cause."""
    blamed: list[str] = []
    suspects = SuspectedAttempts(
        lambda request, route, result: blamed.append(route.version)
    )
    request = CallerRequest(
        request_id="r",
        organisation="hann",
        entry="guide",
        service_class="assistant",
        body=b"",
        fingerprint="f",
        deadline_s=0.0,
    )
    route = Route(endpoint="guide-1", url="", version="2")
    suspects.add(request, route, AttemptResult(ok=False, kind="cut", cause="suspect"))
    assert blamed == []
    verdict = Verdict("f", (Crash("guide-1", 1.0),), cause)
    suspects.decide(verdict)
    suspects.decide(verdict)
    return blamed


def test_version_is_blamed_once_and_only_if_the_request_is_not_the_cause():
    assert decide("") == ["2"]
    assert decide(CAUSE_REQUEST) == []
