"""The service ``claims``: each keyed request runs at most once.

A claim is submitted to the owner of its key's slot and retried with the same claim
id until it is answered or the request's deadline passes. In each data centre one
instance per slot, chosen by rendezvous hashing, competes for the slot's lease and
knows the current holder; the other instances submit to that one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.claims.answers import AnswerCache
from lagoonring.claims.errors import (
    ClaimFateUnknownError,
    ClaimsUnavailableError,
    KeyReusedError,
    MismatchedSlotsError,
)
from lagoonring.claims.keys import digest_id, digest_key
from lagoonring.claims.metrics import ClaimsMetrics
from lagoonring.claims.options import ClaimsOptions
from lagoonring.claims.records import (
    ClaimAnswer,
    ClaimItem,
    ItemKind,
    ItemRequest,
    Reply,
    SlotReleased,
    StoredAnswer,
    trim_answer,
)
from lagoonring.claims.slot import SlotOwner
from lagoonring.claims.slot_client import METHODS, SlotClient, Submission
from lagoonring.errors import LagoonringError
from lagoonring.kernel.application import BaseService
from lagoonring.leases import rank
from lagoonring.logs import make_logger
from lagoonring.peers import MemberState

if TYPE_CHECKING:
    from lagoonring.kernel import Application
    from lagoonring.platform.log import Log

ALONE = "alone"
RELEASED_METHOD = "claims.nudge"
# Longer than membership takes to show that an instance is leaving.
LEAVING_EXPIRY_S = 60.0

logger = make_logger("claims")


class ClaimsService(BaseService):
    """Makes claims, and owns the slots for which this instance is preferred.

    Parameters
    ----------
    app : Application
        Provides the services ``log`` and, optionally, ``peers`` and ``catalogue``.
    options : ClaimsOptions
        Options of claims.
    log : Log or None
        Used instead of the service ``log`` if given.
    """

    name = "claims"

    def __init__(
        self,
        app: Application,
        options: ClaimsOptions | None = None,
        *,
        log: Log | None = None,
    ) -> None:
        self.app = app
        self.options = options or ClaimsOptions()
        self.log_override = log
        self.owners: dict[int, SlotOwner] = {}
        self.unpreferred_since_s: dict[int, float] = {}
        self.live: tuple[str, ...] = ()
        self.data_centres: tuple[str, ...] = ()
        self.preferred: list[str] = []
        # A dict rather than a set, to keep the tasks in order of age.
        self.settling: dict[asyncio.Task[bool], None] = {}
        self.leaving: dict[str, float] = {}
        self.is_draining = False
        self.owner_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Register the peer methods and start to compete for slots."""
        self.log = self.log_override or self.app.find("log")
        self.answers = AnswerCache(self.log, self.options.answer_cache_bytes)
        self.metrics = ClaimsMetrics(self.app)
        self.peers: Any = self.app.services.get("peers")
        me = self.peers.me if self.peers is not None else None
        self.me = me.instance if me is not None else ALONE
        self.data_centre = me.data_centre if me is not None else ""
        if self.peers is not None:
            for method in METHODS.values():
                self.peers.serve(method, self._handle_item)
            self.peers.serve(RELEASED_METHOD, self._handle_slot_released)
        self.client = SlotClient(self.app, self.options, self.me, self.peers, self)
        self._balance_slots()
        self.app.spawn("claims.balance", self._run_balance)

    async def retire(self) -> None:
        """Answer all pending items and hand the slots over to other instances."""
        self.is_draining = True
        for owner in self.owners.values():
            owner.retire()
        if self.owner_tasks:
            await asyncio.wait(self.owner_tasks)

    async def drain(self, grace_s: float) -> None:
        """Wait for finishes and releases to be recorded by the slots' new owners."""
        if self.settling:
            await asyncio.wait(self.settling, timeout=grace_s)

    async def stop(self) -> None:
        """Cancel the finishes and releases that are still retried."""
        for task in list(self.settling):
            task.cancel()
        await asyncio.gather(*self.settling, return_exceptions=True)

    async def claim(
        self,
        key: str,
        fingerprint: str | bytes,
        claim_id: str,
        *,
        entry: str,
        deadline_s: float | None = None,
    ) -> ClaimAnswer:
        """Claim a key for one attempt to send a request.

        Parameters
        ----------
        key : str
            Returned by :func:`lagoonring.claims.keys.scoped_key`.
        fingerprint : str or bytes
            Identifies the request's content; equal for equal requests.
        claim_id : str
            Unique per attempt; generated by the system, never by the caller.
        entry : str
            Name of the entry; decides whether the endpoints deduplicate.
        deadline_s : float or None
            Deadline of the request on the application's monotonic clock.

        Raises
        ------
        ClaimsUnavailableError
            If the claim was not granted; the attempt was not run.
        ClaimFateUnknownError
            If the claim may have been granted; it is released in the background.
        KeyReusedError
            If the key belongs to another request.
        """
        item = _make_item("claim", key, claim_id, fingerprint=digest_id(fingerprint))
        now_s = self.app.clock.monotonic()
        end_s = (
            now_s + self.options.claim_timeout_s if deadline_s is None else deadline_s
        )
        submission = Submission(item, end_s)
        try:
            reply = await self.client.submit(submission)
        except (ClaimsUnavailableError, ClaimFateUnknownError):
            if self._deduplicates(entry):
                return ClaimAnswer(state="granted", is_recorded=False)
            raise
        finally:
            # Also if this task is cancelled, since nothing will run the request.
            if submission.may_take_effect:
                self._start_settling(attrs.evolve(item, kind="release"))
        return self._to_answer(reply)

    async def finish(self, key: str, claim_id: str, answer: StoredAnswer) -> bool:
        """Record the answer of a request that ran.

        Returns whether it was recorded within ``settle_timeout_s``. Of a body
        over 64 KB only the digest is recorded.
        """
        item = _make_item("finish", key, claim_id, answer=trim_answer(answer))
        return await _wait_settled(self._start_settling(item))

    async def release(self, key: str, claim_id: str) -> bool:
        """Release a key; allowed only if the request is known not to have run.

        Returns whether it was recorded within ``settle_timeout_s``.
        """
        item = _make_item("release", key, claim_id)
        return await _wait_settled(self._start_settling(item))

    async def _handle_item(self, sender: str, payload: bytes) -> bytes:
        request = msgspec.msgpack.decode(payload, type=ItemRequest)
        return msgspec.msgpack.encode(await self.handle(request))

    async def handle(self, request: ItemRequest) -> Reply:
        """Handle an item that was submitted to this instance."""
        if request.n_slots != self.options.n_slots:
            raise MismatchedSlotsError(request.n_slots, self.options.n_slots)
        owner = self.owners.get(request.slot)
        if owner is not None:
            return await owner.submit(request.item)
        preferred = self.preferred[request.slot]
        return Reply(
            kind="not_holder", holder="" if preferred == self.me else preferred
        )

    def _start_settling(self, item: ClaimItem) -> asyncio.Task[bool]:
        """Start to record a finish or release, with retries until a time limit."""
        task = asyncio.create_task(self._settle_item(item))
        if len(self.settling) >= self.options.n_settling_most:
            oldest = next(iter(self.settling))
            oldest.cancel()
            del self.settling[oldest]
        self.settling[task] = None
        task.add_done_callback(lambda done: self.settling.pop(done, None))
        return task

    async def _settle_item(self, item: ClaimItem) -> bool:
        end_s = self.app.clock.monotonic() + self.options.settle_timeout_s
        while self.app.clock.monotonic() < end_s:
            try:
                reply = await self.client.submit(Submission(item, end_s))
                return reply.status == "done"
            except (ClaimsUnavailableError, ClaimFateUnknownError):
                pause_s = self.options.retry_after_s * self.app.rng.uniform(0.5, 1.5)
                await self.app.clock.sleep(pause_s)
        logger.warning(
            "Could not record a {} within {} s.",
            item.kind,
            self.options.settle_timeout_s,
        )
        return False

    def _to_answer(self, reply: Reply) -> ClaimAnswer:
        if reply.status == "key_reused":
            raise KeyReusedError
        if reply.status == "granted":
            state = "granted"
        elif reply.status == "finished":
            self.metrics.answers.labels("finished").inc()
            return ClaimAnswer(state="finished", answer=reply.answer)
        elif reply.status == "in_progress":
            is_old = reply.age_s >= self.options.in_progress_s
            state = "unknown" if is_old else "in_progress"
        else:
            reason = f"a claim id that is {reply.status}"
            retry_after_s = self.options.retry_after_s
            raise ClaimsUnavailableError(reason, retry_after_s=retry_after_s)
        self.metrics.answers.labels(state).inc()
        return ClaimAnswer(state=state)  # type: ignore[arg-type]

    def _deduplicates(self, entry: str) -> bool:
        catalogue = self.app.services.get("catalogue")
        if catalogue is None:
            return False
        item = catalogue.content.entries.get(entry)
        return item is not None and item.deduplicates

    async def _run_balance(self) -> None:
        while True:
            await self.app.clock.sleep(self.options.balance_s)
            self._balance_slots()

    def _balance_slots(self) -> None:
        """Compete for the slots that prefer this instance, hand over the others."""
        self._update_members()
        if self.is_draining:
            return
        now_s = self.app.clock.monotonic()
        for slot, instance in enumerate(self.preferred):
            if instance == self.me:
                self.unpreferred_since_s.pop(slot, None)
                self._ensure_owner(slot)
            elif slot in self.owners:
                since_s = self.unpreferred_since_s.setdefault(slot, now_s)
                if now_s - since_s >= self.options.handover_s:
                    self.owners[slot].retire()

    def _update_members(self) -> None:
        members = self.peers.members() if self.peers is not None else []
        now_s = self.app.clock.monotonic()
        self.leaving = {
            instance: since_s
            for instance, since_s in self.leaving.items()
            if now_s - since_s < LEAVING_EXPIRY_S
        }
        remaining = [
            member
            for member in members
            if member.state is MemberState.ALIVE and member.instance not in self.leaving
        ]
        local = {
            member.instance
            for member in remaining
            if member.data_centre == self.data_centre
        }
        # A data centre in which all instances are leaving is preferred by no slot.
        centres = {member.data_centre for member in remaining}
        if not self.is_draining:
            centres.add(self.data_centre)
        if not (self.is_draining and local):
            local.add(self.me)
        live = tuple(sorted(local))
        data_centres = tuple(sorted(centres or {self.data_centre}))
        if (live, data_centres) == (self.live, self.data_centres):
            return
        self.live, self.data_centres = live, data_centres
        slots = range(self.options.n_slots)
        self.preferred = [rank(f"claims-{slot}", live)[0] for slot in slots]

    def _find_extra_wait_s(self, slot: int) -> float:
        """Return the delay that lets the slot's preferred data centre acquire first."""
        data_centre = rank(f"claims-{slot}", self.data_centres)[0]
        return 0.0 if data_centre == self.data_centre else self.options.lease.duration_s

    def _ensure_owner(self, slot: int) -> None:
        owner = self.owners.get(slot)
        if owner is not None:
            owner.extra_wait_s = self._find_extra_wait_s(slot)
            return
        owner = SlotOwner(
            self.app,
            slot,
            self.me,
            self.log,
            self.options,
            self.answers,
            self.metrics,
        )
        owner.extra_wait_s = self._find_extra_wait_s(slot)
        self.owners[slot] = owner

        async def run() -> None:
            await owner.run()
            self.owners.pop(slot, None)
            await self._notify_successor(slot)

        task = self.app.spawn(f"claims.slot-{slot}", run)
        self.owner_tasks.add(task)
        task.add_done_callback(self.owner_tasks.discard)

    async def _notify_successor(self, slot: int) -> None:
        """Notify the next owner of a slot that the slot is free."""
        successor = self._find_successor(slot)
        if successor is not None:
            await self._send_slot_released(
                successor, SlotReleased(slot=slot, is_leaving=self.is_draining)
            )

    def _find_successor(self, slot: int) -> str | None:
        """Return the next owner of a slot, or a contact that forwards to it."""
        name = f"claims-{slot}"
        others = [instance for instance in self.live if instance != self.me]
        if others:
            return rank(name, others)[0]
        members = self.peers.members() if self.peers is not None else []
        data_centre = rank(name, self.data_centres)[0]
        contacts = [m.instance for m in members if m.data_centre == data_centre]
        return rank(name, contacts)[0] if contacts else None

    async def _send_slot_released(self, target: str, message: SlotReleased) -> None:
        payload = msgspec.msgpack.encode(message)
        timeout_s = self.options.call_timeout_s
        try:
            await self.peers.call(target, RELEASED_METHOD, payload, timeout_s=timeout_s)
        except (LagoonringError, OSError) as error:
            logger.info("Slot {} handover notice failed: {!r}.", message.slot, error)

    async def _handle_slot_released(self, sender: str, payload: bytes) -> bytes:
        message = msgspec.msgpack.decode(payload, type=SlotReleased)
        if message.is_leaving:
            self.leaving[sender] = self.app.clock.monotonic()
        self._balance_slots()
        owner = self.owners.get(message.slot)
        successor = self.preferred[message.slot]
        if owner is not None:
            owner.acquire_now()
        elif not message.is_forwarded and successor != self.me:
            relay = SlotReleased(slot=message.slot, is_leaving=False, is_forwarded=True)
            await self._send_slot_released(successor, relay)
        return b""


async def _wait_settled(task: asyncio.Task[bool]) -> bool:
    """Wait for a task; cancelling the waiter does not cancel the task."""
    await asyncio.wait({task})
    return not task.cancelled() and task.result()


def _make_item(kind: ItemKind, key: str, claim_id: str, **fields: Any) -> ClaimItem:
    return ClaimItem(
        kind=kind, key=digest_key(key), claim=digest_id(claim_id), **fields
    )
