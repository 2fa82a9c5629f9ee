"""Carries out moves between versions as a duty of the lease holder."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from lagoonring.logs import make_logger
from lagoonring.platform.log import LogAnswerLostError
from lagoonring.serving.comparison import judge
from lagoonring.serving.duties import write_ahead
from lagoonring.serving.exposure import Exposure, MoveRecord, decode_record
from lagoonring.serving.moves import MAX_VIEW_AGE_S, MoveOrder, MoveState, MoveView
from lagoonring.serving.rollout import (
    EXPOSURE_BUDGET_SHARE,
    TESTED_BUDGET_SHARE,
    LoadTest,
    Progress,
    Step,
    choose_share,
    decide,
    exposure_budget,
    load_test_s,
)
from lagoonring.serving.running_move import RunningMove

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

    from lagoonring.kernel import Clock
    from lagoonring.leases.lease import Lease
    from lagoonring.serving.duties import DutyLedger
    from lagoonring.serving.endpoints import EndpointTable
    from lagoonring.serving.follower import Follower
    from lagoonring.serving.move_reports import MoveReports
    from lagoonring.serving.moves import MoveGate
    from lagoonring.serving.version_results import ResultsRow, VersionCounters

PART = "moves"

logger = make_logger("moves")


class MovesDuty:
    """The duty of the lease holder that carries out moves.

    Parameters
    ----------
    reports : MoveReports
        Reports the states to operators, and keeps how moves ended.
    """

    name = PART

    def __init__(
        self,
        ledger: DutyLedger,
        follower: Follower,
        gate: MoveGate,
        table: EndpointTable,
        counters: VersionCounters,
        clock: Clock,
        reports: MoveReports,
        *,
        exposure_share: float,
        exposure_slack: float,
        true_time: Callable[[], float],
    ) -> None:
        self.ledger = ledger
        self.ledger.is_final[PART] = _is_final
        self.follower = follower
        self.gate = gate
        self.table = table
        self.counters = counters
        self.clock = clock
        self.reports = reports
        self.exposure_share = exposure_share
        self.exposure_slack = exposure_slack
        self.true_time = true_time
        self.moves: dict[str, RunningMove] = {}
        self.received: dict[str, dict[tuple[str, int], ResultsRow]] = {}
        self.fencing_number = -1

    def update_peer(self, peer: str, rows: dict[str, ResultsRow]) -> None:
        """Replace the results received from a process of a peer."""
        for row in rows.values():
            self.received.setdefault(row.move, {})[peer, row.life] = row

    async def step(self, lease: Lease) -> None:
        """Advance each move that is ordered and not finished."""
        if lease.fencing_number != self.fencing_number:
            self.fencing_number = lease.fencing_number
            self.moves.clear()
            self.reports.begin()
        running = {order.name for order in self.follower.orders.values()}
        self.received = {
            move: rows for move, rows in self.received.items() if move in running
        }
        if running:
            await self.reports.check()
        for order in list(self.follower.orders.values()):
            try:
                await self._step_order(lease, order)
            except ConnectionError as error:
                # The other moves have time limits as well.
                logger.info(
                    "Step of a move failed; retrying at the next step.",
                    extra={"service": order.service, "error": str(error)},
                )

    async def _step_order(self, lease: Lease, order: MoveOrder) -> None:
        state = self.gate.state_of(order)
        if state is MoveState.RUNNING:
            await self._advance(lease, order)
        elif order.name not in self.reports.settled:
            await self._report(lease, order, state)
        else:
            self.moves.pop(order.service, None)

    async def _advance(self, lease: Lease, order: MoveOrder) -> None:
        state = self._recorded_end(order)
        if state is not None:
            self._publish_final(lease, order, state)
            return
        move = self.moves.get(order.service)
        if move is None or move.order.offset != order.offset:
            move = await self._begin(lease, order)
            if move is None:
                return
        progress = self._progress(move)
        step = decide(progress)
        if step is Step.TRY:
            await self._try(lease, move, progress)
        elif step is Step.TEST_LOAD:
            await self._test_load(lease, move, progress)
        elif step is Step.AWAIT_RESULTS:
            self._publish_test(move, progress)
        elif step is Step.MOVE_ALL:
            self._publish(move, MoveState.RUNNING, 1.0)
        else:
            is_good = step is Step.COMPLETE
            state = MoveState.COMPLETED if is_good else MoveState.ROLLED_BACK
            await self._finish(lease, move, state, progress)

    async def _try(self, lease: Lease, move: RunningMove, progress: Progress) -> None:
        """Let the new version have as many requests as its exposure permits."""
        budget = exposure_budget(
            progress.n_all,
            exposure_share=self.exposure_share,
            exposure_slack=self.exposure_slack,
            budget_share=(
                TESTED_BUDGET_SHARE if progress.can_test_load else EXPOSURE_BUDGET_SHARE
            ),
        )
        exposure = move.exposure
        share = choose_share(progress, budget) if exposure.is_settled else 0.0
        if share > 0:
            record = exposure.next_grant(move.count()[1], budget)
            if record is not None:
                await write_ahead(lease, PART, move.order.name, record.encode())
                exposure.record = record
        self._publish(move, MoveState.RUNNING, share)

    async def _test_load(
        self, lease: Lease, move: RunningMove, progress: Progress
    ) -> None:
        """Let the new version have all requests for a short time."""
        for_s = load_test_s(
            progress,
            exposure_share=self.exposure_share,
            exposure_slack=self.exposure_slack,
        )
        if not move.exposure.is_settled or not for_s:
            await self._try(lease, move, progress)
            return
        n_more = math.ceil(progress.rate_per_s * for_s)
        record = move.exposure.grant(move.count()[1], n_more)
        await write_ahead(lease, PART, move.order.name, record.encode())
        move.exposure.record = record
        began_s = self._elapsed_s(move)
        move.load_test = LoadTest(began_s=began_s, for_s=for_s)
        logger.info(
            "Testing a version under full load.",
            extra={
                "service": move.order.service,
                "target": move.order.target,
                "began_s": round(began_s, 2),
                "for_s": round(for_s, 2),
                "n_new": progress.n_new,
                "n_all": progress.n_all,
            },
        )
        self._publish_test(move, attrs.evolve(progress, elapsed_s=began_s))

    def _publish_test(self, move: RunningMove, progress: Progress) -> None:
        assert move.load_test is not None
        left_s = move.load_test.left_s(progress.elapsed_s)
        share = 1.0 if left_s > 0 else 0.0
        valid_s = left_s or MAX_VIEW_AGE_S
        self._publish(move, MoveState.RUNNING, share, valid_s=valid_s)

    async def _begin(self, lease: Lease, order: MoveOrder) -> RunningMove | None:
        """Start a move or take it over; a decision of an earlier holder stays valid."""
        record = self._recorded(order)
        if order.is_old or record is not None:
            state = await self.reports.find_end(order)
            if state is not None:
                self._publish_final(lease, order, state)
                return None
        taken_over_s = None
        if record is not None:
            taken_over_s = max(self.true_time() - record.started_s, 0.0)
        else:
            record = MoveRecord(started_s=self.true_time(), state=MoveState.RUNNING)
            await write_ahead(lease, PART, order.name, record.encode())
        logger.info(
            "Move started." if taken_over_s is None else "Move taken over.",
            extra={
                "service": order.service,
                "target": order.target,
                "duration_s": order.duration_s,
                "elapsed_s": taken_over_s or 0.0,
                "n_granted": record.n_granted,
            },
        )
        move = RunningMove(order, Exposure(record=record, taken_over_s=taken_over_s))
        self.moves[order.service] = move
        await self.reports.report_running(order)
        return move

    def _progress(self, move: RunningMove) -> Progress:
        order = move.order
        rows = dict(self.received.get(order.name, {}))
        own = self.counters.rows().get(order.service)
        if own is not None and own.move == order.name:
            rows["here", own.life] = own
        move.update(rows)
        n_all, n_new = move.count()
        elapsed_s = self._elapsed_s(move)
        move.exposure.settle(n_new, elapsed_s)
        endpoints = self.table.of_service(order.service)
        return Progress(
            elapsed_s=elapsed_s,
            counted_s=elapsed_s - move.exposure.counted_from_s,
            duration_s=order.duration_s,
            n_all=n_all,
            n_new=n_new + move.exposure.n_lost,
            n_old_running=sum(
                endpoint.count_running()
                for endpoint in endpoints
                if endpoint.record.version != order.target
            ),
            verdict=judge(move.routes, move.finding, uneven=move.is_uneven),
            is_target_present=any(
                endpoint.record.version == order.target for endpoint in endpoints
            ),
            load_test=move.load_test,
            can_test_load=self._can_test_load(order, elapsed_s),
        )

    def _elapsed_s(self, move: RunningMove) -> float:
        return max(self.true_time() - move.exposure.record.started_s, 0.0)

    def _can_test_load(self, order: MoveOrder, elapsed_s: float) -> bool:
        """Return whether the service's endpoints can take all requests at once.

        Engines can't: they have cached no prompts yet, and a stream that begins on the
        new version stays there. Nor can endpoints that are still cold.
        """
        configuration = self.follower.configuration
        entry = configuration.services.get(order.service) if configuration else None
        if entry is None:
            return True
        is_cold = entry.warm_up is not None and elapsed_s < entry.warm_up.duration_s
        return entry.engine is None and not is_cold

    def _recorded(self, order: MoveOrder) -> MoveRecord | None:
        """Return what a holder recorded last of a move."""
        recorded = self.ledger.find(PART, order.name)
        return None if recorded is None else decode_record(recorded)

    def _recorded_end(self, order: MoveOrder) -> MoveState | None:
        """Return the final state that a holder recorded, if there is one."""
        recorded = self._recorded(order)
        if recorded is None or recorded.state is MoveState.RUNNING:
            return None
        return recorded.state

    def _count_running(self, order: MoveOrder) -> int:
        """Return the requests that run on the new version."""
        return sum(
            endpoint.count_running()
            for endpoint in self.table.of_service(order.service)
            if endpoint.record.version == order.target
        )

    def _publish(
        self,
        move: RunningMove,
        state: MoveState,
        share: float,
        *,
        valid_s: float = MAX_VIEW_AGE_S,
    ) -> None:
        move.n_views += 1
        move.view = MoveView(
            offset=move.order.offset,
            target=move.order.target,
            state=state,
            share=round(share, 3),
            revision=(self.fencing_number, move.n_views),
            valid_s=round(valid_s, 3),
        )
        self.gate.update(move.order.service, move.view)

    async def _finish(
        self, lease: Lease, move: RunningMove, state: MoveState, progress: Progress
    ) -> None:
        order = move.order
        if state is MoveState.ROLLED_BACK:
            self._publish(move, MoveState.RUNNING, 0.0)  # also while the store is out
        record = attrs.evolve(move.exposure.record, state=state)
        try:
            await write_ahead(lease, PART, order.name, record.encode())
        except LogAnswerLostError:
            # At once: at the next step the time limit may be over.
            if self._recorded_end(order) is None:
                await write_ahead(lease, PART, order.name, record.encode())
        # Another final state may have been written before without an answer.
        state = self._recorded_end(order) or state
        logger.info(
            "Move finished.",
            extra={
                "service": order.service,
                "target": order.target,
                "state": state.value,
                "n_all": progress.n_all,
                "n_new": progress.n_new,
                "n_lost": move.exposure.n_lost,
                "elapsed_s": round(progress.elapsed_s, 2),
                "finding": str(move.finding or ""),
                "is_uneven": move.is_uneven,
                "results": move.describe(),
                "n_new_running": self._count_running(order),
                "n_sources": len(move.rows),
            },
        )
        self._publish_final(lease, order, state)
        await self._report(lease, order, state)

    def _publish_final(self, lease: Lease, order: MoveOrder, state: MoveState) -> None:
        is_good = state is MoveState.COMPLETED
        self.gate.update(
            order.service,
            MoveView(
                offset=order.offset,
                target=order.target,
                state=state,
                share=1.0 if is_good else 0.0,
                revision=(lease.fencing_number, 1 << 30),
            ),
        )

    async def _report(self, lease: Lease, order: MoveOrder, state: MoveState) -> None:
        if lease.is_held():
            await self.reports.report_end(order, state)


def _is_final(recorded: msgspec.Raw) -> bool:
    return decode_record(recorded).state is not MoveState.RUNNING
