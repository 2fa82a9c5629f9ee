"""Splits an entry's requests between two versions by a hash of the request id."""

from __future__ import annotations

import xxhash

HASH_SPAN = 1 << 64


def position(entry: str, move: str, request_id: str) -> float:
    """Return where a request stands in [0, 1), equal at every instance.

    The move's name is part of the hash, so that the callers who meet a new
    version first differ from move to move.
    """
    key = f"{entry}\x00{move}\x00{request_id}"
    return xxhash.xxh64_intdigest(key.encode()) / HASH_SPAN


def is_on_new(entry: str, move: str, request_id: str, share: float) -> bool:
    """Return whether a request runs on the new version.

    Monotone in ``share``: a request on the new version stays on it when the
    share grows. A share of 0 takes no request, a share of 1 every request.
    """
    return position(entry, move, request_id) < share
