"""Shares what one instance of a data centre reads of the store with the others.

An instance that polls the store sends what it read, also when that is nothing, to the
others of its data centre. These don't read while such pages come. Whoever misses them
first reads and tells the others, so that no instance depends on another one: neither
on its life, nor on the store serving it.
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
FRESH_SHARE = 0.65  # of the time that a change may take; a read and its news follow
SPREAD_SHARE = 0.1  # of that time, so that one instance reads first and tells others
FIRST_SHARE = 0.2  # of that time; when many have started, few read before one tells
HISTORY_S = 3.0  # of records in each page, for those that missed the pages before

logger = make_logger("relay")


@attrs.frozen(kw_only=True)
class StorePage:
    """Records of a feed that changed something, in a range of offsets."""

    feed: str
    reader: str
    from_offset: int
    to_offset: int
    records: list[KeyedRecord]


@attrs.define
class SharedFeed:
    """A feed, what came of it lately, and until when others' pages suffice.

    ``pages`` holds what was read here and what others' pages told: when, from which
    offset, what changed. Each goes on where the one before it ended. ``read_s`` is
    when this instance read the store last, ``read_from`` from which offset.
    """

    feed: KeyedFeed
    pages: list[tuple[float, int, list[KeyedRecord]]] = attrs.field(factory=list)
    fresh_until_s: float = 0.0
    read_s: float = float("-inf")
    read_from: int = 0

    def add(self, now_s: float, before: int, records: list[KeyedRecord]) -> None:
        """Keep what came, and drop what came long ago."""
        self.pages.append((now_s, before, records))
        while now_s - self.pages[0][0] > HISTORY_S:
            self.pages.pop(0)


class StoreRelay(BaseService):
    """Sends and takes pages of the feeds that an instance follows.

    Parameters
    ----------
    change_s : float
        Time after which a change in the store counts everywhere.
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
        """Share a feed; ``apply(record)`` takes in a record that changed."""
        self.shared[name] = SharedFeed(feed)
        self.appliers[name] = apply

    def is_fresh(self, name: str) -> bool:
        """Whether another instance's pages make reading the store needless."""
        return self.clock.monotonic() < self.shared[name].fresh_until_s

    def publish(
        self, name: str, before: int | None, changes: list[KeyedRecord]
    ) -> None:
        """Send what changed when the store was read from offset ``before`` on."""
        shared = self.shared[name]
        now_s = self.clock.monotonic()
        if before is None or shared.feed.offset is None:
            # All keys were read anew, as all others that start now do.
            shared.pages.clear()
            share = FIRST_SHARE + (FRESH_SHARE - FIRST_SHARE) * self.rng.random()
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
        """Take in a page, unless records before it are missing here."""
        try:
            page = msgspec.msgpack.decode(content[1:], type=StorePage)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            logger.warning("Dropped a page.", extra={"error": str(error)})
            return
        shared = self.shared.get(page.feed)
        if shared is None or shared.feed.offset is None:
            return
        if page.from_offset > shared.feed.offset:
            return
        now_s = self.clock.monotonic()
        if self._suffices(page, shared, now_s):
            share = FRESH_SHARE + SPREAD_SHARE * self.rng.random()
            shared.fresh_until_s = now_s + share * self.change_s
        before = shared.feed.offset
        changes = [
            record
            for record in shared.feed.take_page(page.records, page.to_offset)
            if self.appliers[page.feed](record)
        ]
        if shared.feed.offset != before:
            shared.add(now_s, before, changes)

    def _suffices(self, page: StorePage, shared: SharedFeed, now_s: float) -> bool:
        """Whether this instance need not read while such pages come.

        Of two instances that read, the one with the smaller address goes on. The
        other's read may have been the later one, but for one read only.
        """
        assert shared.feed.offset is not None
        if now_s - shared.read_s > self.change_s:
            return page.to_offset >= shared.feed.offset
        is_first = self.exchange.address < page.reader
        return not is_first and page.to_offset >= shared.read_from
