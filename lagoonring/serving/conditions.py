"""Sums up the observations of all instances and applies the result to the endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.serving.observations import (
    Observation,
    Typical,
    assess,
    decode_condition,
    encode_conditions,
    find_typical,
    from_row,
    to_row,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

    from lagoonring.serving.endpoints import EndpointTable
    from lagoonring.serving.messages import Source
    from lagoonring.serving.observations import (
        Condition,
        ConditionRow,
        ObservationRow,
        TypicalRow,
    )

MAX_REUSE_DELAY_S = 2.0  # spreads the first requests to an endpoint that was down

ObservationRows = dict[str, "ObservationRow"]


class Conditions:
    """Conditions of the endpoints, from the observations of all instances.

    Instances report their own observations, hubs sum them up, and all instances apply
    the conditions that their hub derives from the sums.

    Parameters
    ----------
    table : EndpointTable
        The endpoints, whose own observations are reported and whose conditions are
        set.
    """

    def __init__(self, table: EndpointTable, rng: random.Random) -> None:
        self.table = table
        self.rng = rng
        self.peers: dict[Source, dict[str, Observation]] = {}

    def own_rows(self, now_s: float) -> ObservationRows:
        """Return this instance's observations as sent in a report."""
        return {
            endpoint.name: to_row(endpoint.observation, now_s)
            for endpoint in self.table.endpoints.values()
            if endpoint.observation.is_relevant(now_s)
        }

    def local_rows(self, now_s: float) -> ObservationRows:
        """Return the sums over this data centre as sent in a summary."""
        local = [seen for source, seen in self.peers.items() if source.is_local]
        sums = self._sum(local, now_s)
        return {
            name: to_row(seen, now_s)
            for name, seen in sums.items()
            if seen.is_relevant(now_s)
        }

    def update_peer(self, source: Source, rows: ObservationRows, now_s: float) -> None:
        """Replace the observations that a peer reported earlier."""
        self.peers[source] = {name: from_row(row, now_s) for name, row in rows.items()}

    def drop_peers(self) -> None:
        """Drop the observations of all peers."""
        self.peers.clear()

    def assess_all(
        self, now_s: float
    ) -> tuple[dict[str, ConditionRow], dict[str, TypicalRow]]:
        """Return conditions by endpoint and typical times by service for a digest.

        They are applied here as well.
        """
        sums = self._sum(self.peers.values(), now_s)
        typical = {
            service: find_typical(
                sums[endpoint.name]
                for endpoint in self.table.of_service(service)
                if endpoint.name in sums
            )
            for service in self.table.by_service
        }
        conditions = dict(self._assess(sums, typical, now_s))
        self._apply(conditions, typical, now_s)
        rows = {
            service: (round(one.service_s * 1e3), round(one.token_s * 1e9))
            for service, one in typical.items()
        }
        return encode_conditions(conditions), rows

    def apply(
        self,
        conditions: dict[str, ConditionRow],
        typical: dict[str, TypicalRow],
        now_s: float,
    ) -> None:
        """Apply the conditions of a digest."""
        self._apply(
            {name: decode_condition(row) for name, row in conditions.items()},
            {
                service: Typical(service_ms / 1e3, token_ns / 1e9)
                for service, (service_ms, token_ns) in typical.items()
            },
            now_s,
        )

    def _sum(
        self, peers: Iterable[dict[str, Observation]], now_s: float
    ) -> dict[str, Observation]:
        sums: dict[str, Observation] = {}
        own = {
            endpoint.name: endpoint.observation
            for endpoint in self.table.endpoints.values()
        }
        for rows in (own, *peers):
            for name, seen in rows.items():
                sums.setdefault(name, Observation(now_s)).add(seen, now_s)
        return sums

    def _assess(
        self,
        sums: dict[str, Observation],
        typical: dict[str, Typical],
        now_s: float,
    ) -> Iterator[tuple[str, Condition]]:
        for endpoint in self.table.endpoints.values():
            seen = sums.get(endpoint.name)
            if seen is None:
                continue
            condition = assess(seen, typical[endpoint.record.service], now_s)
            if condition is not None:
                yield endpoint.name, condition

    def _apply(
        self,
        conditions: dict[str, Condition],
        typical: dict[str, Typical],
        now_s: float,
    ) -> None:
        self.table.typical = typical
        self.table.assessed_s = now_s
        for endpoint in self.table.endpoints.values():
            endpoint.condition = conditions.get(endpoint.name)
            down_s = endpoint.condition.down_s if endpoint.condition else 0.0
            if down_s <= 0:
                endpoint.reported_down_until_s = 0.0
            elif endpoint.reported_down_until_s < now_s + down_s:
                delay_s = MAX_REUSE_DELAY_S * self.rng.random()
                endpoint.reported_down_until_s = now_s + down_s + delay_s
