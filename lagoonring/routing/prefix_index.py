"""Index of the prompt blocks that endpoints are known to have cached.

Each endpoint is assigned one bit of a mask, so that a single pass over a
prompt's blocks gives the cached depth at every endpoint.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

MAX_RETIRED_BITS = 64


class PrefixIndex:
    """Bounded map from prompt blocks to the endpoints known to cache them.

    Parameters
    ----------
    max_blocks : int
        Maximum number of blocks; those stored longest ago are dropped first.
    """

    def __init__(self, max_blocks: int) -> None:
        self.max_blocks = max_blocks
        self.masks: dict[int, int] = {}
        self.bits: dict[str, int] = {}
        self.active_bits = 0
        self.free_bits: list[int] = []
        self.retired_bits = 0
        self.n_bits = 0

    def bit_of(self, endpoint: str) -> int:
        """Return the endpoint's bit, assigning one if it has none."""
        bit = self.bits.get(endpoint)
        if bit is None:
            bit = self._allocate_bit()
            self.bits[endpoint] = bit
            self.active_bits |= bit
        return bit

    def store(self, blocks: Sequence[int], bit: int) -> None:
        """Record that an endpoint caches blocks.

        The blocks are inserted in reverse, so that the first ones of a prompt
        are dropped last.
        """
        masks = self.masks
        for block in reversed(blocks):
            masks[block] = masks.pop(block, 0) | bit
        while len(masks) > self.max_blocks:
            del masks[next(iter(masks))]

    def evict(self, blocks: Iterable[int], bit: int) -> None:
        """Record that an endpoint has evicted blocks."""
        masks = self.masks
        for block in blocks:
            mask = masks.get(block, 0) & ~bit
            if mask:
                masks[block] = mask
            else:
                masks.pop(block, None)

    def forget(self, endpoint: str) -> int:
        """Discard what is known of an endpoint's cache; return its new bit."""
        self.remove(endpoint)
        return self.bit_of(endpoint)

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint and retire its bit.

        Retired bits stay in the masks until enough of them have accumulated to
        be recycled in one pass.
        """
        bit = self.bits.pop(endpoint, 0)
        self.active_bits &= ~bit
        self.retired_bits |= bit
        if self.retired_bits.bit_count() > MAX_RETIRED_BITS:
            self._recycle_bits()

    def match(self, blocks: Sequence[int]) -> dict[int, int]:
        """Return the number of leading blocks cached, by endpoint bit.

        Endpoints that lack the first block are omitted.
        """
        depths: dict[int, int] = {}
        get = self.masks.get
        mask = self.active_bits
        depth = 0
        for block in blocks:
            holders = get(block, 0) & mask
            if holders != mask:
                if depth:
                    _set_depths(depths, mask & ~holders, depth)
                mask = holders
                if not mask:
                    return depths
            depth += 1
        if depth:
            _set_depths(depths, mask, depth)
        return depths

    def _allocate_bit(self) -> int:
        if self.free_bits:
            return self.free_bits.pop()
        bit = 1 << self.n_bits
        self.n_bits += 1
        return bit

    def _recycle_bits(self) -> None:
        active_bits = self.active_bits
        self.masks = {
            block: mask & active_bits
            for block, mask in self.masks.items()
            if mask & active_bits
        }
        retired_bits = self.retired_bits
        while retired_bits:
            bit = retired_bits & -retired_bits
            retired_bits ^= bit
            self.free_bits.append(bit)
        self.retired_bits = 0


def _set_depths(depths: dict[int, int], mask: int, depth: int) -> None:
    while mask:
        bit = mask & -mask
        depths[bit] = depth
        mask ^= bit
