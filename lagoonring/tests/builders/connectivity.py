"""Builders of an instance's knowledge of which endpoints it reaches."""

from __future__ import annotations

from typing import Any

from lagoonring.serving.connectivity import Connectivity
from lagoonring.serving.relay_directory import RelayDirectory


async def probe_nothing(record: Any) -> bool:
    """Return that a connection to the endpoint was established."""
    return True


def make_connectivity(
    table: Any, clock: Any, rng: Any, *, relays: Any = list, probe: Any = probe_nothing
) -> Connectivity:
    """Return the connectivity of an instance, which reaches all by default."""
    directory = RelayDirectory(relays, clock, rng)
    return Connectivity(table, clock, rng, probe=probe, directory=directory)
