"""Keys of claims, their digests and the slots that they map to."""

from __future__ import annotations

from hashlib import blake2b

KEY_BYTES = 16
ID_BYTES = 8


def scoped_key(organisation: str, entry: str, key: str) -> str:
    """Return the key of a claim: an idempotency key within organisation and entry."""
    return f"{organisation}\x00{entry}\x00{key}"


def digest_key(key: str) -> bytes:
    """Return the 16-byte digest that identifies a key in the log."""
    return blake2b(key.encode(), digest_size=KEY_BYTES).digest()


def digest_id(value: str | bytes) -> bytes:
    """Return the 8-byte digest of a claim id or request fingerprint."""
    data = value.encode() if isinstance(value, str) else value
    return blake2b(data, digest_size=ID_BYTES).digest()


def find_slot(digest: bytes, n_slots: int) -> int:
    """Return the slot to which a key's digest maps."""
    return int.from_bytes(digest[:8], "big") % n_slots


def name_stream(slot: int) -> str:
    """Return the name of a slot's stream in the log."""
    return f"claims-{slot}"
