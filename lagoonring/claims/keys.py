"""Keys of claims, and the slots and digests that they map to."""

from __future__ import annotations

from hashlib import blake2b

KEY_BYTES = 16
ID_BYTES = 8


def scoped_key(organisation: str, entry: str, key: str) -> str:
    """Return the key of a claim: one organisation's key at one entry."""
    return f"{organisation}\x00{entry}\x00{key}"


def digest_key(key: str) -> bytes:
    """Return the 16 bytes by which a key is known in the log."""
    return blake2b(key.encode(), digest_size=KEY_BYTES).digest()


def digest_id(value: str | bytes) -> bytes:
    """Return the 8 bytes by which a claim id or fingerprint is known."""
    data = value.encode() if isinstance(value, str) else value
    return blake2b(data, digest_size=ID_BYTES).digest()


def find_slot(digest: bytes, n_slots: int) -> int:
    """Return the slot of a key's digest."""
    return int.from_bytes(digest[:8], "big") % n_slots


def name_stream(slot: int) -> str:
    """Return the stream of a slot."""
    return f"claims-{slot}"
