"""Submits items to the owner of their slot, with retries until the deadline."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

import attrs
import msgspec

from lagoonring.claims.errors import ClaimFateUnknownError, ClaimsUnavailableError
from lagoonring.claims.keys import find_slot
from lagoonring.claims.records import ClaimItem, ItemKind, ItemRequest, Reply
from lagoonring.errors import LagoonringError, UnavailableError
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from lagoonring.claims.metrics import ClaimsMetrics
    from lagoonring.claims.options import ClaimsOptions
    from lagoonring.kernel import Application

METHODS: dict[ItemKind, str] = {
    "claim": "claims.claim",
    "finish": "claims.finish",
    "release": "claims.release",
}
REASONS = {
    "log_out": "the log out",
    "full": "a full table of its slot",
    "not_holder": "no owner of its slot in time",
    "fate_unknown": "no answer of the owner of its slot",
}

logger = make_logger("claims")


class LocalSlots(Protocol):
    """Interface to the slots of this instance."""

    preferred: list[str]
    metrics: ClaimsMetrics

    async def handle(self, request: ItemRequest) -> Reply:
        """Handle an item that was submitted to this instance."""


@attrs.define
class Submission:
    """State of the submission of one item over its attempts.

    ``may_take_effect`` is True if an attempt may have taken effect or still may;
    ``is_log_out`` if the instance that replied last can't reach the log.
    """

    item: ClaimItem
    deadline_s: float
    may_take_effect: bool = False
    holder: str = ""
    was_redirected: bool = False
    is_log_out: bool = False


class SlotClient:
    """Submits items to the owners of slots and caches the last known holders.

    Parameters
    ----------
    app : Application
        Provides the clock and the random number generator.
    options : ClaimsOptions
        Options of claims.
    me : str
        Name of this instance.
    peers : object or None
        The service ``peers``.
    local_slots : LocalSlots
        Handles items submitted to this instance itself; knows the preferred
        instance of each slot.
    """

    def __init__(
        self,
        app: Application,
        options: ClaimsOptions,
        me: str,
        peers: Any,
        local_slots: LocalSlots,
    ) -> None:
        self.app = app
        self.options = options
        self.me = me
        self.peers = peers
        self.local_slots = local_slots
        self.holders: dict[int, str] = {}

    async def submit(self, submission: Submission) -> Reply:
        """Submit an item until there is an outcome or the deadline passes.

        ``submission.may_take_effect`` stays True if the outcome is unknown.

        Raises
        ------
        ClaimsUnavailableError
            If the item is known to have had no effect.
        ClaimFateUnknownError
            If the item may have taken effect or still may.
        """
        clock, options = self.app.clock, self.options
        slot = find_slot(submission.item.key, options.n_slots)
        while True:
            reply = await self._submit_once(submission, slot)
            if reply.kind == "outcome":
                submission.may_take_effect = False
                return reply
            if reply.kind in ("log_out", "full"):
                break
            if self._is_redirected(submission):
                continue
            pause_s = options.retry_s * self.app.rng.uniform(0.5, 1.5)
            if clock.monotonic() + pause_s >= submission.deadline_s:
                break
            await clock.sleep(pause_s)
        self.local_slots.metrics.answers.labels("unavailable").inc()
        if submission.may_take_effect:
            raise ClaimFateUnknownError(retry_after_s=options.retry_after_s)
        raise ClaimsUnavailableError(
            REASONS[reply.kind], retry_after_s=options.retry_after_s
        )

    async def _submit_once(self, submission: Submission, slot: int) -> Reply:
        target = (
            submission.holder
            or self.holders.pop(slot, "")
            or self.local_slots.preferred[slot]
        )
        submission.holder = ""
        was_possible, submission.may_take_effect = submission.may_take_effect, True
        try:
            reply = await self._send(target, slot, submission)
        except UnavailableError:
            # The owner was not reached, so this attempt has had no effect.
            submission.may_take_effect = was_possible
            return Reply(kind="log_out" if submission.is_log_out else "not_holder")
        except (LagoonringError, OSError, msgspec.MsgspecError) as error:
            logger.info(
                "No usable reply from {} for slot {}: {!r}.", target, slot, error
            )
            return Reply(kind="fate_unknown")
        if reply.kind != "fate_unknown":
            submission.may_take_effect = was_possible
        if reply.kind in ("outcome", "full"):
            self.holders[slot] = target
        if reply.kind == "not_holder" and reply.holder != target:
            submission.holder = reply.holder
        submission.is_log_out = reply.is_log_out
        return reply

    def _is_redirected(self, submission: Submission) -> bool:
        """Return whether to follow a redirect at once; never twice in a row."""
        submission.was_redirected = (
            bool(submission.holder) and not submission.was_redirected
        )
        return submission.was_redirected

    async def _send(self, target: str, slot: int, submission: Submission) -> Reply:
        request = ItemRequest(
            slot=slot, n_slots=self.options.n_slots, item=submission.item
        )
        left_s = submission.deadline_s - self.app.clock.monotonic()
        timeout_s = max(0.001, min(self.options.call_timeout_s, left_s))
        if target == self.me:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self.local_slots.handle(request)
            except TimeoutError:
                return Reply(kind="fate_unknown")
        payload = await self.peers.call(
            target,
            METHODS[submission.item.kind],
            msgspec.msgpack.encode(request),
            timeout_s=timeout_s,
        )
        return msgspec.msgpack.decode(payload, type=Reply)
