"""How much work arrives for each service, from all instances' news."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.kernel import Clock

HALF_LIFE_S = 4.0  # about a boot time: a shorter burst is over before help comes
PEER_AGE_S = 3.0  # what a silent instance told last is no load any more


@attrs.define
class Rate:
    """A rate that fades: seconds of endpoint time that arrive per second."""

    value: float = 0.0
    updated_s: float = 0.0

    def read(self, now_s: float) -> float:
        """Return the rate now."""
        return self.value * math.exp2(-(now_s - self.updated_s) / HALF_LIFE_S)

    def add(self, amount: float, now_s: float) -> None:
        """Count an arrival."""
        self.value = self.read(now_s) + amount * math.log(2) / HALF_LIFE_S
        self.updated_s = now_s


class Demand:
    """Rates of this instance and of the others, by service."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rates: dict[str, Rate] = {}
        self.told: dict[str, tuple[float, dict[str, float]]] = {}

    def note_arrival(self, service: str, seconds: float) -> None:
        """Count a request that takes ``seconds`` of an endpoint's time."""
        rate = self.rates.setdefault(service, Rate())
        rate.add(seconds, self.clock.monotonic())

    def own(self) -> dict[str, float]:
        """Return this instance's rates."""
        now_s = self.clock.monotonic()
        return {name: round(rate.read(now_s), 4) for name, rate in self.rates.items()}

    def note_peer(self, peer: str, rates: dict[str, float]) -> None:
        """Take in a peer's rates."""
        self.told[peer] = (self.clock.monotonic(), rates)

    def busy_endpoints(self, service: str) -> float:
        """Return the work that arrives, in endpoints that are fully busy."""
        now_s = self.clock.monotonic()
        total = self.own().get(service, 0.0)
        for heard_s, rates in self.told.values():
            if now_s - heard_s < PEER_AGE_S:
                total += rates.get(service, 0.0)
        return total
