"""Shares the records that one instance reads from the store with its data centre.

An instance that polls the store sends the page it read, even if empty, to the other
instances of its data centre. These do not poll while such pages arrive. The first one
that misses them polls the store and sends pages itself, so that no instance depends on
another one being alive or being served by the store. Preferably the hub reads, since it
has the fastest link of its data centre.

A page repeats recent changes for instances that missed earlier pages, but a large
document only once: sent again with each page, it would fill the reader's link for
seconds and delay answers to callers. Pages of some size are compressed.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs
import msgspec

from lagoonring.decoding import DECODE_ERRORS
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
COMPRESSED_PAGE_KIND = b"Z"
MIN_COMPRESSED_BYTES = 4096  # below it a page takes a few milliseconds on a slow link
COMPRESSION_LEVEL = 1  # most of the gain, in a fraction of the time of higher levels
MAX_PAGE_BYTES = 64 << 20  # far above the records that the store accepts in one call
FRESH_SHARE = 0.65  # of change_s; leaves time for a read and its page
SPREAD_SHARE = 0.1  # of change_s, randomised so that one instance reads first
INITIAL_SHARE = 0.2  # of change_s; minimum first wait, so that few read when many start
HISTORY_S = 3.0  # of records in each page, for instances that missed earlier pages
MAX_HISTORY_BYTES = 16384  # of earlier records in a page; endpoint records are short

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
    or received. Consecutive pages are contiguous. ``tried_s`` is the time of this
    instance's last attempt to read the store, ``read_s`` that of its last successful
    one, and ``read_from`` the offset of the latter.
    """

    feed: KeyedFeed
    pages: list[tuple[float, int, list[KeyedRecord]]] = attrs.field(factory=list)
    fresh_until_s: float = 0.0
    tried_s: float = float("-inf")
    read_s: float = float("-inf")
    read_from: int = 0

    def add(self, now_s: float, before: int, records: list[KeyedRecord]) -> None:
        """Append a page; drop old ones, and those beyond ``MAX_HISTORY_BYTES``."""
        while self.pages and now_s - self.pages[0][0] > HISTORY_S:
            self.pages.pop(0)
        while self._count_history_bytes() > MAX_HISTORY_BYTES:
            self.pages.pop(0)
        self.pages.append((now_s, before, records))

    def _count_history_bytes(self) -> int:
        return sum(
            len(record.value or b"")
            for _, _, records in self.pages
            for record in records
        )


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
        exchange.handlers[COMPRESSED_PAGE_KIND[0]] = self.receive

    def add(
        self, name: str, feed: KeyedFeed, apply: Callable[[KeyedRecord], bool]
    ) -> None:
        """Share a feed; ``apply(record)`` is called for each changed record."""
        self.shared[name] = SharedFeed(feed)
        self.appliers[name] = apply

    def is_preferred_reader(self) -> bool:
        """Return whether the other instances prefer pages of this one."""
        return self.exchange.is_hub()

    def count_local(self) -> int:
        """Return the number of instances of this data centre that share pages."""
        return 1 + len(self.exchange.local_peers())

    def is_fresh(self, name: str) -> bool:
        """Return whether recent pages of other instances make a read unnecessary.

        If not, the caller is expected to read the store.
        """
        now_s = self.clock.monotonic()
        shared = self.shared[name]
        if now_s < shared.fresh_until_s:
            return True
        shared.tried_s = now_s
        return False

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
        self.exchange.send_to_local_peers(encode_page(page))

    def receive(self, content: bytes) -> bool:
        """Apply a page, unless earlier records are missing here.

        Returns whether it could be decoded.
        """
        try:
            page = decode_page(content)
        except (*DECODE_ERRORS, zlib.error) as error:
            logger.warning(
                "Dropped an undecodable store page.", extra={"error": str(error)}
            )
            return False
        self._apply(page)
        return True

    def _apply(self, page: StorePage) -> None:
        shared = self.shared.get(page.feed)
        if shared is None or shared.feed.offset is None:
            return
        if page.from_offset > shared.feed.offset:
            return
        now_s = self.clock.monotonic()
        if self._can_skip_reading(page, shared, now_s):
            share = FRESH_SHARE + SPREAD_SHARE * self.rng.random()
            shared.fresh_until_s = now_s + share * self.change_s
            if self.exchange.is_hub():
                # The hub depends on other readers only while its own reads fail.
                retry_s = shared.tried_s + self.change_s
                shared.fresh_until_s = min(shared.fresh_until_s, retry_s)
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

        Of two instances that read, the hub continues, otherwise the one with the
        smaller address. The other one stops if the page covers at least its reads
        before the last one, since that last read may be later than the page.
        """
        assert shared.feed.offset is not None
        if now_s - shared.read_s > self.change_s:
            return page.to_offset >= shared.feed.offset
        return not self._has_priority(page) and page.to_offset >= shared.read_from

    def _has_priority(self, page: StorePage) -> bool:
        """Return whether this instance, not the page's reader, continues to read."""
        if self.exchange.is_hub():
            return True
        if page.reader == self.exchange.hub_address:
            return False
        return self.exchange.address < page.reader


def encode_page(page: StorePage) -> bytes:
    """Return the message with a page, compressed unless it is short."""
    content = msgspec.msgpack.encode(page)
    if len(content) < MIN_COMPRESSED_BYTES:
        return PAGE_KIND + content
    return COMPRESSED_PAGE_KIND + zlib.compress(content, COMPRESSION_LEVEL)


def decode_page(message: bytes) -> StorePage:
    """Return the page in a message.

    Raises
    ------
    msgspec.MsgspecError, ValueError, RecursionError, zlib.error
        If the message is damaged.
    """
    content = message[1:]
    if message[:1] == COMPRESSED_PAGE_KIND:
        content = zlib.decompressobj().decompress(content, MAX_PAGE_BYTES)
    return msgspec.msgpack.decode(content, type=StorePage)
