"""KV caches that the engine stand-in has exported or imported."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs
import xxhash

from lagoonring.standins.tokens import count_prompt_tokens

if TYPE_CHECKING:
    from lagoonring.kernel import Clock
    from lagoonring.standins.engine_requests import Job
    from lagoonring.standins.options import EngineOptions

N_HANDLES_KEPT = 1000


@attrs.frozen
class KvCopy:
    """A stream's KV cache: whose prompt, how far, how large."""

    handle: str
    prompt_hash: int
    n_tokens: int
    size_mb: float


class KvStore:
    """Handles of KV caches, the latest thousand.

    Parameters
    ----------
    options : EngineOptions
        Size per token and transfer rate.
    clock : Clock
        Takes the time of transfers.
    """

    def __init__(self, options: EngineOptions, *, clock: Clock) -> None:
        self.options = options
        self.clock = clock
        self.copies: OrderedDict[str, KvCopy] = OrderedDict()
        self.sequence = itertools.count(1)

    def export(self, job: Job) -> KvCopy:
        """Freeze a job and keep its cache under a new handle."""
        job.is_frozen = True
        n_tokens_all = count_prompt_tokens(job.prompt) + job.n_sent
        size_mb = n_tokens_all * self.options.kv_mb_per_token
        return self._keep(hash_prompt_text(job.prompt), job.n_sent, size_mb)

    async def take_in(self, copy: KvCopy) -> KvCopy:
        """Keep a copy of another engine, after its transfer time."""
        await self.clock.sleep(copy.size_mb / self.options.kv_mb_per_s)
        return self._keep(copy.prompt_hash, copy.n_tokens, copy.size_mb)

    def count_tokens(self, handle: str, prompt: str) -> int | None:
        """Return how many answer tokens a handle covers; None if it's no use."""
        copy = self.copies.get(handle)
        if copy is None or copy.prompt_hash != hash_prompt_text(prompt):
            return None
        return copy.n_tokens

    def _keep(self, prompt_hash: int, n_tokens: int, size_mb: float) -> KvCopy:
        handle = f"kv-{next(self.sequence)}"
        copy = KvCopy(handle, prompt_hash, n_tokens, size_mb)
        self.copies[handle] = copy
        if len(self.copies) > N_HANDLES_KEPT:
            self.copies.popitem(last=False)
        return copy


def hash_prompt_text(prompt: str) -> int:
    """Return a hash that tells prompts apart."""
    return xxhash.xxh64_intdigest(prompt.encode(errors="replace"))
