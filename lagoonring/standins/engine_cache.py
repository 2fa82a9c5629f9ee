"""Prefix cache of the engine stand-in, with delayed and lossy cache events."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from lagoonring.endpoints.messages import CacheEvent, CacheEventPage

if TYPE_CHECKING:
    import random

    from lagoonring.kernel import Clock
    from lagoonring.standins.options import EngineOptions


class PrefixCache:
    """LRU cache of prompt blocks.

    Parameters
    ----------
    options : EngineOptions
        Size of the cache, delay and loss of events.
    clock : Clock
        Times the events.
    rng : random.Random
        Chooses the events that are lost.
    """

    def __init__(
        self, options: EngineOptions, *, clock: Clock, rng: random.Random
    ) -> None:
        self.options = options
        self.clock = clock
        self.rng = rng
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=options.n_events_kept
        )
        self.next_seq = 0

    def count_cached(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks that are cached."""
        for index, block in enumerate(blocks):
            if block not in self.blocks:
                return index
        return len(blocks)

    def store(self, blocks: tuple[int, ...]) -> None:
        """Cache blocks, evicting the least recently used ones if it is full."""
        new = [block for block in blocks if block not in self.blocks]
        for block in reversed(blocks):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        evicted = []
        while len(self.blocks) > self.options.n_cache_blocks:
            evicted.append(self.blocks.popitem(last=False)[0])
        self._publish("stored", new)
        self._publish("evicted", evicted)

    def clear(self) -> None:
        """Empty the cache as a crash does; sequence numbers restart at 0."""
        self.blocks.clear()
        self.events.clear()
        self.next_seq = 0

    def read_events(self, from_seq: int) -> CacheEventPage:
        """Return the events from ``from_seq`` on that are past the event delay.

        A ``next_seq`` below ``from_seq`` means that the engine has restarted.
        """
        if from_seq > self.next_seq:
            return CacheEventPage([], 0)
        shown_s = self.clock.monotonic() - self.options.event_delay_s
        events = []
        next_seq = from_seq
        for time_s, event in self.events:
            if time_s > shown_s:
                break
            next_seq = max(next_seq, event.seq + 1)
            if event.seq >= from_seq:
                events.append(event)
        return CacheEventPage(events, next_seq)

    def _publish(self, kind: str, blocks: list[int]) -> None:
        if not blocks:
            return
        event = CacheEvent(self.next_seq, kind, blocks)
        self.next_seq += 1
        if self.rng.random() >= self.options.event_loss_share:
            self.events.append((self.clock.monotonic(), event))
