"""Continuous batching of the engine stand-in: slots, prefill, token rate, faults."""

from __future__ import annotations

import asyncio
import random
from contextlib import aclosing
from typing import TYPE_CHECKING

import attrs

from lagoonring.routing.prefixes import BLOCK_BYTES, hash_blocks
from lagoonring.standins.answer_swap import AnswerSwap
from lagoonring.standins.engine_cache import PrefixCache
from lagoonring.standins.engine_faults import EngineFaults, find_version_faults
from lagoonring.standins.engine_kv import KvStore
from lagoonring.standins.engine_slots import Slots
from lagoonring.standins.fault_counts import consume_fault
from lagoonring.standins.http_server import wait_forever

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from lagoonring.kernel import Clock
    from lagoonring.standins.engine_requests import Job
    from lagoonring.standins.options import EngineOptions

N_BURST_TOKENS = 64


class StreamCutError(ConnectionResetError):
    """An injected fault ended the stream without its end marker."""


class EngineError(RuntimeError):
    """An injected fault made the request fail."""


@attrs.define
class Counts:
    """Counters since the start of the engine."""

    n_requests: int = 0
    n_tokens: int = 0
    n_tokens_recomputed: int = 0
    n_blocks_prefilled: int = 0
    n_blocks_cached: int = 0
    n_crashes: int = 0
    n_requests_while_leaving: int = 0


class Batch:
    """Runs jobs in a limited number of slots and paces their tokens.

    Parameters
    ----------
    options : EngineOptions
        Speeds and sizes.
    clock : Clock
        Paces the tokens.
    crash : callable
        Called without arguments when a prompt crashes the engine.
    """

    def __init__(
        self, options: EngineOptions, *, clock: Clock, crash: Callable[[], None]
    ) -> None:
        self.options = options
        self.clock = clock
        self.crash = crash
        self.rng = random.Random(options.seed)
        self.faults = EngineFaults()
        self.counts = Counts()
        self.slots = Slots(options.n_slots)
        self.cache = PrefixCache(options, clock=clock, rng=self.rng)
        self.kv = KvStore(options, clock=clock)
        self.n_requests_by_version: dict[str, int] = {}
        self.jobs: dict[str, Job] = {}
        self.n_held = 0
        self.held_changed = asyncio.Event()
        self.faults_changed = asyncio.Event()
        self.answer_swap: AnswerSwap[Job] = AnswerSwap()

    def set_faults(self, faults: EngineFaults) -> None:
        """Put faults in force and wake the streams that are held."""
        self.faults = faults
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()

    def clear_memory(self) -> None:
        """Drop the prefix cache and the KV caches, as a crash does."""
        self.cache.clear()
        self.kv.copies.clear()

    async def swap_answer(self, job: Job) -> Job:
        """Return the job to answer: that of another request if a fault swaps them."""
        if not consume_fault(self.faults, "n_crossed"):
            return job
        return await self.answer_swap.swap(job)

    async def run(self, job: Job) -> AsyncGenerator[tuple[int, int], None]:
        """Yield ranges ``(start, stop)`` of tokens as they become due.

        Raises
        ------
        EngineError, StreamCutError
            If an injected fault hits the job.
        """
        self.counts.n_requests += 1
        self.jobs[job.attempt_id] = job
        try:
            await self.slots.acquire(job.priority)
            try:
                async with aclosing(self._run_in_slot(job)) as ranges:
                    async for item in ranges:
                        yield item
            finally:
                self.slots.release()
        finally:
            job.ended.set()
            if self.jobs.get(job.attempt_id) is job:
                del self.jobs[job.attempt_id]

    async def wait_until_held(self, n: int) -> None:
        """Return once at least ``n`` streams are held at ``hold_at_token``."""
        while self.n_held < n:
            await self.held_changed.wait()

    async def _run_in_slot(self, job: Job) -> AsyncGenerator[tuple[int, int], None]:
        self._assign_faults(job)
        job.n_sent = job.resume.n_tokens if job.resume else 0
        await self._prefill(job)
        due_s = self.clock.monotonic()
        while job.n_sent < job.n_tokens:
            if await self._pass_checkpoint(job):
                due_s = self.clock.monotonic()
            interval_s = self._token_interval_s(job)
            n_due, due_s = await self._wait_for_tokens(interval_s, due_s)
            if job.is_frozen:
                continue
            start = job.n_sent
            job.n_sent = min(start + n_due, job.n_tokens, self._next_checkpoint(job))
            self.counts.n_tokens += job.n_sent - start
            yield start, job.n_sent
        await self._pass_checkpoint(job)

    def _assign_faults(self, job: Job) -> None:
        """Determine the faults that will hit the job."""
        faults = self.faults
        n_requests = self.n_requests_by_version.get(job.version, 0) + 1
        self.n_requests_by_version[job.version] = n_requests
        found = find_version_faults(
            faults,
            job.version,
            n_requests=n_requests,
            n_running=self.slots.n_running,
            prompt=job.prompt,
        )
        job.slow_factor = found.slow_factor
        if found.crash or any(text in job.prompt for text in faults.crash_on):
            job.crash_at = faults.crash_at_token
        if consume_fault(faults, "n_errors") or self.rng.random() < found.error_share:
            raise EngineError("Got a fault on command.")
        if consume_fault(faults, "n_stalled"):
            job.stall_at = faults.stall_at_token
        if consume_fault(faults, "n_cut"):
            job.cut_at = faults.cut_at_token

    async def _prefill(self, job: Job) -> None:
        prompt = job.prompt.encode(errors="replace")
        blocks = hash_blocks(prompt)
        n_prompt_blocks = -(-len(prompt) // BLOCK_BYTES)
        n_recomputed = job.n_sent
        n_cached = self.cache.count_cached(blocks)
        if job.resume and job.resume.kv:
            n_covered = self.kv.count_tokens(job.resume.kv, job.prompt)
            if n_covered is not None:
                n_cached = n_prompt_blocks
                n_recomputed = max(0, job.n_sent - n_covered)
        n_blocks = n_prompt_blocks - n_cached
        self.counts.n_blocks_prefilled += n_blocks
        self.counts.n_blocks_cached += n_cached
        self.counts.n_tokens_recomputed += n_recomputed
        n_blocks += -(-n_recomputed // self.options.n_tokens_per_block)
        await self._wait(n_blocks * self.options.prefill_block_s * self._slowdown(job))
        self.cache.store(blocks)

    async def _wait(self, delay_s: float) -> None:
        if delay_s > 0:
            await self.clock.sleep(delay_s)

    def _slowdown(self, job: Job) -> float:
        return self.faults.slow_factor * job.slow_factor

    def _token_interval_s(self, job: Job) -> float:
        growth = self.options.batch_growth * (self.slots.n_running - 1)
        return self.options.token_s * (1 + growth) * self._slowdown(job)

    async def _wait_for_tokens(
        self, interval_s: float, due_s: float
    ) -> tuple[int, float]:
        """Wait for the next token; return the number due and the last one's time."""
        if interval_s <= 0:
            await asyncio.sleep(0)
            return N_BURST_TOKENS, due_s
        due_s += interval_s
        await self._wait(due_s - self.clock.monotonic())
        n_late = max(0, int((self.clock.monotonic() - due_s) / interval_s))
        return 1 + n_late, due_s + n_late * interval_s

    def _next_checkpoint(self, job: Job) -> int:
        """Return the next number of tokens at which a fault may apply."""
        checkpoints = (
            job.stall_at,
            job.cut_at,
            job.crash_at,
            self.faults.hold_at_token,
        )
        later = [n for n in checkpoints if n is not None and n > job.n_sent]
        return min(later, default=job.n_tokens)

    async def _pass_checkpoint(self, job: Job) -> bool:
        """Apply the faults due at this token; return whether the job was held."""
        if _is_due(job.crash_at, job):
            self.crash()
            await wait_forever()
        if _is_due(job.cut_at, job):
            raise StreamCutError("Got a cut on command.")
        if _is_due(job.stall_at, job) or job.is_frozen:
            await wait_forever()
        if job.n_sent != self.faults.hold_at_token:
            return False
        await self._hold(job)
        return True

    async def _hold(self, job: Job) -> None:
        self._count_held(1)
        try:
            while job.n_sent == self.faults.hold_at_token:
                await self.faults_changed.wait()
        finally:
            self._count_held(-1)

    def _count_held(self, change: int) -> None:
        self.n_held += change
        self.held_changed.set()
        self.held_changed = asyncio.Event()


def _is_due(token: int | None, job: Job) -> bool:
    return token is not None and job.n_sent >= token
