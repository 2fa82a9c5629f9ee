"""A service whose endpoints fall over if they refuse too many requests."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.endpoints.errors import EndpointConnectError
from lagoonring.serving.messages import Scope, Source
from lagoonring.serving.observations import Typical
from lagoonring.serving.statements import Statement
from lagoonring.tests.builders.limited_service import LimitedService
from lagoonring.tests.builders.serving import FakeAnswer

if TYPE_CHECKING:
    from lagoonring.tests.builders.serving import CapturingSink

N_SLOTS = 6
N_QUEUED = 2
WORK_S = 0.1
FALLEN_S = 3.0


@attrs.define
class BrittleEndpoint:
    """Runs, queues and refuses requests; falls over as it refuses too many."""

    n_running: int = 0
    refused_s: deque[float] = attrs.field(factory=deque)
    back_s: float = 0.0
    n_falls: int = 0


@attrs.define(kw_only=True, slots=False)
class BrittleService(LimitedService):
    """Endpoints that can refuse ``n_refusable`` requests a second."""

    limits: dict[str, float] = attrs.field(factory=dict)
    endpoints: tuple[str, ...] = ("a", "b", "c")
    n_refusable: int = 6
    says_so: bool = True

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.brittle = {name: BrittleEndpoint() for name in self.endpoints}

    def count_falls(self) -> int:
        """Return how often endpoints fell over."""
        return sum(endpoint.n_falls for endpoint in self.brittle.values())

    def _exchange(self) -> None:
        super()._exchange()
        loads = [instance.table.own_loads() for instance in self.instances]
        for number, instance in enumerate(self.instances):
            instance.table.typical = {"desk": Typical(WORK_S, 0.0)}
            now_s = self.clock.monotonic()
            for other, load in enumerate(loads):
                if other != number:
                    source = Source(Scope.INSTANCE, f"{other}")
                    instance.table.update_peer_load(source, load, now_s)

    async def _answer(self, number: int, endpoint: str) -> Any:
        one, now_s = self.brittle[endpoint], self.clock.monotonic()
        if now_s < one.back_s:
            raise EndpointConnectError("Got no connection, expected one.")
        statement = Statement(n_refusable=self.n_refusable if self.says_so else None)
        if one.n_running >= N_SLOTS + N_QUEUED:
            self._refuse(one, now_s)
            return FakeAnswer(
                status=503, is_not_run=True, is_signed=False, statement=statement
            )
        one.n_running += 1
        try:
            await self.clock.sleep(WORK_S * max(one.n_running / N_SLOTS, 1))
        finally:
            one.n_running -= 1
        return FakeAnswer([b"done"], statement=statement)

    def _refuse(self, one: BrittleEndpoint, now_s: float) -> None:
        one.refused_s.append(now_s)
        while now_s - one.refused_s[0] >= 1.0:
            one.refused_s.popleft()
        if len(one.refused_s) > self.n_refusable:
            one.n_falls += 1
            one.back_s = now_s + FALLEN_S
            one.refused_s.clear()


def share_answered(sinks: list[CapturingSink]) -> float:
    """Return the share of the callers that got an answer."""
    return sum(sink.status == 200 for sink in sinks) / len(sinks)
