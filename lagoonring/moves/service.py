"""The service ``moves``: chooses the version of each request and compares versions.

Every instance splits requests by the share last received, counts results, and stops
using a new version as soon as its own comparison rejects it. The lease holder also
advances the moves, see :mod:`lagoonring.moves.holder`.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonring.kernel import BaseService
from lagoonring.leases import compete_for_duty, is_among_first
from lagoonring.logs import make_logger
from lagoonring.moves.comparison import Comparison
from lagoonring.moves.counts import CountsRow, Sample, VersionCounts, unpack
from lagoonring.moves.cuts import CutWindow, is_unrelated
from lagoonring.moves.holder import MovesHolder, find_endpoints
from lagoonring.moves.ledger import MoveLedger
from lagoonring.moves.messages import MoveNotice, MoveRecord
from lagoonring.moves.metrics import MoveMetrics
from lagoonring.moves.options import MovesOptions
from lagoonring.moves.orders import EngineControl, choose_hosts
from lagoonring.moves.split import is_on_new
from lagoonring.moves.status import MoveStatus, describe, describe_ordered

if TYPE_CHECKING:
    from lagoonring.catalogue.entries import CatalogueContent
    from lagoonring.kernel import Application
    from lagoonring.leases import Lease, LeaseOptions
    from lagoonring.moves.orders import EndpointControl
    from lagoonring.routing.messages import AttemptResult

STREAM = "moves"
NOTICE_KIND = "verdict"
COUNTS_KIND = "version_counts"
VERDICT_PREFIX = "bad:"
CUT_KINDS = ("cut", "connect")
MAX_FINDINGS = 256

logger = make_logger("moves")


class MovesService(BaseService):
    """Chooses versions, compares them, and competes for the lease of the moves.

    Parameters
    ----------
    app : Application
        Provides ``catalogue``, ``peers``, ``log`` and ``session``.
    options : MovesOptions
        Shares, times and limits.
    lease_options : LeaseOptions or None
        Duration and intervals of the lease.
    control : EndpointControl or None
        Control to use instead of the one over HTTP.
    """

    name = "moves"

    def __init__(
        self,
        app: Application,
        options: MovesOptions | None = None,
        *,
        lease_options: LeaseOptions | None = None,
        control: EndpointControl | None = None,
    ) -> None:
        self.app = app
        self.options = options or MovesOptions()
        self.lease_options = lease_options
        self.control = control or EngineControl(lambda: app.find("session").session)
        self.ledger = MoveLedger(self._handle_record)
        self.notices: dict[str, MoveNotice] = {}
        self.findings: dict[str, str] = {}
        self.own_verdicts: set[str] = set()
        self.comparisons: dict[str, Comparison] = {}
        self.cuts = CutWindow(window_s=self.options.cut_window_s)
        self.lease: Lease | None = None
        self.metrics: MoveMetrics | None = None
        self.holder = MovesHolder(
            app,
            self.ledger,
            self.options,
            self.control,
            get_finding=lambda key: self.findings.get(key, ""),
            count_new_results=self._count_new_results,
            publish_records=self._publish_records,
        )

    async def start(self) -> None:
        """Subscribe to catalogue and peers, and compete for the lease."""
        self.catalogue = self.app.find("catalogue")
        self.peers = self.app.find("peers")
        if "metrics" in self.app.services:
            self.metrics = MoveMetrics(self.app.find("metrics").registry)
        self.catalogue.subscribe(self._handle_catalogue)
        self.peers.subscribe(NOTICE_KIND, MoveNotice, self._handle_notice)
        self.peers.subscribe(COUNTS_KIND, CountsRow, self._handle_counts)
        self.app.spawn("moves comparison", self._run_comparisons)
        self.lease = compete_for_duty(
            self.app,
            "moves holder",
            self.holder.run,
            stream=STREAM,
            data=self.ledger,
            is_candidate=self._is_candidate,
            options=self.lease_options,
        )

    async def drain(self, grace_s: float) -> None:
        """Release the lease, so that another instance takes over at once."""
        if self.lease is not None:
            await self.lease.release()

    def choose_version(self, entry: str, request_id: str) -> str:
        """Return a request's version, equal at instances with the same state."""
        found = self.catalogue.content.entries.get(entry)
        version = found.version if found else ""
        notice = self.notices.get(entry)
        if notice is None:
            return version
        record = notice.record
        if record.key in self.findings:
            return record.from_version if version == record.to_version else version
        share = self.share(entry)
        if share <= 0 or version != record.from_version:
            return version
        if not is_on_new(entry, record.key, request_id, share):
            return version
        return record.to_version if self._is_served(record) else version

    def share(self, entry: str) -> float:
        """Return the share of an entry's requests on the new version, as known here.

        The share of an undecided move is 0 after the deadline, even if the lease
        holder can't record the undo.
        """
        notice = self.notices.get(entry)
        if notice is None or notice.record.is_final:
            return 0.0
        record = notice.record
        is_late = self.app.clock.time() >= record.deadline_s
        return 0.0 if is_late or record.key in self.findings else record.share

    def is_moving(self, entry: str) -> bool:
        """Return whether a version of the entry is on trial, as known here."""
        return entry in self.notices and not self.notices[entry].record.is_final

    def observe(
        self,
        entry: str,
        version: str,
        route: str,
        result: AttemptResult,
        *,
        caused_by_request: bool = False,
        endpoint: str = "",
        load_share: float = 0.0,
    ) -> None:
        """Add the result of an attempt to the comparison.

        Parameters
        ----------
        entry, version, route : str
            Entry, version and route of the attempt; ``route`` is a path or a class
            of prompts.
        result : AttemptResult
            Result of the attempt.
        caused_by_request : bool
            Whether the request itself or a reclaim caused a failure, which then
            doesn't count against the version. A failure whose request is only
            suspected does count; otherwise a version that crashes its endpoints
            would not be detected.
        endpoint : str
            Endpoint of the attempt; several cuts of one endpoint within
            ``cut_window_s`` count as one.
        load_share : float
            Share of busy slots at the endpoint, for the load band.
        """
        comparison = self.comparisons.get(entry)
        if comparison is None or not comparison.compares(version):
            return
        if not result.ok and is_unrelated(result, caused_by_request):
            return
        if result.kind in CUT_KINDS and endpoint:
            self._count_crash(comparison, endpoint)
            if self.cuts.is_repeated(endpoint, version, self.app.clock.monotonic()):
                return
        comparison.add(
            Sample(
                is_new=version == comparison.record.to_version,
                route=route,
                load_share=load_share,
                ok=result.ok,
                first_token_s=result.first_token_s,
                between_tokens_s=result.between_tokens_s,
            )
        )

    def status(self) -> list[MoveStatus]:
        """Return the status of all ordered and known moves, for operators."""
        records = {
            stored.record.key: stored.record for stored in self.ledger.stored.values()
        }
        for notice in self.notices.values():
            records.setdefault(notice.record.key, notice.record)
        found = [
            describe(
                record,
                comparison=self.comparisons.get(record.entry),
                finding=self.findings.get(record.key, ""),
            )
            for record in records.values()
        ]
        known = {record.name for record in records.values()}
        ordered = self.catalogue.content.moves.items()
        new = [
            describe_ordered(name, move) for name, move in ordered if name not in known
        ]
        return found + new

    def _is_served(self, record: MoveRecord) -> bool:
        """Return whether a known endpoint accepts requests for the new version."""
        routing = self.app.services.get("routing")
        if routing is None:
            return True
        now_s = self.app.clock.monotonic()
        group = routing.table.group(record.entry, record.to_version, now_s)
        return bool(group.local or group.remote or group.probing)

    def _is_candidate(self) -> bool:
        if not self.catalogue.content.endpoints:
            return False
        me = self.peers.me.instance
        others = [member.instance for member in self.peers.members()]
        return is_among_first(STREAM, me, [me, *others])

    def _handle_catalogue(self, content: CatalogueContent, revision: int) -> None:
        for entry in [name for name in self.notices if name not in content.entries]:
            del self.notices[entry]
            self.comparisons.pop(entry, None)

    def _handle_record(self, offset: int, record: MoveRecord) -> None:
        if record.phase != "refused":
            self._apply_notice(MoveNotice(record=record, offset=offset))

    def _handle_notice(self, origin: str, name: str, notice: MoveNotice | None) -> None:
        if notice is None:
            return
        if notice.finding:
            self._reject_version(notice.record, notice.finding, is_own=False)
        else:
            self._apply_notice(notice)

    def _apply_notice(self, notice: MoveNotice) -> None:
        record = notice.record
        previous = self.notices.get(record.entry)
        if previous is not None and notice.offset <= previous.offset:
            return
        self.notices[record.entry] = notice
        if self.metrics is not None:
            self.metrics.record_phase(record)
        if record.is_final:
            self._end_comparison(record)
            return
        comparison = self.comparisons.get(record.entry)
        if comparison is None or comparison.record.key != record.key:
            self.comparisons[record.entry] = self._make_comparison(record)
        else:
            comparison.record = record

    def _end_comparison(self, record: MoveRecord) -> None:
        """Drop the counts; once the move is done, withdraw the own verdict."""
        if self.comparisons.pop(record.entry, None) is not None:
            self.peers.publish(COUNTS_KIND, record.entry, None)
        if record.is_done and record.key in self.own_verdicts:
            self.own_verdicts.remove(record.key)
            self.peers.publish(NOTICE_KIND, VERDICT_PREFIX + record.key, None)

    def _make_comparison(self, record: MoveRecord) -> Comparison:
        content = self.catalogue.content
        entry = content.entries.get(record.entry)
        target = content.classes.get(entry.service_class) if entry else None
        targets_s = (math.inf, math.inf)
        if target is not None:
            targets_s = (target.first_token_ms / 1e3, target.between_tokens_ms / 1e3)
        comparison = Comparison(
            record,
            targets_s=targets_s,
            started_s=self.app.clock.time(),
            options=self.options.judge,
        )
        rows = self.peers.rows(COUNTS_KIND, CountsRow)
        for (origin, name), row in rows.items():
            if name == record.entry and origin != self.peers.me.instance:
                comparison.merge(origin, unpack(row))
        return comparison

    def _handle_counts(self, origin: str, name: str, row: CountsRow | None) -> None:
        comparison = self.comparisons.get(name)
        if comparison is None:
            return
        if row is None:
            comparison.judge.forget(origin)
            return
        counts = unpack(row)
        comparison.merge(origin, counts)
        self._merge_crashes(comparison, counts)
        self._check_finding(comparison)

    async def _run_comparisons(self) -> None:
        """Merge own results at each tick and publish the totals at intervals."""
        next_publish_s = 0.0
        me = self.peers.me.instance
        while True:
            for entry, comparison in list(self.comparisons.items()):
                comparison.counts.share = self.share(entry)
                comparison.merge(me, comparison.counts)
                self._merge_crashes(comparison, comparison.counts)
                self._check_finding(comparison)
            now_s = self.app.clock.monotonic()
            if now_s >= next_publish_s:
                for entry in list(self.comparisons):
                    self._publish_counts(entry)
                next_publish_s = now_s + self._publish_interval_s()
            await self.app.clock.sleep(self.options.tick_s)

    def _publish_counts(self, entry: str) -> None:
        comparison = self.comparisons.get(entry)
        row = comparison.next_row() if comparison is not None else None
        if row is not None:
            self.peers.publish(COUNTS_KIND, entry, row)

    def _publish_interval_s(self) -> float:
        """Return the interval, in seconds, between two publications of counts.

        The interval keeps the rows of all reporting instances within
        ``counts_bytes_per_s``. It must not depend on the values of the counts.
        """
        n_bytes = sum(
            comparison.n_published_bytes() * len(comparison.judge.totals)
            for comparison in self.comparisons.values()
        )
        return max(self.options.publish_s, n_bytes / self.options.counts_bytes_per_s)

    def _count_new_results(self, record: MoveRecord) -> int:
        comparison = self.comparisons.get(record.entry)
        if comparison is None or comparison.record.key != record.key:
            return 0
        return comparison.count_results()[1]

    def _merge_crashes(self, comparison: Comparison, counts: VersionCounts) -> None:
        if not counts.crashes or counts.share <= 0:
            return
        content = self.catalogue.content
        endpoints = find_endpoints(content, comparison.record.entry)
        hosts = choose_hosts(endpoints, comparison.record.share)
        comparison.judge.merge_crashes(counts, frozenset(hosts), len(endpoints))

    def _check_finding(self, comparison: Comparison) -> None:
        finding = comparison.judge.finding
        if finding is not None:
            self._reject_version(comparison.record, str(finding), is_own=True)

    def _reject_version(
        self, record: MoveRecord, finding: str, *, is_own: bool
    ) -> None:
        if record.key in self.findings:
            return
        self.findings[record.key] = finding
        while len(self.findings) > MAX_FINDINGS:
            del self.findings[next(iter(self.findings))]
        logger.warning(
            "Version {} of {} is bad: {}.", record.to_version, record.entry, finding
        )
        if self.metrics is not None:
            self.metrics.record_verdict(record)
        if is_own:
            self.own_verdicts.add(record.key)
            notice = MoveNotice(record=record, finding=finding)
            name = VERDICT_PREFIX + record.key
            self.peers.publish(NOTICE_KIND, name, notice, urgent=True)

    def _publish_records(self) -> None:
        for stored in self.ledger.stored.values():
            notice = MoveNotice(record=stored.record, offset=stored.offset)
            if stored.record.phase != "refused":
                self._publish_record(notice)

    def _publish_record(self, notice: MoveNotice) -> None:
        newest = self.notices.get(notice.record.entry)
        if newest is None or newest.offset <= notice.offset:
            self.peers.publish(NOTICE_KIND, notice.record.entry, notice, urgent=True)

    def _count_crash(self, comparison: Comparison, endpoint: str) -> None:
        if not self.cuts.is_repeated(endpoint, "", self.app.clock.monotonic()):
            crashes = comparison.counts.crashes
            crashes[endpoint] = crashes.get(endpoint, 0) + 1
