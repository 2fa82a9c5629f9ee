"""A double of the exchange, whose view of the other instances is set by the test."""

from __future__ import annotations

import math
from types import SimpleNamespace
from typing import Any

import attrs

from lagoonring.serving.permits import Place


@attrs.define
class FakeExchange:
    """An exchange with a fixed number of instances and share of reachable ones."""

    n_instances: int = 3
    share: float = 1.0
    reported_until_s: float = math.inf
    delay_s: float = 0.5
    life: int = 1
    address: str = "a"
    peers: list[str] = attrs.field(factory=list)
    settings: Any = attrs.field(
        factory=lambda: SimpleNamespace(
            instance="a", data_centre="east", data_centres=("east",)
        )
    )

    def place(self) -> Place:
        """Return the place of this instance."""
        return Place(
            self.address,
            self.settings.data_centre,
            self.settings.data_centres,
            tuple(sorted([self.address, *self.peers])),
        )

    def relays(self) -> list[Any]:
        """Return no instances that relay."""
        return []

    def count_instances(self) -> int:
        """Return the number of known instances."""
        return self.n_instances

    def part(self) -> float:
        """Return the part of this instance, alike at all instances."""
        return 1 / self.n_instances

    def set_seeds(self, seed_ips: tuple[str, ...]) -> None:
        """Ignore changed seeds."""

    def reachable_share(self) -> float:
        """Return the share of instances that are reachable."""
        return self.share

    def report_delay_s(self) -> float:
        """Return the delay of reports, by default that of a small deployment."""
        return self.delay_s

    def all_reported_since(self, at_s: float) -> bool:
        """Return whether all instances have reported since a time."""
        return self.reported_until_s >= at_s
