"""Connects what instances tell each other with the parts that need it.

An instance knows its own use and load at any time, that of the others from sums that
contain some earlier state of its own. Reports are numbered, and a hub says which
report its sums contain, so that an instance takes out exactly what it told then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.serving.messages import Loads, Scope, Source, Taken

if TYPE_CHECKING:
    from lagoonring.moves.counts import CountsRow
    from lagoonring.serving.messages import (
        Digest,
        News,
        Report,
        Summary,
    )
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.true_time import TrueClock
    from lagoonring.serving.versions import MovesDuty

USAGE_EVERY_S = 1.0  # counts are due seconds after their window
OLD_WINDOWS_EVERY = 3  # tellings; what came late for a window is rare
N_REPORTS_KEPT = 32  # some seconds of reports, longer than a hub's sums are used
NOT_HEARD = -1

OTHERS = Source(Scope.OTHERS, "")


@attrs.frozen
class Told:
    """What this instance said of itself in one report."""

    loads: Loads
    taken: Taken


class StateSync:
    """Fills and takes in messages for the parts of an instance.

    Parameters
    ----------
    moves : MovesDuty or None
        Gets the counts of moves, if this instance may carry moves on.
    """

    def __init__(
        self, parts: ServingParts, true_clock: TrueClock, moves: MovesDuty | None
    ) -> None:
        self.parts = parts
        self.true_clock = true_clock
        self.moves = moves
        self.told: dict[int, Told] = {}
        self.local_lives: set[tuple[str, int]] = set()
        self.local_versions: dict[str, dict[str, CountsRow]] = {}
        self.usage_told_s = float("-inf")
        self.n_usage_told = 0

    def fill_report(self, report: Report) -> None:
        """Put this instance's news into a report."""
        parts = self.parts
        now_s = parts.app.clock.monotonic()
        parts.table.expire_loads(now_s)
        report.time_s = parts.app.clock.time()
        report.read_well_for_s = parts.follower.read_well_for_s()
        report.loads = parts.table.own_loads()
        report.taken = parts.quotas.totals(now_s)
        report.crashes = parts.suspects.read_news(now_s)
        report.started = parts.usage.recent()
        report.demand = parts.demand.own()
        report.versions = parts.counters.rows()
        self.told[report.number] = Told(report.loads, report.taken)
        while len(self.told) > N_REPORTS_KEPT:
            del self.told[next(iter(self.told))]

    def fill_summary(self, summary: Summary) -> None:
        """Put the sums over this data centre into a summary."""
        parts = self.parts
        now_s = parts.app.clock.monotonic()
        parts.table.expire_loads(now_s)
        summary.time_s = self.true_clock.local_now()
        summary.read_well_for_s = parts.follower.read_well_for_s()
        summary.loads = parts.table.local_loads()
        summary.taken = parts.quotas.local_totals(now_s)
        summary.crashes = parts.suspects.read_news(now_s)
        summary.demand = parts.demand.local()
        summary.moves = self._views()
        summary.versions = {
            **self.local_versions,
            summary.instance: parts.counters.rows(),
        }
        if now_s - self.usage_told_s >= USAGE_EVERY_S:
            self.usage_told_s = now_s
            self._fill_usage(summary)

    def fill_digest(self, digest: Digest) -> None:
        """Put the sums over all instances into a digest."""
        parts = self.parts
        now_s = parts.app.clock.monotonic()
        digest.time_s = self.true_clock.now()
        digest.read_well_for_s = parts.follower.read_well_for_s()
        digest.loads = parts.table.all_loads()
        digest.taken = parts.quotas.all_totals(now_s)
        digest.crashes = parts.suspects.read_news(now_s)
        digest.moves = self._views()

    def apply_report(self, report: Report, now_s: float) -> None:
        """Take in the news of an instance of this data centre."""
        parts = self.parts
        source = Source(Scope.INSTANCE, report.instance)
        self._take(report, source, report.loads, now_s)
        parts.quotas.update_peer(
            source, report.life, report.taken, now_s, is_local=True
        )
        parts.usage.update_peer(report.instance, report.life, report.started)
        parts.demand.note_peer(source, report.demand)
        self.true_clock.update_peer(source, report.time_s)
        self.local_lives.add((report.instance, report.life))
        if report.versions or report.instance in self.local_versions:
            self.local_versions[report.instance] = report.versions
        if self.moves is not None:
            self.moves.note_peer(report.instance, report.versions)

    def apply_summary(self, summary: Summary, now_s: float) -> None:
        """Take in the sums over another data centre."""
        parts = self.parts
        source = Source(Scope.DATA_CENTRE, summary.card.data_centre)
        self._take(summary, source, summary.loads, now_s)
        parts.quotas.update_peer(
            source, summary.life, summary.taken, now_s, is_sum=True
        )
        for window, rows in summary.usage.items():
            for row in rows:
                parts.usage.update_peer(row.instance, row.life, {window: row.counts})
        parts.demand.note_peer(source, summary.demand)
        self.true_clock.update_peer(source, summary.time_s, weight=summary.n_heard)
        self._take_views(summary)
        if self.moves is not None:
            for instance, versions in summary.versions.items():
                self.moves.note_peer(instance, versions)

    def apply_digest(self, digest: Digest, now_s: float) -> None:
        """Take in the sums over all instances, less what this one told."""
        number = digest.numbers.get(self.parts.exchange.address, NOT_HEARD)
        told = self.told.get(number)
        own = told or Told({}, {})
        loads = _subtract_loads(digest.loads, own.loads)
        self._take(digest, OTHERS, loads, now_s)
        self.parts.quotas.update_peer(
            OTHERS,
            # Sums that contain this instance and those that don't are not compared.
            digest.life * 2 + (told is not None),
            _subtract_taken(digest.taken, own.taken),
            now_s,
            is_sum=True,
        )
        self.true_clock.update_peer(
            OTHERS, digest.time_s, weight=max(digest.n_heard - 1, 1)
        )
        self._take_views(digest)

    def reset_peer_state(self, is_hub: bool) -> None:
        """Forget what was heard in the role before."""
        parts = self.parts
        parts.table.drop_loads()
        parts.quotas.carry_over_peers(parts.app.clock.monotonic())
        parts.demand.told.clear()
        self.local_lives.clear()
        self.local_versions.clear()

    def _take(self, news: News, source: Source, loads: Loads, now_s: float) -> None:
        """Take in what all kinds of messages hold."""
        self.parts.follower.record_peer_read(news.read_well_for_s)
        self.parts.table.note_peer_load(source, loads, now_s)
        self.parts.suspects.note_peer(
            news.crashes, now_s, passes_on=source.scope is not Scope.OTHERS
        )

    def _take_views(self, news: Summary | Digest) -> None:
        for service, view in news.moves.items():
            self.parts.gate.note(service, view)

    def _views(self) -> dict:
        return {name: it.view for name, it in self.parts.gate.views.items()}

    def _fill_usage(self, summary: Summary) -> None:
        usage = self.parts.usage
        origin = (summary.instance, summary.life)
        self.local_lives &= set(usage.told)
        lives = {origin, *self.local_lives}
        present = usage.window()
        windows = [present, present - 1]
        if self.n_usage_told % OLD_WINDOWS_EVERY == 0:
            windows.append(present - 2)
            usage.forget_old()
        self.n_usage_told += 1
        for window in windows:
            rows = usage.rows(window, origin)
            summary.usage[window] = [
                row for row in rows if (row.instance, row.life) in lives
            ]


def connect_state_sync(
    parts: ServingParts, true_clock: TrueClock, moves: MovesDuty | None
) -> None:
    """Let the exchange fill and take in messages for the parts."""
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


def _subtract_taken(sums: Taken, own: Taken) -> Taken:
    others = dict(sums)
    for organisation, (own_total, own_recent) in own.items():
        total, recent = others.get(organisation, (0.0, 0.0))
        others[organisation] = (total - own_total, max(recent - own_recent, 0.0))
    return others
