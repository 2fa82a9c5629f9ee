"""Fills messages from the parts of an instance, and applies received ones to them.

An instance always knows its own usage and load. It knows those of the others from sums
that include an earlier state of its own. Reports are numbered, and a digest names the
report that its sums include, so that an instance can subtract exactly that state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.serving.conditions import Conditions
from lagoonring.serving.messages import Loads, Scope, Source, UsageTotals
from lagoonring.serving.statements import apply_statement_rows, statement_rows
from lagoonring.serving.warming import apply_cold_rows, cold_rows

if TYPE_CHECKING:
    from lagoonring.serving.messages import (
        Digest,
        Report,
        StateMessage,
        Summary,
    )
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.relay_directory import RelayRows
    from lagoonring.serving.true_time import TrueClock
    from lagoonring.serving.version_results import ResultsRow
    from lagoonring.serving.versions import MovesDuty
    from lagoonring.serving.warming import ColdRow

RESULTS_INTERVAL_S = 0.5  # a move's holder decides twice a second
USAGE_INTERVAL_S = 1.0  # counts are due only seconds after their window's end
OLD_WINDOWS_INTERVAL = 3  # usage messages; late counts are rare
MAX_OWN_REPORTS = 32  # several seconds; a hub's sums are used for less
NO_REPORT = -1

OTHERS = Source(Scope.OTHERS, "")


@attrs.frozen
class OwnState:
    """State that this instance sent in one report."""

    loads: Loads
    taken: UsageTotals


class StateSync:
    """Synchronises the parts of an instance with those of the others.

    Parameters
    ----------
    moves : MovesDuty or None
        Receives the counts of moves, if this instance may perform moves.
    """

    def __init__(
        self, parts: ServingParts, true_clock: TrueClock, moves: MovesDuty | None
    ) -> None:
        self.parts = parts
        self.true_clock = true_clock
        self.moves = moves
        self.conditions = Conditions(parts.table, parts.app.rng)
        self.own_reports: dict[int, OwnState] = {}
        self.relays: RelayRows = {}
        self.local_lives: set[tuple[str, int]] = set()
        self.local_results: dict[str, dict[str, ResultsRow]] = {}
        self.usage_sent_s = float("-inf")
        self.results_sent_s = float("-inf")
        self.n_usage_sent = 0

    def fill_report(self, report: Report) -> None:
        """Fill a report with the state of this instance."""
        parts = self.parts
        now_s = parts.app.clock.monotonic()
        parts.table.expire_loads(now_s)
        report.time_s = self.true_clock.own_now()
        report.read_well_for_s = parts.follower.read_well_for_s()
        report.loads = parts.table.own_loads()
        report.taken = parts.quotas.totals(now_s)
        report.crashes = parts.suspects.recent_crashes(now_s)
        report.suspects = parts.suspects.take_ages(now_s)
        report.prompts = parts.prompt_suspects.rows(now_s)
        parts.metrics.blocked_parts.set(
            len(parts.prompt_suspects.ages_of_blocked(now_s))
        )
        report.statements = statement_rows(parts.table.endpoints.values(), now_s)
        report.cold = self._cold_rows(now_s)
        report.started = parts.usage.recent()
        report.demand = parts.demand.own()
        report.results = parts.counters.rows()
        report.observations = self.conditions.own_rows(now_s)
        report.unreached = sorted(parts.connectivity.unreached)
        self.own_reports[report.number] = OwnState(report.loads, report.taken)
        while len(self.own_reports) > MAX_OWN_REPORTS:
            del self.own_reports[next(iter(self.own_reports))]

    def fill_summary(self, summary: Summary) -> None:
        """Fill a summary with the sums over this data centre."""
        parts = self.parts
        now_s = parts.app.clock.monotonic()
        parts.table.expire_loads(now_s)
        summary.time_s = self.true_clock.local_now()
        summary.read_well_for_s = parts.follower.read_well_for_s()
        summary.loads = parts.table.local_loads()
        if self._knows_local_usage(now_s):
            summary.taken = parts.quotas.local_totals(now_s)
        summary.crashes = parts.suspects.recent_crashes(now_s)
        summary.suspects = parts.suspects.take_ages(now_s)
        summary.prompts = parts.prompt_suspects.rows(now_s)
        summary.statements = statement_rows(parts.table.endpoints.values(), now_s)
        summary.cold = self._cold_rows(now_s)
        summary.demand = parts.demand.local()
        summary.observations = self.conditions.local_rows(now_s)
        directory = parts.connectivity.directory
        directory.update_local(parts.exchange.address, parts.connectivity.unreached)
        summary.unreached = directory.local_unreached()
        summary.relays = directory.local_rows()
        self.relays = directory.all_rows(summary.relays)
        parts.connectivity.learn_of_relays()
        summary.moves = self._views()
        if now_s - self.results_sent_s >= RESULTS_INTERVAL_S:
            self.results_sent_s = now_s
            summary.results = {
                **self.local_results,
                summary.instance: parts.counters.rows(),
            }
        if now_s - self.usage_sent_s >= USAGE_INTERVAL_S:
            self.usage_sent_s = now_s
            self._fill_usage(summary)

    def _knows_local_usage(self, now_s: float) -> bool:
        """Return whether the sums over this data centre are complete.

        A new hub receives the reports one by one, which repeat what the hub before it
        has told the other hubs.
        """
        exchange = self.parts.exchange
        return exchange.is_settled_hub() or exchange.reachability.has_local_reports(
            exchange.hub_since_s, now_s
        )

    def fill_digest(self, digest: Digest) -> None:
        """Fill a digest with the sums over all instances."""
        parts = self.parts
        now_s = parts.app.clock.monotonic()
        digest.time_s = self.true_clock.now()
        digest.read_well_for_s = parts.follower.read_well_for_s()
        digest.loads = parts.table.all_loads()
        digest.taken = parts.quotas.all_totals(now_s)
        digest.crashes = parts.suspects.recent_crashes(now_s)
        digest.suspects = parts.suspects.take_ages(now_s)
        digest.prompts = parts.prompt_suspects.rows(now_s)
        digest.statements = statement_rows(parts.table.endpoints.values(), now_s)
        digest.cold = self._cold_rows(now_s)
        digest.moves = self._views()
        digest.conditions, digest.typical = self.conditions.assess_all(now_s)
        digest.relays = self.relays

    def apply_report(self, report: Report, now_s: float) -> None:
        """Apply the state of an instance of this data centre."""
        parts = self.parts
        source = Source(Scope.INSTANCE, report.instance)
        self._apply_common(report, source, report.loads, now_s)
        parts.quotas.update_peer(
            source, report.life, report.taken, now_s, is_local=True
        )
        parts.usage.update_peer(report.instance, report.life, report.started)
        parts.demand.update_peer(source, report.demand)
        self.conditions.update_peer(source, report.observations, now_s)
        parts.connectivity.directory.update_local(report.card.address, report.unreached)
        self.true_clock.update_peer(source, report.time_s)
        self.local_lives.add((report.instance, report.life))
        if report.results or report.instance in self.local_results:
            self.local_results[report.instance] = report.results
        if self.moves is not None:
            self.moves.update_peer(report.instance, report.results)

    def apply_summary(self, summary: Summary, now_s: float) -> None:
        """Apply the sums over another data centre."""
        parts = self.parts
        source = Source(Scope.DATA_CENTRE, summary.card.data_centre)
        self._apply_common(summary, source, summary.loads, now_s)
        parts.quotas.update_peer(
            source, summary.life, summary.taken, now_s, is_sum=True
        )
        for window, rows in summary.usage.items():
            for row in rows:
                parts.usage.update_peer(row.instance, row.life, {window: row.counts})
        parts.demand.update_peer(source, summary.demand)
        self.conditions.update_peer(source, summary.observations, now_s)
        parts.connectivity.directory.update_centre(
            source.name, summary.unreached, summary.relays
        )
        self.true_clock.update_peer(source, summary.time_s, weight=summary.n_heard)
        self._apply_move_views(summary)
        if self.moves is not None:
            for instance, results in summary.results.items():
                self.moves.update_peer(instance, results)

    def apply_digest(self, digest: Digest, now_s: float) -> None:
        """Apply the sums over all instances, less this one's own state in them."""
        number = digest.numbers.get(self.parts.exchange.address, NO_REPORT)
        reported = self.own_reports.get(number)
        own = reported or OwnState({}, {})
        loads = _subtract_loads(digest.loads, own.loads)
        self._apply_common(digest, OTHERS, loads, now_s)
        self.parts.quotas.update_peer(
            OTHERS,
            # Sums with and without this instance must not be compared.
            digest.life * 2 + (reported is not None),
            _subtract_usage(digest.taken, own.taken),
            now_s,
            is_sum=True,
        )
        self.true_clock.update_peer(
            OTHERS, digest.time_s, weight=max(digest.n_heard - 1, 1)
        )
        self._apply_move_views(digest)
        self.conditions.apply(digest.conditions, digest.typical, now_s)
        self.parts.connectivity.directory.apply_rows(digest.relays)
        self.parts.connectivity.learn_of_relays()

    def reset_peer_state(self, is_hub: bool) -> None:
        """Discard received state when the hub role changes."""
        parts = self.parts
        parts.table.drop_loads()
        parts.quotas.carry_over_peers(parts.app.clock.monotonic())
        parts.demand.peer_rates.clear()
        self.conditions.drop_peers()
        parts.connectivity.directory.reset()
        self.local_lives.clear()
        self.local_results.clear()

    def _apply_common(
        self, message: StateMessage, source: Source, loads: Loads, now_s: float
    ) -> None:
        """Apply the fields common to all messages."""
        is_forwarded = source.scope is not Scope.OTHERS
        self.parts.follower.record_peer_read(message.read_well_for_s)
        self.parts.table.update_peer_load(source, loads, now_s)
        apply_statement_rows(self.parts.table, message.statements, now_s)
        apply_cold_rows(self.parts.table, message.cold, now_s, self.true_clock.now())
        self.parts.suspects.update_peer(
            message.crashes, message.suspects, now_s, forward=is_forwarded
        )
        self.parts.prompt_suspects.update_peer(
            message.prompts, now_s, forward=is_forwarded
        )

    def _cold_rows(self, now_s: float) -> dict[str, ColdRow]:
        endpoints = self.parts.table.endpoints.values()
        return cold_rows(endpoints, now_s, self.true_clock.now())

    def _apply_move_views(self, message: Summary | Digest) -> None:
        for service, view in message.moves.items():
            self.parts.gate.update(service, view)

    def _views(self) -> dict:
        return {name: known.view for name, known in self.parts.gate.views.items()}

    def _fill_usage(self, summary: Summary) -> None:
        usage = self.parts.usage
        origin = (summary.instance, summary.life)
        self.local_lives &= set(usage.peers)
        lives = {origin, *self.local_lives}
        present = usage.window()
        windows = [present, present - 1]
        if self.n_usage_sent % OLD_WINDOWS_INTERVAL == 0:
            windows.append(present - 2)
            usage.forget_old()
        self.n_usage_sent += 1
        for window in windows:
            rows = usage.rows(window, origin)
            summary.usage[window] = [
                row for row in rows if (row.instance, row.life) in lives
            ]


def connect_state_sync(
    parts: ServingParts, true_clock: TrueClock, moves: MovesDuty | None
) -> None:
    """Set the exchange's state handler to one for the parts."""
    parts.exchange.state_handler = StateSync(parts, true_clock, moves)


def _subtract_loads(sums: Loads, own: Loads) -> Loads:
    others = dict(sums)
    for endpoint, (n_running, n_tokens) in own.items():
        all_running, all_tokens = others.get(endpoint, (0, 0))
        others[endpoint] = (
            max(all_running - n_running, 0),
            max(all_tokens - n_tokens, 0),
        )
    return others


def _subtract_usage(sums: UsageTotals, own: UsageTotals) -> UsageTotals:
    others = dict(sums)
    for organisation, (own_total, own_recent) in own.items():
        total, recent = others.get(organisation, (0.0, 0.0))
        others[organisation] = (total - own_total, max(recent - own_recent, 0.0))
    return others
