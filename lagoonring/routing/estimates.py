"""Brings the estimates of all endpoints up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.routing import health as health_rules
from lagoonring.routing.learning import find_usual
from lagoonring.routing.state import refresh, set_speeds

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonring.routing.state import EndpointState
    from lagoonring.routing.table import EndpointTable

BUSY_STEP = 0.25


def takes_work(state: EndpointState) -> bool:
    """Return whether an endpoint is neither leaving nor ejected."""
    return not state.is_leaving and state.health.state != health_rules.EJECTED


def measure_utilisation(table: EndpointTable) -> dict[str, float]:
    """Return the load over the slots of this data centre, by entry."""
    busy = {}
    for entry, states in table.by_entry.items():
        local = [state for state in states if state.is_local and takes_work(state)]
        n_slots = sum(state.n_slots for state in local)
        if n_slots:
            share = sum(state.load for state in local) / n_slots
            busy[entry] = round(share / BUSY_STEP) * BUSY_STEP
    return busy


def spread_busy(table: EndpointTable, busy: Mapping[str, Mapping[str, float]]) -> None:
    """Use what other data centres tell of their endpoints."""
    for state in table.states.values():
        by_entry = busy.get(state.data_centre)
        if by_entry is not None and not state.is_local:
            state.told_load = by_entry.get(state.entry, 0.0) * state.n_slots
            refresh(state)


def relax_speeds(table: EndpointTable, now_s: float) -> None:
    """Draw the speeds of each endpoint to what is usual for its entry."""
    for states in table.by_entry.values():
        usual = find_usual([state.speeds for state in states])
        for state in states:
            state.speeds.relax(usual, now_s)
            set_speeds(state, usual)
