"""Connects what instances tell each other with the parts that need it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonring.serving.exchange import Frame
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.true_time import TrueClock
    from lagoonring.serving.versions import MovesDuty


def connect_news(
    parts: ServingParts, true_clock: TrueClock, moves: MovesDuty | None
) -> None:
    """Fill this instance's frames, and take in those of the others."""

    def fill(frame: Frame) -> None:
        frame.loads = {
            endpoint.name: (endpoint.n_running, endpoint.n_waiting_tokens)
            for endpoint in parts.table.endpoints.values()
            if endpoint.n_running
        }
        frame.read_well_for_s = parts.follower.read_well_for_s()
        frame.taken = parts.quotas.totals(parts.app.clock.monotonic())
        frame.started = parts.usage.recent()
        frame.crashes = parts.suspects.read_news(parts.app.clock.monotonic())
        frame.demand = parts.demand.own()
        frame.versions = parts.counters.rows()
        frame.moves = {name: it.view for name, it in parts.gate.views.items()}

    def take(frame: Frame, now_s: float) -> None:
        parts.follower.note_peer(frame.read_well_for_s)
        true_clock.note_peer(frame.instance, frame.time_s)
        parts.table.note_peer_load(frame.instance, frame.loads, now_s)
        parts.quotas.note_peer(frame.instance, frame.life, frame.taken, now_s)
        parts.usage.note_peer(frame.instance, frame.life, frame.started)
        parts.suspects.note_peer(frame.crashes)
        parts.demand.note_peer(frame.instance, frame.demand)
        for service, view in frame.moves.items():
            parts.gate.note(service, view)
        if moves is not None:
            moves.note_peer(frame.instance, frame.versions)

    parts.exchange.fillers.append(fill)
    parts.exchange.takers.append(take)
