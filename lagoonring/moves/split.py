"""Splits an entry's requests between two versions by a hash of the request id."""

from __future__ import annotations

import xxhash

HASH_SPAN = 1 << 64


def hash_position(entry: str, move: str, request_id: str) -> float:
    """Return a request's hash scaled to [0, 1), equal at every instance.

    The move's key is part of the hash, so that a different set of requests gets the
    new version first in each move.
    """
    key = f"{entry}\x00{move}\x00{request_id}"
    return xxhash.xxh64_intdigest(key.encode()) / HASH_SPAN


def is_on_new(entry: str, move: str, request_id: str, share: float) -> bool:
    """Return whether a request runs on the new version.

    The result is monotone in ``share``: a request on the new version stays on it as
    the share grows. A share of 0 selects no request, a share of 1 every request.
    """
    return hash_position(entry, move, request_id) < share
