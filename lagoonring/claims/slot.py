"""The owner of one slot: gathers items, appends them in batches, answers.

One append is in flight at a time; what comes meanwhile is the next batch. An
item is answered only after its batch was read back, so by the order of the
log. Appending an item twice is harmless: the table knows it by its claim id.
"""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import attrs

from lagoonring.claims.keys import name_stream
from lagoonring.claims.records import ClaimBatch, ClaimItem, Reply
from lagoonring.claims.table import FINISHED, GRANTED, ClaimTable, Outcome
from lagoonring.leases import Lease, LeaseLostError
from lagoonring.logs import make_logger
from lagoonring.platform.log import LogAnswerLostError, LogUnavailableError

if TYPE_CHECKING:
    from lagoonring.claims.answers import AnswerCache
    from lagoonring.claims.metrics import ClaimsMetrics
    from lagoonring.claims.options import ClaimsOptions
    from lagoonring.kernel import Application
    from lagoonring.platform.log import Log

BATCH_LIMIT_BYTES = 512 * 1024
ITEM_OVERHEAD_BYTES = 256
BODY_GROWTH = 4 / 3
TIMER_SLACK_S = 0.001
N_WAITING_MOST = 4096
N_COMMIT_ATTEMPTS_MOST = 20

logger = make_logger("claims")


@attrs.define
class _Waiting:
    """An item that waits for its batch."""

    item: ClaimItem
    future: asyncio.Future[Reply]

    @property
    def n_bytes(self) -> float:
        """Size in the batch, as an upper estimate."""
        answer = self.item.answer
        body = answer.body if answer is not None else None
        return ITEM_OVERHEAD_BYTES + BODY_GROWTH * len(body or b"")


class SlotOwner:
    """Competes for a slot's lease and serves the slot while it is held.

    Parameters
    ----------
    app : Application
        Gives the clock and the random source.
    slot : int
        Index of the slot.
    me : str
        Name of this instance.
    log : Log
        The platform's log.
    options : ClaimsOptions
        Options of claims.
    answers : AnswerCache
        Reads recorded answers.
    metrics : ClaimsMetrics
        Measures the batches.

    Attributes
    ----------
    patience_s : float
        How much longer than others this instance leaves a free slot alone.
    """

    def __init__(
        self,
        app: Application,
        slot: int,
        me: str,
        log: Log,
        options: ClaimsOptions,
        answers: AnswerCache,
        metrics: ClaimsMetrics,
    ) -> None:
        self.metrics = metrics
        self.app = app
        self.slot = slot
        self.stream = name_stream(slot)
        self.options = options
        self.answers = answers
        self.table = ClaimTable(options.claims_window_s)
        self.lease = Lease(
            log, self.stream, me, app.clock, options.lease, data=self.table
        )
        self.waiting: list[_Waiting] = []
        self.woken = asyncio.Event()
        self.patience_s = 0.0
        self.is_log_out = False
        self.is_retiring = False
        self.appended_s = float("-inf")

    async def submit(self, item: ClaimItem) -> Reply:
        """Return what became of an item, once the log has it."""
        known = self.table.judge(item)
        if _is_permanent(known):
            return await self._reply(known)
        if not self.lease.is_held() or self.is_retiring:
            return self._not_held()
        if not known.changes:
            return await self._reply(known)
        if self._is_full(item):
            return Reply(kind="full")
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.waiting.append(_Waiting(item, future))
        self.woken.set()
        return await future

    async def run(self) -> None:
        """Hold the lease and commit batches, until :meth:`retire` is called."""
        poll_s = 0.0
        n_out = 0
        while not self.is_retiring:
            await self._wait(poll_s * self.app.rng.uniform(0.5, 1.5))
            poll_s = self.options.lease.poll_s
            if self.is_retiring:
                break
            if await self._acquire():
                await self._serve()
                poll_s = self.options.retry_s
            # The log is often back soon, as when all processes start together.
            n_out = n_out + 1 if self.is_log_out else 0
            if self.is_log_out:
                poll_s = min(poll_s, self.options.retry_s * 2 ** min(n_out, 16))
        await self.lease.release()

    def nudge(self) -> None:
        """Look at once whether the slot is free; its holder has left it."""
        self.patience_s = 0.0
        self.woken.set()

    def retire(self) -> None:
        """Finish what waits, then leave the slot to another instance."""
        self.is_retiring = True
        self.woken.set()

    async def _acquire(self) -> bool:
        try:
            epoch = await self.lease.acquire(extra_wait_s=self.patience_s)
        except LogUnavailableError:
            self.is_log_out = True
            return False
        except LogAnswerLostError:
            return False
        self.is_log_out = False
        return epoch is not None

    async def _serve(self) -> None:
        self.metrics.slots.inc()
        try:
            while self.lease.is_held():
                if self.waiting:
                    await self._pace()
                    await self._commit(self._take_batch())
                elif self.is_retiring:
                    return
                elif self._renewal_due_in_s() < TIMER_SLACK_S:
                    await self._renew()
                elif self._is_snapshot_due():
                    await self._write_snapshot()
                else:
                    await self._wait(self._renewal_due_in_s())
        finally:
            self.metrics.slots.dec()
            waiting, self.waiting = self.waiting, []
            _answer_all(waiting, self._not_held())

    async def _pace(self) -> None:
        """Keep the least time between appends; the batch gathers meanwhile."""
        clock = self.app.clock
        next_s = self.appended_s + self.options.append_interval_s
        if next_s > clock.monotonic():
            await clock.sleep(next_s - clock.monotonic())
        self.appended_s = clock.monotonic()

    async def _wait(self, timeout_s: float) -> None:
        """Wait until there is something to do, at most for a time."""
        self.woken.clear()
        timer = asyncio.create_task(self.app.clock.sleep(timeout_s))
        woken = asyncio.create_task(self.woken.wait())
        try:
            await asyncio.wait({timer, woken}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            woken.cancel()

    def _take_batch(self) -> list[_Waiting]:
        n_bytes = 0.0
        n_taken = 0
        for waiting in self.waiting[: self.options.n_batch_most]:
            n_bytes += waiting.n_bytes
            if n_taken and n_bytes > BATCH_LIMIT_BYTES:
                break
            n_taken += 1
        batch, self.waiting = self.waiting[:n_taken], self.waiting[n_taken:]
        return batch

    async def _commit(self, batch: list[_Waiting]) -> None:
        """Append a batch until its fate is known, and answer its items."""
        batch_id = uuid.uuid4().hex
        items = [waiting.item for waiting in batch]
        self.table.watched[batch_id] = None
        try:
            reply = await self._append(ClaimBatch(batch_id=batch_id, items=items))
            outcomes = self.table.watched[batch_id]
        except BaseException:
            _answer_all(batch, Reply(kind="fate_unknown"))
            raise
        finally:
            del self.table.watched[batch_id]
        if outcomes is None:
            _answer_all(batch, reply)
            return
        self.is_log_out = False
        for waiting, outcome in zip(batch, outcomes, strict=True):
            if not waiting.future.done():
                waiting.future.set_result(await self._reply(outcome))

    async def _append(self, batch: ClaimBatch) -> Reply:
        """Return what to answer if the batch was not seen to count."""
        may_count = False
        for _ in range(N_COMMIT_ATTEMPTS_MOST):
            started_s = self.app.clock.monotonic()
            try:
                await self.lease.append(batch)
                self.metrics.batch_size.observe(len(batch.items))
                self.metrics.append_s.observe(self.app.clock.monotonic() - started_s)
                break
            except LeaseLostError:
                return Reply(kind="fate_unknown") if may_count else self._not_held()
            except LogUnavailableError:
                self.is_log_out = True
                if not may_count:
                    return Reply(kind="log_out")
            except LogAnswerLostError:
                may_count = True
                if self.table.watched[batch.batch_id] is not None:
                    break
            await self.app.clock.sleep(self.options.retry_s)
        return Reply(kind="fate_unknown")

    async def _renew(self) -> None:
        try:
            await self.lease.renew()
            self.is_log_out = False
        except LogUnavailableError:
            self.is_log_out = True
            await self.app.clock.sleep(self.options.retry_s)
        except LogAnswerLostError:
            await self.app.clock.sleep(self.options.retry_s)
        except LeaseLostError:
            return

    async def _write_snapshot(self) -> None:
        for state, n_rows in self.table.count_states().items():
            self.metrics.rows.labels(str(self.slot), state).set(n_rows)
        try:
            await self.lease.append_snapshot(self.table.make_parts)
        except (LogUnavailableError, LogAnswerLostError, LeaseLostError) as error:
            logger.warning("No snapshot of slot {} was written: {}", self.slot, error)

    def _renewal_due_in_s(self) -> float:
        age_s = self.app.clock.monotonic() - self.lease.last_renewed_s
        return max(0.0, self.options.lease.renew_interval_s - age_s)

    def _is_snapshot_due(self) -> bool:
        stream = self.lease.stream
        age_s = stream.time_s - stream.snapshot_time_s
        return (
            self.table.n_records >= self.options.snapshot_every
            or age_s >= self.options.snapshot_interval_s
        )

    def _is_full(self, item: ClaimItem) -> bool:
        if len(self.waiting) >= N_WAITING_MOST:
            return True
        n_rows = len(self.table.rows) + len(self.waiting)
        return item.kind == "claim" and n_rows >= self.options.n_rows_most

    def _not_held(self) -> Reply:
        holder = self.lease.current_holder
        if self.is_log_out and holder in ("", self.lease.holder):
            return Reply(kind="log_out")
        return Reply(kind="not_holder", holder=holder, is_log_out=self.is_log_out)

    async def _reply(self, outcome: Outcome) -> Reply:
        row = outcome.row
        if outcome.status != "finished" or row is None:
            now_s = max(self.lease.stream.time_s, self.table.now_s)
            age_s = now_s - row.time_s if row else 0.0
            return Reply(kind="outcome", status=outcome.status, age_s=age_s)
        answer = await self.answers.read(self.stream, row)
        return Reply(kind="outcome", status="finished", answer=answer)


def _is_permanent(outcome: Outcome) -> bool:
    """Whether a later owner can't have decided otherwise on the key.

    A claim of another sending may have been released since; to call it in
    progress is safe.
    """
    row = outcome.row
    if row is None or outcome.changes:
        return False
    return outcome.status in ("finished", "in_progress", "key_reused") and (
        row.state in (GRANTED, FINISHED)
    )


def _answer_all(batch: list[_Waiting], reply: Reply) -> None:
    for waiting in batch:
        if not waiting.future.done():
            waiting.future.set_result(reply)
