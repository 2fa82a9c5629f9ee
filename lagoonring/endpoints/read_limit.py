"""Time limit of the reads of a stream that costs little per read."""

from __future__ import annotations

import asyncio
import math
from typing import Any


class ReadLimit:
    """Cancels the reading task when a read takes too long.

    A timer per read would be set and cancelled for every token. This one stays
    armed over many reads, and looks when it fires whether a read is overdue.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.due_s = math.inf
        self.armed_s = math.inf
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[Any] | None = None
        self.n_cancelling = 0
        self.is_expired = False

    def begin(self, timeout_s: float) -> None:
        """Limit the read that begins now."""
        self.task = asyncio.current_task()
        self.due_s = self.loop.time() + timeout_s
        if self.armed_s > self.due_s:
            self._arm(self.due_s)

    def end(self) -> None:
        """Say that the read has ended."""
        self.due_s = math.inf

    def close(self) -> None:
        """Disarm for good."""
        self.end()
        if self.timer is not None:
            self.timer.cancel()

    def absorb(self) -> bool:
        """Take back the own cancellation; False if others cancelled as well."""
        if not self.is_expired or self.task is None:
            return False
        return self.task.uncancel() <= self.n_cancelling

    def _arm(self, at_s: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.armed_s = at_s
        self.timer = self.loop.call_at(at_s, self._fire)

    def _fire(self) -> None:
        self.armed_s = math.inf
        self.timer = None
        if self.due_s == math.inf or self.task is None:
            return
        if self.loop.time() < self.due_s:
            self._arm(self.due_s)
            return
        self.is_expired = True
        self.n_cancelling = self.task.cancelling()
        self.task.cancel()
