"""Anti-entropy between two tables, as a sequence of messages.

The first message has a digest of all ticks (within a data centre) or a hash per
bucket of origins (between data centres). Each reply sends the updates that the peer
lacks and requests those that this table lacks; an empty reply ends the comparison.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

from lagoonring.peers.digests import (
    MAX_SHORT_ORIGINS,
    hash_origins,
    long_pair,
    pack_dense,
    pack_long,
    pack_short,
    unpack_dense,
    unpack_long,
    unpack_short,
)
from lagoonring.peers.messages import TableSync
from lagoonring.peers.origins import limit_updates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonring.peers.digests import Pair
    from lagoonring.peers.messages import OriginUpdate
    from lagoonring.peers.tables import Table

N_BUCKETS = 64
ALL_BUCKETS = (1 << N_BUCKETS) - 1

hash_word = struct.Struct(">I")


def start_by_digest(table: Table) -> TableSync:
    """Return the first message of a comparison by digest."""
    if len(table.origins) > MAX_SHORT_ORIGINS:
        return TableSync(buckets=ALL_BUCKETS, digest=pack_digest(table, ALL_BUCKETS))
    origin_ids = table.sorted_origin_ids()
    return TableSync(
        origins_hash=hash_origins(origin_ids),
        buckets=ALL_BUCKETS,
        digest=pack_dense(table.known_tick(origin_id) for origin_id in origin_ids),
    )


def start_by_hashes(table: Table) -> TableSync:
    """Return the first message of a comparison by bucket hashes."""
    return TableSync(hashes=hash_buckets(table))


def reply(table: Table, sync: TableSync) -> TableSync:
    """Merge one message of a comparison and return the reply.

    A message in the short form is unreadable if this table holds other origins than
    the sender's; the reply is then a digest in the long form.
    """
    if sync.origins_hash:
        return _reply_short(table, sync)
    table.merge(sync.updates, unpack_long(sync.ticks))
    buckets = _find_differing_buckets(table, sync.hashes)
    requested = unpack_long(sync.wants)
    wants: list[Pair] = []
    if sync.buckets:
        lacking, wants = _compare_ticks(table, sync.buckets, unpack_long(sync.digest))
        requested += lacking
    ticks, updates = _collect_changes(table, requested)
    return TableSync(
        buckets=buckets,
        digest=pack_digest(table, buckets),
        wants=pack_long(wants),
        ticks=pack_long(ticks),
        updates=updates,
    )


def _reply_short(table: Table, sync: TableSync) -> TableSync:
    origin_ids = table.sorted_origin_ids()
    if sync.origins_hash != hash_origins(origin_ids):
        table.merge(sync.updates)
        if not sync.buckets:
            return TableSync()
        return TableSync(buckets=ALL_BUCKETS, digest=pack_digest(table, ALL_BUCKETS))
    requested = unpack_short(sync.wants, origin_ids, table.known_tick)
    unchanged = unpack_short(sync.ticks, origin_ids, table.known_tick)
    digest = unpack_dense(sync.digest, origin_ids, table.known_tick)
    table.merge(sync.updates, unchanged)
    wants: list[Pair] = []
    if sync.buckets:
        lacking, wants = _compare_ticks(table, ALL_BUCKETS, digest)
        requested += lacking
    ticks, updates = _collect_changes(table, requested)
    origin_ids = table.sorted_origin_ids()
    return TableSync(
        origins_hash=hash_origins(origin_ids) if wants or ticks else b"",
        wants=pack_short(wants, origin_ids),
        ticks=pack_short(ticks, origin_ids),
        updates=updates,
    )


def pack_digest(table: Table, buckets: int) -> bytes:
    """Return the ticks of all origins in the given buckets, in the long form.

    ``buckets`` is a bit mask.
    """
    if not buckets:
        return b""
    return pack_long(
        (origin.origin_id, origin.tick)
        for origin in table.origins.values()
        if buckets >> _bucket(origin.origin_id) & 1
    )


def hash_buckets(table: Table) -> bytes:
    """Return one hash per bucket, over its origins and ticks."""
    words = [0] * N_BUCKETS
    for origin in table.origins.values():
        pair = long_pair.pack(origin.origin_id, origin.tick)
        words[_bucket(origin.origin_id)] ^= xxhash.xxh32_intdigest(pair)
    return b"".join(hash_word.pack(word) for word in words)


def _find_differing_buckets(table: Table, hashes: bytes) -> int:
    own = hash_buckets(table) if hashes else b""
    if len(own) != len(hashes):
        return ALL_BUCKETS
    buckets = 0
    for bucket in range(len(own) // hash_word.size):
        start = bucket * hash_word.size
        end = start + hash_word.size
        if own[start:end] != hashes[start:end]:
            buckets |= 1 << bucket
    return buckets


def _compare_ticks(
    table: Table, buckets: int, digest: Iterable[Pair]
) -> tuple[list[Pair], list[Pair]]:
    """Return the pairs that the peer lacks and those to request from it."""
    peer_ticks = dict(digest)
    lacking = []
    for origin in table.origins.values():
        if not buckets >> _bucket(origin.origin_id) & 1:
            continue
        tick = peer_ticks.get(origin.origin_id, -1)
        if tick < origin.tick:
            lacking.append((origin.origin_id, tick))
    wants: list[Pair] = []
    for origin_id, tick in peer_ticks.items():
        known = table.find(origin_id)
        if known is table.own and known is not None:
            continue
        if known is None or known.tick < tick:
            wants.append((origin_id, table.known_tick(origin_id)))
    return lacking, wants


def _collect_changes(
    table: Table, requested: Iterable[Pair]
) -> tuple[list[Pair], list[OriginUpdate]]:
    ticks: list[Pair] = []
    changed = []
    for origin_id, tick in requested:
        origin = table.find(origin_id)
        if origin is None:
            continue
        update = origin.changes_since(max(tick, 0), with_record=tick <= 0)
        if update.record is None and not update.rows and not update.is_full:
            ticks.append((origin_id, origin.tick))
        else:
            changed.append(update)
    return ticks, list(limit_updates(changed, table.limits.n_frame_bytes))


def _bucket(origin_id: bytes) -> int:
    return origin_id[0] % N_BUCKETS
