"""Shares the records that one instance reads from the store with its data centre.

An instance that polls the store sends the page it read, even if empty, to the other
instances of its data centre. These do not poll while such pages arrive. The first one
that misses them polls the store and sends pages itself, so that no instance depends on
another one being alive or being served by the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.platform.store import KeyedRecord
from lagoonring.serving.feeds import KeyedFeed

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.serving.exchange import Exchange

PAGE_KIND = b"S"
FRESH_SHARE = 0.65  # of change_s; leaves time for a read and its page
SPREAD_SHARE = 0.1  # of change_s, randomised so that one instance reads first
INITIAL_SHARE = 0.2  # of change_s; minimum first wait, so that few read when many start
HISTORY_S = 3.0  # of records in each page, for instances that missed earlier pages

logger = make_logger("relay")


@attrs.frozen(kw_only=True)
class StorePage:
    """Records of a feed that had an effect, in a range of offsets."""

    feed: str
    reader: str
    from_offset: int
    to_offset: int
    records: list[KeyedRecord]


@attrs.define
class SharedFeed:
    """A feed, its recent pages, and how long pages of others replace reading.

    ``pages`` holds the time, first offset and changes of each page that was read here
    or received. Consecutive pages are contiguous. ``read_s`` is the time of this
    instance's last read of the store, and ``read_from`` its offset.
    """

    feed: KeyedFeed
    pages: list[tuple[float, int, list[KeyedRecord]]] = attrs.field(factory=list)
    fresh_until_s: float = 0.0
    read_s: float = float("-inf")
    read_from: int = 0

    def add(self, now_s: float, before: int, records: list[KeyedRecord]) -> None:
        """Append a page, and drop those older than ``HISTORY_S``."""
        self.pages.append((now_s, before, records))
        while now_s - self.pages[0][0] > HISTORY_S:
            self.pages.pop(0)


class StoreRelay(BaseService):
    """Sends and receives pages of the feeds that an instance follows.

    Parameters
    ----------
    change_s : float
        Time within which a change in the store must take effect everywhere.
    """

    name = "relay"

    def __init__(
        self, clock: Clock, exchange: Exchange, rng: random.Random, *, change_s: float
    ) -> None:
        self.clock = clock
        self.change_s = change_s
        self.rng = rng
        self.exchange = exchange
        self.shared: dict[str, SharedFeed] = {}
        self.appliers: dict[str, Callable[[KeyedRecord], bool]] = {}
        exchange.handlers[PAGE_KIND[0]] = self.receive

    def add(
        self, name: str, feed: KeyedFeed, apply: Callable[[KeyedRecord], bool]
    ) -> None:
        """Share a feed; ``apply(record)`` is called for each changed record."""
        self.shared[name] = SharedFeed(feed)
        self.appliers[name] = apply

    def is_fresh(self, name: str) -> bool:
        """Return whether recent pages of other instances make a read unnecessary."""
        return self.clock.monotonic() < self.shared[name].fresh_until_s

    def publish(
        self, name: str, before: int | None, changes: list[KeyedRecord]
    ) -> None:
        """Send the changes found by a read of the store from offset ``before`` on."""
        shared = self.shared[name]
        now_s = self.clock.monotonic()
        if before is None or shared.feed.offset is None:
            # A snapshot of all keys was read, which every starting instance does.
            shared.pages.clear()
            share = INITIAL_SHARE + (FRESH_SHARE - INITIAL_SHARE) * self.rng.random()
            shared.fresh_until_s = now_s + share * self.change_s
            return
        shared.add(now_s, before, changes)
        shared.read_s, shared.read_from = now_s, before
        if not self.exchange.local_peers():
            return
        page = StorePage(
            feed=name,
            reader=self.exchange.address,
            from_offset=shared.pages[0][1],
            to_offset=shared.feed.offset,
            records=[record for _, _, records in shared.pages for record in records],
        )
        self.exchange.send_to_local_peers(PAGE_KIND + msgspec.msgpack.encode(page))

    def receive(self, content: bytes) -> None:
        """Apply a page, unless earlier records are missing here."""
        try:
            page = msgspec.msgpack.decode(content[1:], type=StorePage)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            logger.warning(
                "Dropped an undecodable store page.", extra={"error": str(error)}
            )
            return
        shared = self.shared.get(page.feed)
        if shared is None or shared.feed.offset is None:
            return
        if page.from_offset > shared.feed.offset:
            return
        now_s = self.clock.monotonic()
        if self._can_skip_reading(page, shared, now_s):
            share = FRESH_SHARE + SPREAD_SHARE * self.rng.random()
            shared.fresh_until_s = now_s + share * self.change_s
        before = shared.feed.offset
        changes = [
            record
            for record in shared.feed.apply_page(page.records, page.to_offset)
            if self.appliers[page.feed](record)
        ]
        if shared.feed.offset != before:
            shared.add(now_s, before, changes)

    def _can_skip_reading(
        self, page: StorePage, shared: SharedFeed, now_s: float
    ) -> bool:
        """Return whether this instance can skip reading while such pages arrive.

        Of two instances that read, the one with the smaller address continues. The
        other one stops if the page covers at least its reads before the last one,
        since that last read may be later than the page.
        """
        assert shared.feed.offset is not None
        if now_s - shared.read_s > self.change_s:
            return page.to_offset >= shared.feed.offset
        has_priority = self.exchange.address < page.reader
        return not has_priority and page.to_offset >= shared.read_from
