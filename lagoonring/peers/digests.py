"""Packed (origin id, tick) pairs in a long and a short form.

The long form has the full identifiers of origins. The short form is for two tables
that hold the same origins, as verified by a hash of all identifiers. It encodes an
origin as its index in the sorted identifiers and a tick as its low bits only.
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
MAX_SHORT_ORIGINS = 256
SHORT_TICK_BYTES = 3
SHORT_TICK_LIMIT = 1 << (8 * SHORT_TICK_BYTES)
SHORT_PAIR_BYTES = 1 + SHORT_TICK_BYTES

long_pair = struct.Struct(f">{ORIGIN_ID_BYTES}sI")


def pack_long(pairs: Iterable[Pair]) -> bytes:
    """Pack pairs in the long form."""
    return b"".join(long_pair.pack(*pair) for pair in pairs)


def unpack_long(packed: bytes) -> list[Pair]:
    """Unpack pairs of the long form; an incomplete last pair is ignored."""
    whole = len(packed) - len(packed) % long_pair.size
    return list(long_pair.iter_unpack(packed[:whole]))


def hash_origins(origin_ids: Sequence[bytes]) -> bytes:
    """Return a hash of the sorted identifiers of all origins."""
    return xxhash.xxh32_digest(b"".join(origin_ids))


def pack_short(pairs: Iterable[Pair], origin_ids: Sequence[bytes]) -> bytes:
    """Pack pairs in the short form; unknown origins are skipped."""
    indexes = {origin_id: index for index, origin_id in enumerate(origin_ids)}
    return b"".join(
        bytes([indexes[origin_id]]) + _low_bytes(tick)
        for origin_id, tick in pairs
        if origin_id in indexes
    )


def unpack_short(
    packed: bytes, origin_ids: Sequence[bytes], known_tick: KnownTick
) -> list[Pair]:
    """Unpack pairs of the short form.

    A full tick is the value with the given low bits that is nearest to the known
    tick of its origin.
    """
    pairs = []
    for start in range(0, len(packed) - SHORT_TICK_BYTES, SHORT_PAIR_BYTES):
        index = packed[start]
        low = packed[start + 1 : start + SHORT_PAIR_BYTES]
        if index < len(origin_ids):
            origin_id = origin_ids[index]
            pairs.append((origin_id, _nearest_tick(low, known_tick(origin_id))))
    return pairs


def pack_dense(ticks: Iterable[int]) -> bytes:
    """Pack the ticks of all origins in sorted order, without identifiers."""
    return b"".join(_low_bytes(tick) for tick in ticks)


def unpack_dense(
    packed: bytes, origin_ids: Sequence[bytes], known_tick: KnownTick
) -> list[Pair]:
    """Unpack a dense digest; full ticks as in :func:`unpack_short`."""
    pairs = []
    for index, origin_id in enumerate(origin_ids):
        start = index * SHORT_TICK_BYTES
        low = packed[start : start + SHORT_TICK_BYTES]
        if len(low) == SHORT_TICK_BYTES:
            pairs.append((origin_id, _nearest_tick(low, known_tick(origin_id))))
    return pairs


def _low_bytes(tick: int) -> bytes:
    return (tick % SHORT_TICK_LIMIT).to_bytes(SHORT_TICK_BYTES, "big")


def _nearest_tick(low: bytes, known: int) -> int:
    """Return the tick with the given low bits that is nearest to a known tick."""
    ahead = (int.from_bytes(low, "big") - known) % SHORT_TICK_LIMIT
    if ahead >= SHORT_TICK_LIMIT // 2:
        ahead -= SHORT_TICK_LIMIT
    return max(0, known + ahead)
