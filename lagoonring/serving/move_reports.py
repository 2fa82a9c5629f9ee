"""Reports the states of moves to operators, and keeps how each move ended.

A status is one record that each report replaces. The store may execute a report whose
answer was lost seconds later, behind a newer one, so two things don't rely on it: how
a move ended is also recorded under a key that no other state is ever written to, and a
status that may have been replaced that way is read again and corrected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from lagoonring.errors import AnswerLostError, LagoonringError
from lagoonring.logs import make_logger
from lagoonring.platform.log import generation_of
from lagoonring.serving.moves import MoveState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lagoonring.kernel import Clock
    from lagoonring.serving.moves import MoveOrder

CHECK_INTERVAL_S = 4.0
CHECKED_S = 12.0  # twice as long as the store may take to execute a write

logger = make_logger("moves")


@attrs.frozen(kw_only=True)
class MoveEnd:
    """How the move of an order ended; ``offset`` is that of the order."""

    service: str
    offset: int
    target: str
    duration_s: float
    state: MoveState

    def is_of(self, order: MoveOrder) -> bool:
        """Return whether an order is the one that ended.

        A store that returned from an older copy gets the order again, at an offset of
        a later generation.
        """
        if self.service != order.service or self.target != order.target:
            return False
        if self.offset == order.offset:
            return True
        is_later = generation_of(order.offset) > generation_of(self.offset)
        return is_later and self.duration_s == order.duration_s


class MoveRecords(Protocol):
    """Storage for what operators read of moves, and for their ends."""

    async def write_status(self, service: str, target: str, state: MoveState) -> None:
        """Replace the status of a service's move."""

    async def read_statuses(self) -> dict[str, tuple[str, MoveState]]:
        """Return the target and state last reported, by service."""

    async def write_end(self, end: MoveEnd, older: Sequence[MoveEnd]) -> None:
        """Record an end, and drop older ones of the service."""

    async def read_ends(self) -> list[MoveEnd]:
        """Return all ends recorded."""


class MoveReports:
    """Reports of the holder of the duties.

    Attributes
    ----------
    settled : set of str
        Names of the orders whose end is recorded and reported.
    """

    def __init__(self, records: MoveRecords, clock: Clock) -> None:
        self.records = records
        self.clock = clock
        self.settled: set[str] = set()
        self.ends: list[MoveEnd] | None = None
        self.statuses: dict[str, tuple[str, MoveState]] | None = None
        self.check_until_s = float("-inf")
        self.checked_s = float("-inf")

    def begin(self) -> None:
        """Begin anew; another holder may have written, and the store lost, anything."""
        self.settled.clear()
        self.ends = self.statuses = None
        self.checked_s = float("-inf")
        self._expect_late_write()

    async def find_end(self, order: MoveOrder) -> MoveState | None:
        """Return the recorded end of an order's move.

        Earlier releases only wrote the status, which doesn't tell the order.

        Raises
        ------
        PlatformUnavailableError
            If the store doesn't answer.
        """
        ends = await self._read_ends()
        for end in ends:
            if end.is_of(order):
                return end.state
        if any(end.service == order.service for end in ends):
            return None
        statuses = await self._read_statuses()
        target, state = statuses.get(order.service, ("", MoveState.RUNNING))
        is_end = target == order.target and state is not MoveState.RUNNING
        return state if is_end else None

    async def report_running(self, order: MoveOrder) -> None:
        """Report that a move runs; a failure is only logged."""
        try:
            await self._write_status(order, MoveState.RUNNING)
        except LagoonringError as error:
            logger.info(
                "Could not write the status of a move.",
                extra={"service": order.service, "error": str(error)},
            )

    async def report_end(self, order: MoveOrder, state: MoveState) -> None:
        """Report and record how a move ended, unless both is done.

        Raises
        ------
        PlatformUnavailableError, PlatformAnswerLostError
            If the store did not answer; call again.
        """
        if (self.statuses or {}).get(order.service) != (order.target, state):
            await self._write_status(order, state)
        ends = await self._read_ends()
        older = [end for end in ends if end.service == order.service]
        if not any(end.offset == order.offset for end in older):
            end = MoveEnd(
                service=order.service,
                offset=order.offset,
                target=order.target,
                duration_s=order.duration_s,
                state=state,
            )
            await self.records.write_end(end, older)
            self.ends = [one for one in ends if one not in older] + [end]
        self.settled.add(order.name)

    async def check(self) -> None:
        """Read the statuses, again while a late write may replace one of them.

        If they aren't those reported last, no end counts as settled.
        """
        now_s = self.clock.monotonic()
        is_due = now_s < self.check_until_s and bool(self.settled)
        if self.statuses is not None and not is_due:
            return
        if now_s - self.checked_s < CHECK_INTERVAL_S:
            return
        self.checked_s = now_s
        reported = self.statuses
        try:
            self.statuses = await self.records.read_statuses()
        except LagoonringError as error:
            logger.info(
                "Could not read the statuses of moves.", extra={"error": str(error)}
            )
            return
        if reported is not None and self.statuses != reported:
            self.settled.clear()
            logger.info(
                "The statuses of moves are not those reported last.",
                extra={"found": _show(self.statuses), "reported": _show(reported)},
            )

    async def _read_ends(self) -> list[MoveEnd]:
        if self.ends is None:
            self.ends = await self.records.read_ends()
        return self.ends

    async def _read_statuses(self) -> dict[str, tuple[str, MoveState]]:
        if self.statuses is None:
            self.statuses = await self.records.read_statuses()
        return self.statuses

    async def _write_status(self, order: MoveOrder, state: MoveState) -> None:
        try:
            await self.records.write_status(order.service, order.target, state)
        except AnswerLostError:
            self._expect_late_write()
            raise
        if self.statuses is not None:
            self.statuses[order.service] = order.target, state

    def _expect_late_write(self) -> None:
        self.check_until_s = self.clock.monotonic() + CHECKED_S


def _show(statuses: dict[str, tuple[str, MoveState]]) -> dict[str, str]:
    return {
        name: f"{target} {state.value}" for name, (target, state) in statuses.items()
    }
