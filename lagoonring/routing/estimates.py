"""Updates the load and speed estimates across all endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.routing import health as health_rules
from lagoonring.routing.learning import median_speeds
from lagoonring.routing.state import refresh, set_speeds

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonring.routing.state import EndpointState
    from lagoonring.routing.table import EndpointTable

UTILISATION_STEP = 0.25


def accepts_requests(state: EndpointState) -> bool:
    """Return whether an endpoint is neither leaving nor ejected."""
    return not state.is_leaving and state.health.state != health_rules.EJECTED


def measure_utilisation(table: EndpointTable) -> dict[str, float]:
    """Return the load per slot in this data centre, by entry.

    Rounded to multiples of ``UTILISATION_STEP``.
    """
    utilisation = {}
    for entry, states in table.by_entry.items():
        local = [
            state for state in states if state.is_local and accepts_requests(state)
        ]
        n_slots = sum(state.n_slots for state in local)
        if n_slots:
            ratio = sum(state.load for state in local) / n_slots
            utilisation[entry] = round(ratio / UTILISATION_STEP) * UTILISATION_STEP
    return utilisation


def apply_remote_utilisation(
    table: EndpointTable, utilisation: Mapping[str, Mapping[str, float]]
) -> None:
    """Apply the utilisation, by data centre and entry, to remote endpoints."""
    for state in table.states.values():
        utilisation_by_entry = utilisation.get(state.data_centre)
        if utilisation_by_entry is not None and not state.is_local:
            state.remote_load = (
                utilisation_by_entry.get(state.entry, 0.0) * state.n_slots
            )
            refresh(state)


def relax_speeds(table: EndpointTable, now_s: float) -> None:
    """Move endpoints without recent samples towards the medians of their entry.

    Then set the speeds that :func:`lagoonring.routing.state.refresh` uses.
    """
    for states in table.by_entry.values():
        typical = median_speeds([state.speeds for state in states])
        for state in states:
            state.speeds.relax_towards(typical, now_s)
            set_speeds(state, typical)
