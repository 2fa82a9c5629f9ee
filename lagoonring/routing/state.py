"""What an entry instance knows of an endpoint."""

from __future__ import annotations

from collections import deque

import attrs

from lagoonring.routing.health import EndpointHealth
from lagoonring.routing.learning import DEFAULT_PREFILL_S, Speeds
from lagoonring.routing.messages import EndpointLoad

HISTORY_LENGTH = 64
BUSY_BLOCKS = 4.0
HINT_COST_S = 0.02


@attrs.define(kw_only=True, eq=False)
class EndpointState:
    """An endpoint with its load as estimated here.

    ``cost_s`` (waiting, crossing and busyness in seconds) and ``load`` are kept
    up to date by :func:`refresh`, so that a decision only reads them.
    ``told_load`` is what another data centre told of its endpoints on average.
    ``prefill_s`` and ``base_s`` lie between the endpoint's own speeds and what
    is usual, since its own rest on few and noisy samples.
    """

    name: str
    entry: str
    url: str
    data_centre: str
    instance: str
    version: str
    n_slots: int
    name_hash: int
    is_local: bool
    bit: int = 0
    crossing_s: float = 0.0
    versions: frozenset[str] | None = None
    is_leaving: bool = False
    is_hinted: bool = False
    report: EndpointLoad | None = None
    n_outstanding: int = 0
    n_outstanding_at_report: int = 0
    history: deque[tuple[float, int]] = attrs.field(
        factory=lambda: deque(maxlen=HISTORY_LENGTH)
    )
    n_peers: int = 1
    told_load: float = 0.0
    load: float = 0.0
    wait_s: float = 0.0
    cost_s: float = 0.0
    prefill_s: float = DEFAULT_PREFILL_S
    base_s: float = 0.0
    speeds: Speeds = attrs.field(factory=Speeds)
    health: EndpointHealth = attrs.field(factory=EndpointHealth)

    def runs(self, version: str) -> bool:
        """Return whether the endpoint has a version loaded, as far as known."""
        if self.versions is not None:
            return version in self.versions
        return version == self.version


def refresh(state: EndpointState) -> None:
    """Compute load, expected wait and cost from what is known."""
    if state.report is None:
        load = max(state.told_load, float(state.n_outstanding * state.n_peers))
    else:
        reported = state.report.n_running + state.report.n_waiting
        sent_since = state.n_outstanding - state.n_outstanding_at_report
        load = float(max(reported + sent_since, state.n_outstanding))
    service_s = state.speeds.service_s
    n_over = load - state.n_slots + 1
    state.load = load
    state.wait_s = n_over * service_s / state.n_slots if n_over > 0 else 0.0
    busy_s = BUSY_BLOCKS * state.prefill_s * min(1.0, load / state.n_slots)
    hint_s = HINT_COST_S if state.is_hinted else 0.0
    state.cost_s = state.wait_s + busy_s + state.crossing_s + hint_s


def set_speeds(state: EndpointState, usual: Speeds) -> None:
    """Work out the speeds to count with."""
    own = state.speeds if state.speeds.n_samples else usual
    state.prefill_s = (own.prefill_s + usual.prefill_s) / 2
    state.base_s = (own.base_s + usual.base_s) / 2


def change_own(state: EndpointState, change: int, time_s: float) -> None:
    """Note that a request of this instance began (1) or ended (-1)."""
    state.n_outstanding = max(0, state.n_outstanding + change)
    state.history.append((time_s, state.n_outstanding))
    refresh(state)


def take_report(state: EndpointState, report: EndpointLoad) -> bool:
    """Take a load report in; return False if it is older than the last.

    What this instance had outstanding at the report's time is part of it;
    what it sent since is added by :func:`refresh`.
    """
    if state.report is not None and report.time_s < state.report.time_s:
        return False
    state.report = report
    state.n_outstanding_at_report = _own_at(state, report.time_s)
    if report.n_slots > 0:
        state.n_slots = report.n_slots
    if report.versions:
        state.versions = frozenset(report.versions)
    refresh(state)
    return True


def drop_report(state: EndpointState) -> None:
    """Forget a report that is too old."""
    state.report = None
    state.n_outstanding_at_report = 0
    refresh(state)


def _own_at(state: EndpointState, time_s: float) -> int:
    for changed_s, n_outstanding in reversed(state.history):
        if changed_s <= time_s:
            return n_outstanding
    if len(state.history) < HISTORY_LENGTH:
        return 0
    return state.history[0][1]
