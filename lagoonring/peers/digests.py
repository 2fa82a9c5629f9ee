"""Packed (origin id, tick) pairs in a long and a short form.

The long form names origins by their identifiers. The short one is for two tables
that hold the same origins, which a hash of all identifiers shows: an origin is
then its place in their sorted order, and of the tick only the low bits are sent.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

from lagoonring.peers.messages import ORIGIN_ID_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    Pair = tuple[bytes, int]
    KnownTick = Callable[[bytes], int]

TICK_LIMIT = 1 << 32
N_SHORT_MOST = 256
SHORT_TICK_BYTES = 3
SHORT_TICK_LIMIT = 1 << (8 * SHORT_TICK_BYTES)
SHORT_PAIR_BYTES = 1 + SHORT_TICK_BYTES

long_pair = struct.Struct(f">{ORIGIN_ID_BYTES}sI")


def pack_long(pairs: Iterable[Pair]) -> bytes:
    """Return pairs in the long form."""
    return b"".join(long_pair.pack(*pair) for pair in pairs)


def unpack_long(packed: bytes) -> list[Pair]:
    """Return the pairs of the long form; an incomplete last one is left out."""
    whole = len(packed) - len(packed) % long_pair.size
    return list(long_pair.iter_unpack(packed[:whole]))


def hash_origins(order: Sequence[bytes]) -> bytes:
    """Return a hash of the sorted identifiers of all origins."""
    return xxhash.xxh32_digest(b"".join(order))


def pack_short(pairs: Iterable[Pair], order: Sequence[bytes]) -> bytes:
    """Return pairs in the short form."""
    places = {origin_id: place for place, origin_id in enumerate(order)}
    return b"".join(
        bytes([places[origin_id]]) + _low_bytes(tick)
        for origin_id, tick in pairs
        if origin_id in places
    )


def unpack_short(
    packed: bytes, order: Sequence[bytes], known_tick: KnownTick
) -> list[Pair]:
    """Return the pairs of the short form, ticks being near the known ones."""
    pairs = []
    for start in range(0, len(packed) - SHORT_TICK_BYTES, SHORT_PAIR_BYTES):
        place = packed[start]
        low = packed[start + 1 : start + SHORT_PAIR_BYTES]
        if place < len(order):
            origin_id = order[place]
            pairs.append((origin_id, _nearest(low, known_tick(origin_id))))
    return pairs


def pack_dense(ticks: Iterable[int]) -> bytes:
    """Return the ticks of all origins in order, without identifiers."""
    return b"".join(_low_bytes(tick) for tick in ticks)


def unpack_dense(
    packed: bytes, order: Sequence[bytes], known_tick: KnownTick
) -> list[Pair]:
    """Return the pairs of a dense digest, ticks being near the known ones."""
    pairs = []
    for place, origin_id in enumerate(order):
        start = place * SHORT_TICK_BYTES
        low = packed[start : start + SHORT_TICK_BYTES]
        if len(low) == SHORT_TICK_BYTES:
            pairs.append((origin_id, _nearest(low, known_tick(origin_id))))
    return pairs


def _low_bytes(tick: int) -> bytes:
    return (tick % SHORT_TICK_LIMIT).to_bytes(SHORT_TICK_BYTES, "big")


def _nearest(low: bytes, known: int) -> int:
    """Return the tick with these low bits that is nearest to a known one."""
    ahead = (int.from_bytes(low, "big") - known) % SHORT_TICK_LIMIT
    if ahead >= SHORT_TICK_LIMIT // 2:
        ahead -= SHORT_TICK_LIMIT
    return max(0, known + ahead)
