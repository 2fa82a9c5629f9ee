"""Work that one instance does for all: usage reports and orders of endpoints.

The instance that holds the lease does all of it. What it is about to tell the
platform is written to the lease's stream first, so that the next holder repeats
it word for word and never tells something else.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs
import msgspec

from lagoonring.kernel import BaseService
from lagoonring.leases.duties import Duty
from lagoonring.leases.lease import Lease
from lagoonring.leases.options import LeaseOptions
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from lagoonring.kernel import Application
    from lagoonring.platform.log import Log
    from lagoonring.serving.exchange import Exchange

STREAM = "lagoonring.duties"
STEP_S = 0.5  # an eighth of the time that a report may wait for late counts
RENEWALS = 3.4  # renewals in a lease; two may be lost
MARGIN_SHARE = 0.3  # of the lease, longer than a call to the platform may take
PAUSE_LEASES = 1.5  # after giving the duties up; others act in that time
MIN_CALL_S = 0.3  # of the lease; a call begun with less could outlive it

logger = make_logger("duties")


class DutyPart(Protocol):
    """One kind of work of the holder."""

    name: str

    async def step(self, lease: Lease) -> None:
        """Do what is due now; check the lease before each call."""


@attrs.define
class DutyLedger:
    """What holders have written, by part and key; newest last."""

    content: dict[str, dict[str, msgspec.Raw]] = attrs.field(factory=dict)
    n_kept: int = 64

    def on_data(self, offset: int, time_s: float, payload: msgspec.Raw) -> None:
        """Fold a record that counts."""
        part, key, value = msgspec.json.decode(
            payload, type=tuple[str, str, msgspec.Raw]
        )
        kept = self.content.setdefault(part, {})
        kept.pop(key, None)
        kept[key] = value
        while len(kept) > self.n_kept:
            del kept[next(iter(kept))]

    def restore(self, parts: list[msgspec.Raw]) -> None:
        """Begin anew: what is older than the log keeps is not needed."""
        self.content.clear()

    def find(self, part: str, key: str) -> msgspec.Raw | None:
        """Return what a holder wrote."""
        return self.content.get(part, {}).get(key)


class Duties(BaseService):
    """Competes for the lease and runs the parts while it is held.

    Parameters
    ----------
    make_parts : callable
        From the ledger to the parts of the duty.
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
            margin_s=lease_s * MARGIN_SHARE,
            renew_interval_s=lease_s / RENEWALS,
            poll_s=lease_s / RENEWALS,
        )
        self.lease = Lease(log, STREAM, instance, app.clock, options, data=self.ledger)
        self.is_leaving = False
        # Two holders that take turns within a lease can't be told from a fault.
        self.pause_s = PAUSE_LEASES * lease_s
        self.released_s = float("-inf")

    async def start(self) -> None:
        """Begin to compete."""
        duty = Duty(
            self.lease, self._run, rng=self.app.rng, is_candidate=self._is_candidate
        )
        self.app.spawn("duties", duty.compete)

    async def retire(self) -> None:
        """Let another instance take over at once."""
        self.is_leaving = True
        await self.lease.release()

    def _is_candidate(self) -> bool:
        if self.is_leaving:
            return False
        # Only hubs hear what all instances count.
        if not self.exchange.is_settled_hub():
            return False
        return self.app.clock.monotonic() >= self.released_s + self.pause_s

    async def _run(self, lease: Lease) -> None:
        logger.info("Holds the duties.", extra={"fencing_number": lease.fencing_number})
        while lease.is_held() and not self.is_leaving and self.exchange.is_hub():
            for part in self.parts:
                await self._step(part.step, lease, part.name)
            await self.app.clock.sleep(STEP_S)
        self.released_s = self.app.clock.monotonic()
        logger.info("Holds the duties no more.", extra={"leaving": self.is_leaving})

    async def _step(
        self, step: Callable[[Lease], Awaitable[None]], lease: Lease, name: str
    ) -> None:
        try:
            await step(lease)
        except ConnectionError as error:
            logger.info("Duty put off.", extra={"duty": name, "error": str(error)})


async def write_ahead(lease: Lease, part: str, key: str, value: object) -> None:
    """Write down what is about to be told; errors are those of ``Lease.append``."""
    await lease.append((part, key, value))
