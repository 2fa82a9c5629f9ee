"""Arrival rates of work by service, from this instance and its peers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.kernel import Clock
    from lagoonring.serving.messages import Source

HALF_LIFE_S = 4.0  # about a boot time: new endpoints would miss a shorter burst
LONG_PROMPTS = "/long"  # after the name of a service: the long prompts among its work
MAX_PEER_RATE_AGE_S = 3.0  # older reports of a silent instance no longer count as load


@attrs.define
class Rate:
    """An exponentially decaying rate: seconds of endpoint time arriving per second."""

    value: float = 0.0
    updated_s: float = 0.0

    def read(self, now_s: float) -> float:
        """Return the rate at a time."""
        return self.value * math.exp2(-(now_s - self.updated_s) / HALF_LIFE_S)

    def add(self, amount: float, now_s: float) -> None:
        """Add an arrival."""
        self.value = self.read(now_s) + amount * math.log(2) / HALF_LIFE_S
        self.updated_s = now_s


class Demand:
    """Rates of this instance and of its peers, by service."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rates: dict[str, Rate] = {}
        self.peer_rates: dict[Source, tuple[float, dict[str, float]]] = {}

    def record_long_prompt(self, service: str, seconds: float) -> None:
        """Count a prompt that an endpoint reads for longer than streams may pause."""
        self.record_arrival(service + LONG_PROMPTS, seconds)

    def long_prompts(self, service: str) -> float:
        """Return the seconds of reading long prompts that arrive per second."""
        return self.busy_endpoints(service + LONG_PROMPTS)

    def record_arrival(self, service: str, seconds: float) -> None:
        """Count a request that takes ``seconds`` of an endpoint's time."""
        rate = self.rates.setdefault(service, Rate())
        rate.add(seconds, self.clock.monotonic())

    def own(self) -> dict[str, float]:
        """Return this instance's rates."""
        now_s = self.clock.monotonic()
        return {name: round(rate.read(now_s), 4) for name, rate in self.rates.items()}

    def update_peer(self, source: Source, rates: dict[str, float]) -> None:
        """Replace the rates reported by a peer."""
        self.peer_rates[source] = (self.clock.monotonic(), rates)

    def local(self) -> dict[str, float]:
        """Return the rates summed over the instances of this data centre."""
        sums = self.own()
        for source, rates in self._fresh():
            if source.is_local:
                for service, rate in rates.items():
                    sums[service] = round(sums.get(service, 0.0) + rate, 4)
        return sums

    def busy_endpoints(self, service: str) -> float:
        """Return the arriving work, in endpoints that are fully busy with it."""
        total = self.own().get(service, 0.0)
        return total + sum(rates.get(service, 0.0) for _, rates in self._fresh())

    def _fresh(self) -> Iterator[tuple[Source, dict[str, float]]]:
        now_s = self.clock.monotonic()
        for source, (received_s, rates) in self.peer_rates.items():
            if now_s - received_s < MAX_PEER_RATE_AGE_S:
                yield source, rates
