"""Reports the usage of each window once; repeated reports have the same counts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.serving.duties import MIN_CALL_S, write_ahead

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lagoonring.kernel import Clock
    from lagoonring.leases.lease import Lease
    from lagoonring.serving.duties import DutyLedger
    from lagoonring.serving.exchange import Exchange
    from lagoonring.serving.metrics import ServingMetrics
    from lagoonring.serving.usage import UsageCounts, UsageRow

    Report = Callable[[Lease, int, dict[str, int]], Awaitable[None]]

PART = "usage"
SETTLE_S = 2.0  # hubs exchange the counts every second
MAX_WAIT_SHARE = 0.62  # of due_s, to wait for counts of unreachable instances
SAVE_INTERVAL_S = 1.0  # of a 5 s window; later counts are lost if all instances fail


class SavedUsage(Protocol):
    """Storage for counts that survives the instances."""

    async def write(self, window: int, rows: list[UsageRow]) -> None:
        """Replace the saved counts of a window."""

    async def read(self) -> dict[int, list[UsageRow]]:
        """Return the counts of all saved windows."""


logger = make_logger("usage")


class UsageReports:
    """The duty that reports usage.

    Parameters
    ----------
    report : callable
        ``await report(lease, window, counts)`` sends a report to the platform.
    saved : SavedUsage
        Stores the counts of windows that are not reported yet.
    due_s : float
        Time after a window's end when its report is due.
    """

    name = PART

    def __init__(
        self,
        ledger: DutyLedger,
        usage: UsageCounts,
        exchange: Exchange,
        clock: Clock,
        metrics: ServingMetrics,
        *,
        report: Report,
        saved: SavedUsage,
        due_s: float,
    ) -> None:
        self.ledger = ledger
        self.usage = usage
        self.exchange = exchange
        self.clock = clock
        self.metrics = metrics
        self.report = report
        self.due_s = due_s
        self.saved = saved
        self.reported: set[int] = set()
        self.fencing_number = -1
        self.saved_s = 0.0

    async def step(self, lease: Lease) -> None:
        """Save the counts, and report the windows that are complete."""
        await self._save(lease)
        now_s = self.usage.true_time()
        window_s = self.usage.window_s
        last = int(now_s // window_s) - 1
        n_windows = int(self.due_s // window_s) + 1
        for window in range(last - n_windows + 1, last + 1):
            ended_s = now_s - (window + 1) * window_s
            if window not in self.reported and ended_s < self.due_s:
                await self._report_window(lease, window, ended_s)
        self.reported = {
            window for window in self.reported if window > last - 2 * n_windows
        }

    async def _save(self, lease: Lease) -> None:
        """Restore counts saved by the previous lease holder, and save periodically."""
        origin = (self.exchange.settings.instance, self.exchange.life)
        if lease.fencing_number != self.fencing_number:
            for window, rows in (await self.saved.read()).items():
                self.usage.restore(window, rows, origin)
            self.fencing_number = lease.fencing_number
        now_s = self.clock.monotonic()
        if now_s - self.saved_s < SAVE_INTERVAL_S:
            return
        self.saved_s = now_s
        present = self.usage.window()
        for window in (present - 1, present):
            rows = self.usage.rows(window, origin)
            if rows and window not in self.reported:
                await self.saved.write(window, rows)

    async def _report_window(self, lease: Lease, window: int, ended_s: float) -> None:
        counts = self._recorded_counts(window)
        if counts is None:
            if not self._is_complete(ended_s) or self._may_be_reported(lease, ended_s):
                return
            counts = self.usage.total(window)
            await write_ahead(lease, PART, str(window), counts)
        if lease.remaining_s() < MIN_CALL_S:
            return
        try:
            await self.report(lease, window, counts)
        except LagoonringError as error:
            self.metrics.duty_calls.labels(PART, error.code).inc()
            logger.info(
                "Usage report failed.",
                extra={"window": window, "counts": counts, "error": str(error)},
            )
            return
        self.reported.add(window)
        self.metrics.duty_calls.labels(PART, "ok").inc()
        logger.info(
            "Usage reported.",
            extra={
                "window": window,
                "counts": counts,
                "ended_s": round(ended_s, 2),
                "fencing_number": lease.fencing_number,
            },
        )

    def _may_be_reported(self, lease: Lease, ended_s: float) -> bool:
        """Return whether a window's report may have been recorded and then lost.

        A store that returned from an older copy lacks the newest records, and another
        report with other counts would charge the window twice.
        """
        restored_ago_s = self.clock.boottime() - lease.restored_s
        return ended_s - restored_ago_s >= SETTLE_S

    def _recorded_counts(self, window: int) -> dict[str, int] | None:
        recorded = self.ledger.find(PART, str(window))
        if recorded is None:
            return None
        return msgspec.json.decode(recorded, type=dict[str, int])

    def _is_complete(self, ended_s: float) -> bool:
        """Return whether all instances sent their counts or the wait is over."""
        if ended_s < SETTLE_S:
            return False
        if ended_s >= MAX_WAIT_SHARE * self.due_s:
            return True
        ended_at_s = self.clock.monotonic() - ended_s
        return self.exchange.all_reported_since(ended_at_s + SETTLE_S / 2)
