"""The owner of one slot: appends items to the log in batches and answers them.

At most one append is in flight; items that arrive meanwhile form the next batch.
An item is answered only after its batch has been read back, so the order of the
log decides. Appending an item twice is harmless: the table recognises its claim id.
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

MAX_BATCH_BYTES = 512 * 1024
ITEM_OVERHEAD_BYTES = 256
BASE64_GROWTH = 4 / 3
TIMER_SLACK_S = 0.001
MAX_PENDING_ITEMS = 4096
MAX_COMMIT_ATTEMPTS = 20

logger = make_logger("claims")


@attrs.define
class _PendingItem:
    """An item that has not been appended yet."""

    item: ClaimItem
    future: asyncio.Future[Reply]

    @property
    def n_bytes(self) -> float:
        """Upper estimate of the encoded size; JSON holds the body as base64."""
        answer = self.item.answer
        body = answer.body if answer is not None else None
        return ITEM_OVERHEAD_BYTES + BASE64_GROWTH * len(body or b"")


class SlotOwner:
    """Competes for a slot's lease and serves the slot while it is held.

    Parameters
    ----------
    app : Application
        Provides the clock and the random number generator.
    slot : int
        Index of the slot.
    me : str
        Name of this instance.
    log : Log
        The platform's log.
    options : ClaimsOptions
        Options of claims.
    answers : AnswerCache
        Cache of recorded answers.
    metrics : ClaimsMetrics
        Metrics of claims.

    Attributes
    ----------
    extra_wait_s : float
        Time for which this instance leaves a free slot to others before it
        acquires the slot itself.
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
        self.pending: list[_PendingItem] = []
        self.wakeup = asyncio.Event()
        self.extra_wait_s = 0.0
        self.is_log_out = False
        self.is_retiring = False
        self.appended_s = float("-inf")

    async def submit(self, item: ClaimItem) -> Reply:
        """Return the outcome of an item, after it was committed to the log."""
        outcome = self.table.evaluate(item)
        if _is_final(outcome):
            return await self._reply(outcome)
        if not self.lease.is_held() or self.is_retiring:
            return self._not_held()
        if not outcome.changes:
            return await self._reply(outcome)
        if self._is_full(item):
            return Reply(kind="full")
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.pending.append(_PendingItem(item, future))
        self.wakeup.set()
        return await future

    async def run(self) -> None:
        """Compete for the lease and commit batches until :meth:`retire` is called."""
        poll_s = 0.0
        n_log_failures = 0
        while not self.is_retiring:
            await self._wait(poll_s * self.app.rng.uniform(0.5, 1.5))
            poll_s = self.options.lease.poll_s
            if self.is_retiring:
                break
            if await self._acquire():
                await self._serve()
                poll_s = self.options.retry_s
            # Retry an unreachable log soon, since it is often back quickly, for
            # example when all processes of a deployment start together.
            n_log_failures = n_log_failures + 1 if self.is_log_out else 0
            if self.is_log_out:
                poll_s = min(
                    poll_s, self.options.retry_s * 2 ** min(n_log_failures, 16)
                )
        await self.lease.release()

    def acquire_now(self) -> None:
        """Try to acquire the slot at once, since its holder has released it."""
        self.extra_wait_s = 0.0
        self.wakeup.set()

    def retire(self) -> None:
        """Commit the pending items, then release the slot to another instance."""
        self.is_retiring = True
        self.wakeup.set()

    async def _acquire(self) -> bool:
        try:
            epoch = await self.lease.acquire(extra_wait_s=self.extra_wait_s)
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
                if self.pending:
                    await self._wait_append_interval()
                    await self._commit(self._next_batch())
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
            pending, self.pending = self.pending, []
            _answer_all(pending, self._not_held())

    async def _wait_append_interval(self) -> None:
        """Wait for the minimum interval between appends, while the batch grows."""
        clock = self.app.clock
        next_s = self.appended_s + self.options.append_interval_s
        if next_s > clock.monotonic():
            await clock.sleep(next_s - clock.monotonic())
        self.appended_s = clock.monotonic()

    async def _wait(self, timeout_s: float) -> None:
        """Wait until :attr:`wakeup` is set, for at most ``timeout_s``."""
        self.wakeup.clear()
        timer = asyncio.create_task(self.app.clock.sleep(timeout_s))
        wakeup = asyncio.create_task(self.wakeup.wait())
        try:
            await asyncio.wait({timer, wakeup}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            wakeup.cancel()

    def _next_batch(self) -> list[_PendingItem]:
        n_bytes = 0.0
        n_items = 0
        for pending in self.pending[: self.options.n_batch_most]:
            n_bytes += pending.n_bytes
            if n_items and n_bytes > MAX_BATCH_BYTES:
                break
            n_items += 1
        batch, self.pending = self.pending[:n_items], self.pending[n_items:]
        return batch

    async def _commit(self, batch: list[_PendingItem]) -> None:
        """Append a batch, with retries while its outcome is unknown; answer it."""
        batch_id = uuid.uuid4().hex
        items = [pending.item for pending in batch]
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
        for pending, outcome in zip(batch, outcomes, strict=True):
            if not pending.future.done():
                pending.future.set_result(await self._reply(outcome))

    async def _append(self, batch: ClaimBatch) -> Reply:
        """Append a batch; return the reply for the case that it was not read back."""
        may_take_effect = False
        for _ in range(MAX_COMMIT_ATTEMPTS):
            started_s = self.app.clock.monotonic()
            try:
                await self.lease.append(batch)
                self.metrics.batch_size.observe(len(batch.items))
                self.metrics.append_s.observe(self.app.clock.monotonic() - started_s)
                break
            except LeaseLostError:
                return (
                    Reply(kind="fate_unknown") if may_take_effect else self._not_held()
                )
            except LogUnavailableError:
                self.is_log_out = True
                if not may_take_effect:
                    return Reply(kind="log_out")
            except LogAnswerLostError:
                may_take_effect = True
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
            logger.warning(
                "Could not write a snapshot of slot {}: {}", self.slot, error
            )

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
        if len(self.pending) >= MAX_PENDING_ITEMS:
            return True
        n_rows = len(self.table.rows) + len(self.pending)
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


def _is_final(outcome: Outcome) -> bool:
    """Return whether no later owner can have decided differently on the key.

    The claim of another attempt may have been released since; reporting it as in
    progress is safe.
    """
    row = outcome.row
    if row is None or outcome.changes:
        return False
    return outcome.status in ("finished", "in_progress", "key_reused") and (
        row.state in (GRANTED, FINISHED)
    )


def _answer_all(batch: list[_PendingItem], reply: Reply) -> None:
    for pending in batch:
        if not pending.future.done():
            pending.future.set_result(reply)
