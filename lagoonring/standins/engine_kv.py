"""Exported and imported KV caches of the engine stand-in."""

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

MAX_HANDLES = 1000


@attrs.frozen
class KvCopy:
    """KV cache of a stream: hash of its prompt, tokens covered and size."""

    handle: str
    prompt_hash: int
    n_tokens: int
    size_mb: float


class KvStore:
    """KV caches by handle; the oldest are dropped beyond ``MAX_HANDLES``.

    Parameters
    ----------
    options : EngineOptions
        Size per token and transfer rate.
    clock : Clock
        Simulates the duration of transfers.
    """

    def __init__(self, options: EngineOptions, *, clock: Clock) -> None:
        self.options = options
        self.clock = clock
        self.copies: OrderedDict[str, KvCopy] = OrderedDict()
        self.sequence = itertools.count(1)

    def export(self, job: Job) -> KvCopy:
        """Freeze a job and store its KV cache under a new handle."""
        job.is_frozen = True
        n_tokens_all = count_prompt_tokens(job.prompt) + job.n_sent
        size_mb = n_tokens_all * self.options.kv_mb_per_token
        return self._add(hash_prompt_text(job.prompt), job.n_sent, size_mb)

    async def import_copy(self, copy: KvCopy) -> KvCopy:
        """Store a copy of another engine's KV cache, after its transfer time."""
        await self.clock.sleep(copy.size_mb / self.options.kv_mb_per_s)
        return self._add(copy.prompt_hash, copy.n_tokens, copy.size_mb)

    def count_tokens(self, handle: str, prompt: str) -> int | None:
        """Return the number of answer tokens covered; None if not usable."""
        copy = self.copies.get(handle)
        if copy is None or copy.prompt_hash != hash_prompt_text(prompt):
            return None
        return copy.n_tokens

    def _add(self, prompt_hash: int, n_tokens: int, size_mb: float) -> KvCopy:
        handle = f"kv-{next(self.sequence)}"
        copy = KvCopy(handle, prompt_hash, n_tokens, size_mb)
        self.copies[handle] = copy
        if len(self.copies) > MAX_HANDLES:
            self.copies.popitem(last=False)
        return copy


def hash_prompt_text(prompt: str) -> int:
    """Return a 64-bit hash of a prompt."""
    return xxhash.xxh64_intdigest(prompt.encode(errors="replace"))
