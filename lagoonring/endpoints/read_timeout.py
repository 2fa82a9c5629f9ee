"""A timeout for the reads of a stream with little overhead per read."""

from __future__ import annotations

import asyncio
import math
from typing import Any


class ReadTimeout:
    """Cancels the reading task when a read takes too long.

    One timer per read would be set and cancelled for every token. This timer stays
    set over many reads and, when it fires, checks whether a read is overdue.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.due_s = math.inf
        self.timer_due_s = math.inf
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[Any] | None = None
        self.n_cancelling = 0
        self.is_expired = False

    def start_read(self, timeout_s: float) -> None:
        """Start the timeout of a read."""
        self.task = asyncio.current_task()
        self.due_s = self.loop.time() + timeout_s
        if self.timer_due_s > self.due_s:
            self._start_timer(self.due_s)

    def end_read(self) -> None:
        """End the timeout of the current read."""
        self.due_s = math.inf

    def close(self) -> None:
        """Cancel the timer."""
        self.end_read()
        if self.timer is not None:
            self.timer.cancel()

    def consume_cancellation(self) -> bool:
        """Undo this timeout's cancellation of the task.

        Returns False if the read did not time out or the task was also cancelled by
        others; the cancellation must then propagate.
        """
        if not self.is_expired or self.task is None:
            return False
        return self.task.uncancel() <= self.n_cancelling

    def _start_timer(self, due_s: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer_due_s = due_s
        self.timer = self.loop.call_at(due_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer_due_s = math.inf
        self.timer = None
        if self.due_s == math.inf or self.task is None:
            return
        if self.loop.time() < self.due_s:
            self._start_timer(self.due_s)
            return
        self.is_expired = True
        self.n_cancelling = self.task.cancelling()
        self.task.cancel()
