"""Delayed load reports of the engine stand-in."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lagoonring.endpoints.messages import LoadReport

if TYPE_CHECKING:
    from lagoonring.endpoints.messages import EngineState
    from lagoonring.kernel import Clock
    from lagoonring.standins.engine_core import Batch

N_SAMPLES = 3


class LoadReports:
    """Samples the load twice per lag and reports the oldest of three samples.

    Parameters
    ----------
    batch : Batch
        Batch whose load is reported.
    state : EngineState
        Source of the loaded versions.
    clock : Clock
        Times the samples.
    """

    def __init__(self, batch: Batch, state: EngineState, *, clock: Clock) -> None:
        self.batch = batch
        self.state = state
        self.clock = clock
        self.lag_s = batch.options.load_lag_s
        self.samples: deque[LoadReport] = deque(maxlen=N_SAMPLES)
        self.last_s = clock.monotonic()
        self.last_n_tokens = 0

    def read(self) -> LoadReport:
        """Return the current, delayed report."""
        if self.lag_s == 0 or not self.samples:
            return self._measure()
        return self.samples[0]

    async def run(self) -> None:
        """Sample the load until cancelled; return at once if there is no lag."""
        while self.lag_s > 0:
            self.samples.append(self._measure())
            await self.clock.sleep(self.lag_s / 2)

    def _measure(self) -> LoadReport:
        batch = self.batch
        now_s = self.clock.monotonic()
        n_tokens = batch.counts.n_tokens
        elapsed_s = now_s - self.last_s
        rate = (n_tokens - self.last_n_tokens) / elapsed_s if elapsed_s > 0 else 0.0
        self.last_s = now_s
        self.last_n_tokens = n_tokens
        n_cache_blocks = max(1, batch.options.n_cache_blocks)
        return LoadReport(
            n_running=batch.slots.n_running,
            n_waiting=batch.slots.n_waiting,
            n_slots=batch.slots.n_slots,
            kv_used_share=min(1.0, len(batch.cache.blocks) / n_cache_blocks),
            versions=list(self.state.versions),
            tokens_per_s=round(rate, 1),
            time_s=self.clock.time(),
        )
