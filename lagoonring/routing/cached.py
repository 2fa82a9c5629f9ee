"""What is known of the prompt blocks that endpoints have cached.

Endpoints are bits of a mask, so that one walk over a prompt's blocks gives the
cached depth at all of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

RETIRED_BITS_MOST = 64


class PrefixIndex:
    """Bounded map from prompt blocks to the endpoints known to hold them.

    Parameters
    ----------
    n_most : int
        Blocks remembered; those stored longest ago are dropped first.
    """

    def __init__(self, n_most: int) -> None:
        self.n_most = n_most
        self.masks: dict[int, int] = {}
        self.bits: dict[str, int] = {}
        self.live = 0
        self.free: list[int] = []
        self.retired = 0
        self.n_bits = 0

    def bit_of(self, endpoint: str) -> int:
        """Return the endpoint's bit, assigning one at first."""
        bit = self.bits.get(endpoint)
        if bit is None:
            bit = self._take_bit()
            self.bits[endpoint] = bit
            self.live |= bit
        return bit

    def store(self, blocks: Sequence[int], bit: int) -> None:
        """Note that an endpoint holds blocks; the first ones last longest."""
        masks = self.masks
        for block in reversed(blocks):
            masks[block] = masks.pop(block, 0) | bit
        while len(masks) > self.n_most:
            del masks[next(iter(masks))]

    def evict(self, blocks: Iterable[int], bit: int) -> None:
        """Note that an endpoint has dropped blocks."""
        masks = self.masks
        for block in blocks:
            mask = masks.get(block, 0) & ~bit
            if mask:
                masks[block] = mask
            else:
                masks.pop(block, None)

    def forget(self, endpoint: str) -> int:
        """Drop all that is known of an endpoint; return its new bit."""
        self.remove(endpoint)
        return self.bit_of(endpoint)

    def remove(self, endpoint: str) -> None:
        """Drop an endpoint altogether."""
        bit = self.bits.pop(endpoint, 0)
        self.live &= ~bit
        self.retired |= bit
        if self.retired.bit_count() > RETIRED_BITS_MOST:
            self._sweep()

    def match(self, blocks: Sequence[int]) -> dict[int, int]:
        """Return the number of leading blocks cached, by endpoint bit.

        Endpoints without the first block are left out.
        """
        depths: dict[int, int] = {}
        get = self.masks.get
        mask = self.live
        depth = 0
        for block in blocks:
            held = get(block, 0) & mask
            if held != mask:
                if depth:
                    _set_depths(depths, mask & ~held, depth)
                mask = held
                if not mask:
                    return depths
            depth += 1
        if depth:
            _set_depths(depths, mask, depth)
        return depths

    def _take_bit(self) -> int:
        if self.free:
            return self.free.pop()
        bit = 1 << self.n_bits
        self.n_bits += 1
        return bit

    def _sweep(self) -> None:
        live = self.live
        self.masks = {
            block: mask & live for block, mask in self.masks.items() if mask & live
        }
        retired = self.retired
        while retired:
            bit = retired & -retired
            retired ^= bit
            self.free.append(bit)
        self.retired = 0


def _set_depths(depths: dict[int, int], mask: int, depth: int) -> None:
    while mask:
        bit = mask & -mask
        depths[bit] = depth
        mask ^= bit
