"""A service whose endpoints are down for a time and come back cold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.endpoints.errors import EndpointConnectError
from lagoonring.serving.configuration import WarmUp
from lagoonring.serving.warming import apply_cold_rows, cold_rows
from lagoonring.tests.builders.limited_service import TICK_S, LimitedService
from lagoonring.tests.builders.serving import FakeAnswer, make_record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonring.serving.warming import ColdRow

WARM_UP = WarmUp(duration_s=3.0, rate_per_s=10.0)
MAX_ARRIVALS = 20  # in a second, 1.5 times the rate and 5
ANSWER_S = 0.08


@attrs.define(kw_only=True, slots=False)
class ColdService(LimitedService):
    """All endpoints, or the ``returning`` ones, are down and come back together.

    Their new records are read ``record_delay_s`` after their return.
    """

    limits: dict[str, float] = attrs.field(factory=dict)
    returning: tuple[str, ...] = ()
    down_from_s: float = 1.0
    back_s: float = 3.0
    record_delay_s: float = 0.0
    is_configured: bool = True

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.returning = self.returning or self.endpoints
        self.is_record_read = False
        if self.is_configured:
            for instance in self.instances:
                instance.table.warm_ups = {"desk": WARM_UP}

    async def run(self, seconds: float) -> None:
        """Let callers send requests, in steps in which records may be read."""
        end_s = self.elapsed_s() + seconds
        while self.elapsed_s() < end_s - TICK_S / 2:
            await super().run(min(0.1, end_s - self.elapsed_s()))
            if self.elapsed_s() >= self.back_s + self.record_delay_s:
                self._read_records()

    def cold_arrivals(self) -> dict[str, list[float]]:
        """Return when requests reached the cold endpoints."""
        arrivals: dict[str, list[float]] = {name: [] for name in self.returning}
        for at_s, name, _ in self.arrivals:
            if name in arrivals and 0 <= at_s - self.back_s < WARM_UP.duration_s:
                arrivals[name].append(at_s)
        return arrivals

    def _read_records(self) -> None:
        if self.is_record_read or not self.is_configured:
            return
        self.is_record_read = True
        for instance in self.instances:
            for name in self.returning:
                record = make_record(
                    name,
                    born_ms=2000,
                    cold_left_s=WARM_UP.duration_s,
                )
                now_s = self.clock.monotonic()
                instance.table.apply(record, n_cache_tokens=1000, now_s=now_s)

    def _exchange(self) -> None:
        super()._exchange()
        now_s = self.clock.monotonic()
        tables = [instance.table for instance in self.instances]
        newest: dict[str, ColdRow] = {}
        for table in tables:
            for name, row in cold_rows(table.endpoints.values(), now_s, now_s).items():
                newest[name] = max(row, newest.get(name, row))
        for table in tables:
            apply_cold_rows(table, newest, now_s, now_s)

    async def _answer(self, number: int, endpoint: str) -> Any:
        is_down = self.down_from_s <= self.elapsed_s() < self.back_s
        if is_down and endpoint in self.returning:
            raise EndpointConnectError("Got no connection, expected one.")
        self.arrivals.append((self.elapsed_s(), endpoint, number))
        await self.clock.sleep(ANSWER_S)
        return FakeAnswer([b"done"])


def most_in_a_second(times: Iterable[float]) -> int:
    """Return the most times that lie within any one second."""
    ordered = sorted(times)
    return max(
        (sum(0 <= other - at_s < 1.0 for other in ordered) for at_s in ordered),
        default=0,
    )
