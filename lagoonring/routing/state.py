"""State of an endpoint as known to an entry instance."""

from __future__ import annotations

from collections import deque

import attrs

from lagoonring.routing.health import EndpointHealth
from lagoonring.routing.learning import DEFAULT_PREFILL_S, Speeds
from lagoonring.routing.messages import EndpointLoad

MAX_HISTORY = 64
UTILISATION_COST_BLOCKS = 4.0
FAILING_PENALTY_S = 0.02


@attrs.define(kw_only=True, eq=False)
class EndpointState:
    """An endpoint with its load as estimated by this instance.

    :func:`refresh` updates ``load`` and ``cost_s`` (the cost in seconds of
    queueing, of crossing to another data centre, of utilisation and of reported
    failures), so that a decision only reads them. ``remote_load`` is the average
    load reported by the endpoint's data centre, if that is another one.
    ``prefill_s`` and ``base_s`` are averages of the endpoint's own speeds and
    the typical ones of its entry, since its own rest on few and noisy samples.
    ``n_outstanding`` counts the requests that this instance has in progress
    there, ``n_instances`` the instances of this data centre.
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
    is_reported_failing: bool = False
    report: EndpointLoad | None = None
    n_outstanding: int = 0
    n_outstanding_at_report: int = 0
    history: deque[tuple[float, int]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_HISTORY)
    )
    n_instances: int = 1
    remote_load: float = 0.0
    load: float = 0.0
    wait_s: float = 0.0
    cost_s: float = 0.0
    prefill_s: float = DEFAULT_PREFILL_S
    base_s: float = 0.0
    speeds: Speeds = attrs.field(factory=Speeds)
    health: EndpointHealth = attrs.field(factory=EndpointHealth)

    def runs(self, version: str) -> bool:
        """Return whether the endpoint is known to have a version loaded.

        Without a report, the version in the catalogue counts as loaded.
        """
        if self.versions is not None:
            return version in self.versions
        return version == self.version


def refresh(state: EndpointState) -> None:
    """Recompute load, expected wait and cost.

    Without a report, the other instances of the data centre are assumed to
    have as many requests outstanding as this one.
    """
    if state.report is None:
        load = max(state.remote_load, float(state.n_outstanding * state.n_instances))
    else:
        n_reported = state.report.n_running + state.report.n_waiting
        n_sent_since = state.n_outstanding - state.n_outstanding_at_report
        load = float(max(n_reported + n_sent_since, state.n_outstanding))
    service_s = state.speeds.service_s
    n_ahead = load - state.n_slots + 1
    state.load = load
    state.wait_s = n_ahead * service_s / state.n_slots if n_ahead > 0 else 0.0
    utilisation_cost_s = (
        UTILISATION_COST_BLOCKS * state.prefill_s * min(1.0, load / state.n_slots)
    )
    penalty_s = FAILING_PENALTY_S if state.is_reported_failing else 0.0
    state.cost_s = state.wait_s + utilisation_cost_s + state.crossing_s + penalty_s


def set_speeds(state: EndpointState, typical: Speeds) -> None:
    """Set the speeds used for decisions to the mean of own and typical ones."""
    own = state.speeds if state.speeds.n_samples else typical
    state.prefill_s = (own.prefill_s + typical.prefill_s) / 2
    state.base_s = (own.base_s + typical.base_s) / 2


def add_outstanding(state: EndpointState, change: int, time_s: float) -> None:
    """Record that a request of this instance began (1) or ended (-1)."""
    state.n_outstanding = max(0, state.n_outstanding + change)
    state.history.append((time_s, state.n_outstanding))
    refresh(state)


def apply_report(state: EndpointState, report: EndpointLoad) -> bool:
    """Apply a load report; return False if it is older than the current one.

    The report includes the requests that this instance had outstanding at the
    report's time; :func:`refresh` adds those sent since.
    """
    if state.report is not None and report.time_s < state.report.time_s:
        return False
    state.report = report
    state.n_outstanding_at_report = _outstanding_at(state, report.time_s)
    if report.n_slots > 0:
        state.n_slots = report.n_slots
    if report.versions:
        state.versions = frozenset(report.versions)
    refresh(state)
    return True


def drop_report(state: EndpointState) -> None:
    """Discard a load report that is too old."""
    state.report = None
    state.n_outstanding_at_report = 0
    refresh(state)


def _outstanding_at(state: EndpointState, time_s: float) -> int:
    for changed_s, n_outstanding in reversed(state.history):
        if changed_s <= time_s:
            return n_outstanding
    if len(state.history) < MAX_HISTORY:
        return 0
    return state.history[0][1]
