"""The service ``claims``: each keyed request runs at most once.

A claim is asked of the owner of its key's slot, and asked again, with the same
claim id, until it is answered or the request's deadline is over. In each data
centre one instance per slot, by rendezvous hashing, competes for the slot and
knows who holds it; the others ask that one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.claims.answers import AnswerCache
from lagoonring.claims.asker import METHODS, Asker, Asking
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
    Ask,
    ClaimAnswer,
    ClaimItem,
    ItemKind,
    Nudge,
    Reply,
    StoredAnswer,
    trim_answer,
)
from lagoonring.claims.slot import SlotOwner
from lagoonring.errors import LagoonringError
from lagoonring.kernel.application import BaseService
from lagoonring.leases import rank
from lagoonring.logs import make_logger
from lagoonring.peers import MemberState

if TYPE_CHECKING:
    from lagoonring.kernel import Application
    from lagoonring.platform.log import Log

ALONE = "alone"
NUDGE_METHOD = "claims.nudge"
# Longer than peers take to tell that an instance leaves.
LEAVING_S = 60.0

logger = make_logger("claims")


class ClaimsService(BaseService):
    """Asks for claims, and owns the slots that prefer this instance.

    Parameters
    ----------
    app : Application
        Finds ``log``, ``peers`` and ``catalogue``; the last two may be missing.
    options : ClaimsOptions
        Options of claims.
    log : Log or None
        In place of the service ``log``.
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
        self.given_log = log
        self.owners: dict[int, SlotOwner] = {}
        self.left_since_s: dict[int, float] = {}
        self.live: tuple[str, ...] = ()
        self.data_centres: tuple[str, ...] = ()
        self.preferred: list[str] = []
        # In order of age, which a set would not keep.
        self.settling: dict[asyncio.Task[bool], None] = {}
        self.leaving: dict[str, float] = {}
        self.is_draining = False
        self.owner_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begin to serve asks and to compete for slots."""
        self.log = self.given_log or self.app.find("log")
        self.answers = AnswerCache(self.log, self.options.answer_cache_bytes)
        self.metrics = ClaimsMetrics(self.app)
        self.peers: Any = self.app.services.get("peers")
        me = self.peers.me if self.peers is not None else None
        self.me = me.instance if me is not None else ALONE
        self.data_centre = me.data_centre if me is not None else ""
        if self.peers is not None:
            for method in METHODS.values():
                self.peers.serve(method, self._serve)
            self.peers.serve(NUDGE_METHOD, self._serve_nudge)
        self.asker = Asker(self.app, self.options, self.me, self.peers, self)
        self._balance()
        self.app.spawn("claims.balance", self._keep_balance)

    async def retire(self) -> None:
        """Leave all slots to other instances, after what waits is answered."""
        self.is_draining = True
        for owner in self.owners.values():
            owner.retire()
        if self.owner_tasks:
            await asyncio.wait(self.owner_tasks)

    async def drain(self, grace_s: float) -> None:
        """Settle what is still to be recorded, at the slots' new owners."""
        if self.settling:
            await asyncio.wait(self.settling, timeout=grace_s)

    async def stop(self) -> None:
        """Give up what is still tried in the background."""
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
        """Claim a key for one sending of a request.

        Parameters
        ----------
        key : str
            With organisation and entry; see
            :func:`lagoonring.claims.keys.scoped_key`.
        fingerprint : str or bytes
            Of the request; the same for the same request.
        claim_id : str
            Unique per sending; chosen by the system, never by the caller.
        entry : str
            Name of the entry, for whether its endpoints deduplicate.
        deadline_s : float or None
            End of the request on the application's monotonic clock.

        Raises
        ------
        ClaimsUnavailableError
            If nothing was granted; the sending was not run.
        ClaimFateUnknownError
            If a grant may have been made; it is taken back in the background.
        KeyReusedError
            If the key belongs to another request.
        """
        item = _make_item("claim", key, claim_id, fingerprint=digest_id(fingerprint))
        now_s = self.app.clock.monotonic()
        end_s = (
            now_s + self.options.claim_timeout_s if deadline_s is None else deadline_s
        )
        asking = Asking(item, end_s)
        try:
            reply = await self.asker.ask(asking)
        except (ClaimsUnavailableError, ClaimFateUnknownError):
            if self._deduplicates(entry):
                return ClaimAnswer(state="granted", is_recorded=False)
            raise
        finally:
            # Also when this task is cancelled: nobody runs what it asked for.
            if asking.may_count:
                self._settle(attrs.evolve(item, kind="release"))
        return self._to_answer(reply)

    async def finish(self, key: str, claim_id: str, answer: StoredAnswer) -> bool:
        """Record the answer of a request that ran.

        Returns whether it was recorded in ``settle_timeout_s``. A body over
        64 KB is recorded by its digest only.
        """
        item = _make_item("finish", key, claim_id, answer=trim_answer(answer))
        return await _wait_settled(self._settle(item))

    async def release(self, key: str, claim_id: str) -> bool:
        """Let the key be claimed again; only if it was provably not run.

        Returns whether that was recorded in ``settle_timeout_s``.
        """
        item = _make_item("release", key, claim_id)
        return await _wait_settled(self._settle(item))

    async def _serve(self, sender: str, payload: bytes) -> bytes:
        ask = msgspec.msgpack.decode(payload, type=Ask)
        return msgspec.msgpack.encode(await self.handle(ask))

    async def handle(self, ask: Ask) -> Reply:
        """Answer an item that this instance was asked for."""
        if ask.n_slots != self.options.n_slots:
            raise MismatchedSlotsError(ask.n_slots, self.options.n_slots)
        owner = self.owners.get(ask.slot)
        if owner is not None:
            return await owner.submit(ask.item)
        preferred = self.preferred[ask.slot]
        return Reply(
            kind="not_holder", holder="" if preferred == self.me else preferred
        )

    def _settle(self, item: ClaimItem) -> asyncio.Task[bool]:
        """Record a finish or release, for as long as it takes within a limit."""
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
                reply = await self.asker.ask(Asking(item, end_s))
                return reply.status == "done"
            except (ClaimsUnavailableError, ClaimFateUnknownError):
                pause_s = self.options.retry_after_s * self.app.rng.uniform(0.5, 1.5)
                await self.app.clock.sleep(pause_s)
        logger.warning(
            "Gave up a {} after {} s.", item.kind, self.options.settle_timeout_s
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

    async def _keep_balance(self) -> None:
        while True:
            await self.app.clock.sleep(self.options.balance_s)
            self._balance()

    def _balance(self) -> None:
        """Take the slots that prefer this instance, leave those that do not."""
        self._note_members()
        if self.is_draining:
            return
        now_s = self.app.clock.monotonic()
        for slot, instance in enumerate(self.preferred):
            if instance == self.me:
                self.left_since_s.pop(slot, None)
                self._take_slot(slot)
            elif slot in self.owners:
                since_s = self.left_since_s.setdefault(slot, now_s)
                if now_s - since_s >= self.options.handover_s:
                    self.owners[slot].retire()

    def _note_members(self) -> None:
        members = self.peers.members() if self.peers is not None else []
        now_s = self.app.clock.monotonic()
        self.leaving = {
            instance: since_s
            for instance, since_s in self.leaving.items()
            if now_s - since_s < LEAVING_S
        }
        staying = [
            member
            for member in members
            if member.state is MemberState.ALIVE and member.instance not in self.leaving
        ]
        near = {
            member.instance
            for member in staying
            if member.data_centre == self.data_centre
        }
        # A data centre that leaves as a whole is nobody's home any more.
        centres = {member.data_centre for member in staying}
        if not self.is_draining:
            centres.add(self.data_centre)
        if not (self.is_draining and near):
            near.add(self.me)
        live = tuple(sorted(near))
        data_centres = tuple(sorted(centres or {self.data_centre}))
        if (live, data_centres) == (self.live, self.data_centres):
            return
        self.live, self.data_centres = live, data_centres
        slots = range(self.options.n_slots)
        self.preferred = [rank(f"claims-{slot}", live)[0] for slot in slots]

    def _find_patience_s(self, slot: int) -> float:
        """Let the data centre that a slot prefers take it first."""
        home = rank(f"claims-{slot}", self.data_centres)[0]
        return 0.0 if home == self.data_centre else self.options.lease.duration_s

    def _take_slot(self, slot: int) -> None:
        owner = self.owners.get(slot)
        if owner is not None:
            owner.patience_s = self._find_patience_s(slot)
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
        owner.patience_s = self._find_patience_s(slot)
        self.owners[slot] = owner

        async def run() -> None:
            await owner.run()
            self.owners.pop(slot, None)
            await self._nudge_heir(slot)

        task = self.app.spawn(f"claims.slot-{slot}", run)
        self.owner_tasks.add(task)
        task.add_done_callback(self.owner_tasks.discard)

    async def _nudge_heir(self, slot: int) -> None:
        """Tell the instance that takes the slot next that it is free."""
        heir = self._find_heir(slot)
        if heir is not None:
            await self._send_nudge(heir, Nudge(slot=slot, is_leaving=self.is_draining))

    def _find_heir(self, slot: int) -> str | None:
        """Return who takes a slot next, or who will pass a nudge on to it."""
        name = f"claims-{slot}"
        others = [instance for instance in self.live if instance != self.me]
        if others:
            return rank(name, others)[0]
        members = self.peers.members() if self.peers is not None else []
        home = rank(name, self.data_centres)[0]
        contacts = [m.instance for m in members if m.data_centre == home]
        return rank(name, contacts)[0] if contacts else None

    async def _send_nudge(self, heir: str, nudge: Nudge) -> None:
        payload = msgspec.msgpack.encode(nudge)
        timeout_s = self.options.call_timeout_s
        try:
            await self.peers.call(heir, NUDGE_METHOD, payload, timeout_s=timeout_s)
        except (LagoonringError, OSError) as error:
            logger.info(
                "The heir of slot {} will find it free: {!r}.", nudge.slot, error
            )

    async def _serve_nudge(self, sender: str, payload: bytes) -> bytes:
        nudge = msgspec.msgpack.decode(payload, type=Nudge)
        if nudge.is_leaving:
            self.leaving[sender] = self.app.clock.monotonic()
        self._balance()
        owner = self.owners.get(nudge.slot)
        heir = self.preferred[nudge.slot]
        if owner is not None:
            owner.nudge()
        elif not nudge.is_forwarded and heir != self.me:
            forwarded = Nudge(slot=nudge.slot, is_leaving=False, is_forwarded=True)
            await self._send_nudge(heir, forwarded)
        return b""


async def _wait_settled(task: asyncio.Task[bool]) -> bool:
    """Wait without cancelling the task if the waiting one is cancelled."""
    await asyncio.wait({task})
    return not task.cancelled() and task.result()


def _make_item(kind: ItemKind, key: str, claim_id: str, **fields: Any) -> ClaimItem:
    return ClaimItem(
        kind=kind, key=digest_key(key), claim=digest_id(claim_id), **fields
    )
