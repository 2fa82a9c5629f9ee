"""Asks the owner of a slot for an item, until there is an outcome."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

import attrs
import msgspec

from lagoonring.claims.errors import ClaimFateUnknownError, ClaimsUnavailableError
from lagoonring.claims.keys import find_slot
from lagoonring.claims.records import Ask, ClaimItem, ItemKind, Reply
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


class Desk(Protocol):
    """This instance's own side of the slots."""

    preferred: list[str]
    metrics: ClaimsMetrics

    async def handle(self, ask: Ask) -> Reply:
        """Answer an item that this instance was asked for."""


@attrs.define
class Asking:
    """What is known while one item is asked for.

    ``may_count`` says that the item may take effect, or may have;
    ``is_log_out`` that the instance asked last can't reach the log itself.
    """

    item: ClaimItem
    deadline_s: float
    may_count: bool = False
    holder: str = ""
    was_redirected: bool = False
    is_log_out: bool = False


class Asker:
    """Finds the owner of a slot, and remembers the holders found last.

    Parameters
    ----------
    app : Application
        Gives the clock and the random source.
    options : ClaimsOptions
        Options of claims.
    me : str
        Name of this instance.
    peers : object or None
        The service ``peers``.
    desk : Desk
        Answers what this instance asks itself; knows whom a slot prefers here.
    """

    def __init__(
        self,
        app: Application,
        options: ClaimsOptions,
        me: str,
        peers: Any,
        desk: Desk,
    ) -> None:
        self.app = app
        self.options = options
        self.me = me
        self.peers = peers
        self.desk = desk
        self.holders: dict[int, str] = {}

    async def ask(self, asking: Asking) -> Reply:
        """Ask until there is an outcome; leaves ``may_count`` if it is unknown.

        Raises
        ------
        ClaimsUnavailableError
            If the item has provably had no effect.
        ClaimFateUnknownError
            If it may have an effect, now or later.
        """
        clock, options = self.app.clock, self.options
        slot = find_slot(asking.item.key, options.n_slots)
        while True:
            reply = await self._ask_once(asking, slot)
            if reply.kind == "outcome":
                asking.may_count = False
                return reply
            if reply.kind in ("log_out", "full"):
                break
            if self._is_redirected(asking):
                continue
            pause_s = options.retry_s * self.app.rng.uniform(0.5, 1.5)
            if clock.monotonic() + pause_s >= asking.deadline_s:
                break
            await clock.sleep(pause_s)
        self.desk.metrics.answers.labels("unavailable").inc()
        if asking.may_count:
            raise ClaimFateUnknownError(retry_after_s=options.retry_after_s)
        raise ClaimsUnavailableError(
            REASONS[reply.kind], retry_after_s=options.retry_after_s
        )

    async def _ask_once(self, asking: Asking, slot: int) -> Reply:
        target = (
            asking.holder or self.holders.pop(slot, "") or self.desk.preferred[slot]
        )
        asking.holder = ""
        had_count, asking.may_count = asking.may_count, True
        try:
            reply = await self._send(target, slot, asking)
        except UnavailableError:
            # The owner was provably not reached.
            asking.may_count = had_count
            return Reply(kind="log_out" if asking.is_log_out else "not_holder")
        except (LagoonringError, OSError, msgspec.MsgspecError) as error:
            logger.info("Asked {} for slot {} in vain: {!r}.", target, slot, error)
            return Reply(kind="fate_unknown")
        if reply.kind != "fate_unknown":
            asking.may_count = had_count
        if reply.kind in ("outcome", "full"):
            self.holders[slot] = target
        if reply.kind == "not_holder" and reply.holder != target:
            asking.holder = reply.holder
        asking.is_log_out = reply.is_log_out
        return reply

    def _is_redirected(self, asking: Asking) -> bool:
        """Whether to ask another instance at once; not twice in a row."""
        asking.was_redirected = bool(asking.holder) and not asking.was_redirected
        return asking.was_redirected

    async def _send(self, target: str, slot: int, asking: Asking) -> Reply:
        ask = Ask(slot=slot, n_slots=self.options.n_slots, item=asking.item)
        left_s = asking.deadline_s - self.app.clock.monotonic()
        timeout_s = max(0.001, min(self.options.call_timeout_s, left_s))
        if target == self.me:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self.desk.handle(ask)
            except TimeoutError:
                return Reply(kind="fate_unknown")
        payload = await self.peers.call(
            target,
            METHODS[asking.item.kind],
            msgspec.msgpack.encode(ask),
            timeout_s=timeout_s,
        )
        return msgspec.msgpack.decode(payload, type=Reply)
