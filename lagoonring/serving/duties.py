"""Duties that one instance performs for all: usage reports and orders of endpoints.

The holder of the lease performs all of them. What it is about to send to the platform
is first written to the stream of the lease, so that the next holder repeats exactly
the same and never sends something different.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import attrs
import msgspec

from lagoonring.kernel import BaseService
from lagoonring.leases.duties import Duty
from lagoonring.leases.lease import Lease
from lagoonring.leases.options import LeaseOptions
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Sequence

    from lagoonring.kernel import Application
    from lagoonring.platform.log import Log
    from lagoonring.serving.exchange import Exchange

STREAM = "lagoonring.duties"
STEP_S = 0.5  # an eighth of the time that a report may wait for late counts
RENEWALS_PER_LEASE = 3.4  # two renewals may be lost
LEASE_MARGIN_SHARE = 0.3  # of the lease, longer than a call to the platform may take
RELEASE_PAUSE_LEASES = 1.5  # after a release, to leave time for another holder
MIN_CALL_S = 0.3  # of the lease left; a call begun with less could outlive it

logger = make_logger("duties")


class DutyPart(Protocol):
    """One duty of the lease holder."""

    name: str

    async def step(self, lease: Lease) -> None:
        """Perform what is due now; check the lease before each call."""


@attrs.define
class DutyLedger:
    """Records written by lease holders, by part and key; newest last.

    A part can protect its records: ``is_final`` holds, by part, a function that tells
    whether a record is never replaced.
    """

    content: dict[str, dict[str, msgspec.Raw]] = attrs.field(factory=dict)
    n_kept: int = 64
    is_final: dict[str, Callable[[msgspec.Raw], bool]] = attrs.field(factory=dict)

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Apply a record that was written under a valid lease."""
        part, key, value = msgspec.json.decode(
            payload, type=tuple[str, str, msgspec.Raw]
        )
        entries = self.content.setdefault(part, {})
        known = entries.get(key)
        is_final = self.is_final.get(part)
        if known is not None and is_final is not None and is_final(known):
            return
        entries.pop(key, None)
        entries[key] = value
        while len(entries) > self.n_kept:
            del entries[next(iter(entries))]

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Clear the ledger; records older than the log retains are not needed."""
        self.content.clear()

    def find(self, part: str, key: str) -> msgspec.Raw | None:
        """Return the record of a part and key, if a holder wrote one."""
        return self.content.get(part, {}).get(key)


class Duties(BaseService):
    """Competes for the lease and runs the parts while it is held.

    Parameters
    ----------
    make_parts : callable
        Returns the duties, given the ledger.
    """

    name = "duties"

    def __init__(
        self,
        app: Application,
        log: Log,
        exchange: Exchange,
        *,
        instance: str,
        lease_s: float,
        make_parts: Callable[[DutyLedger], Sequence[DutyPart]],
    ) -> None:
        self.app = app
        self.exchange = exchange
        self.instance = instance
        self.ledger = DutyLedger()
        self.parts = make_parts(self.ledger)
        options = LeaseOptions(
            duration_s=lease_s,
            margin_s=lease_s * LEASE_MARGIN_SHARE,
            renew_interval_s=lease_s / RENEWALS_PER_LEASE,
            poll_s=lease_s / RENEWALS_PER_LEASE,
        )
        self.lease = Lease(log, STREAM, instance, app.clock, options, data=self.ledger)
        self.task: asyncio.Task[None] | None = None
        self.is_leaving = False
        # Without it, holders that alternate within one lease would look like a fault.
        self.pause_s = RELEASE_PAUSE_LEASES * lease_s
        self.released_s = float("-inf")

    async def start(self) -> None:
        """Start to compete for the lease."""
        duty = Duty(
            self.lease, self._run, rng=self.app.rng, is_candidate=self._is_candidate
        )
        self.task = self.app.spawn("duties", duty.compete)

    async def retire(self) -> None:
        """Release the lease, so that another instance can take over at once.

        The call in progress is ended first: it must not arrive after the next holder's.
        """
        self.is_leaving = True
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.lease.release()

    def _is_candidate(self) -> bool:
        if self.is_leaving:
            return False
        # Only hubs receive the counts of all instances.
        if not self.exchange.is_settled_hub():
            return False
        return self.app.clock.monotonic() >= self.released_s + self.pause_s

    async def _run(self, lease: Lease) -> None:
        logger.info(
            "Started performing the duties.",
            extra={"fencing_number": lease.fencing_number},
        )
        while lease.is_held() and not self.is_leaving and self.exchange.is_hub():
            for part in self.parts:
                await self._step(part.step, lease, part.name)
            await self.app.clock.sleep(STEP_S)
        self.released_s = self.app.clock.monotonic()
        logger.info(
            "Stopped performing the duties.", extra={"leaving": self.is_leaving}
        )

    async def _step(
        self, step: Callable[[Lease], Awaitable[None]], lease: Lease, name: str
    ) -> None:
        try:
            await step(lease)
        except ConnectionError as error:
            logger.info(
                "Duty step failed; retrying at the next step.",
                extra={"duty": name, "error": str(error)},
            )


async def write_ahead(lease: Lease, part: str, key: str, value: object) -> None:
    """Record what is about to be sent; raises the errors of ``Lease.append``."""
    await lease.append((part, key, value))
