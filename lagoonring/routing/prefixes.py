"""Hashes of prompt prefixes and rendezvous weights.

The canonical prompt is the concatenation of ``role\\x00content\\x01`` for each
message, so that each prompt of a conversation is a prefix of the later ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

BLOCK_BYTES = 256
MAX_BLOCKS = 4096
KEY_DEPTH_BLOCKS = 8
MASK_64 = (1 << 64) - 1
MIX_1 = 0x9E3779B97F4A7C15
MIX_2 = 0xBF58476D1CE4E5B9
USER_MARKER = b"user\x00"
MESSAGE_END = b"\x01"


def make_prompt(messages: Iterable[tuple[str, str]]) -> bytes:
    """Return the canonical prompt of ``(role, content)`` messages."""
    return b"".join(
        role.encode() + b"\x00" + content.encode() + MESSAGE_END
        for role, content in messages
    )


def hash_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the prompt's complete 256-byte blocks.

    Two prompts have the same first ``n`` hashes exactly if they have the same
    first ``n`` blocks. An incomplete last block is omitted, since it changes
    with the next turn of the conversation.
    """
    blocks = []
    block_hash = 0
    n_blocks = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    hash_64 = xxhash.xxh64_intdigest
    for start in range(0, n_blocks * BLOCK_BYTES, BLOCK_BYTES):
        block_hash = hash_64(prompt[start : start + BLOCK_BYTES], seed=block_hash)
        blocks.append(block_hash)
    return tuple(blocks)


def hash_conversation(prompt: bytes) -> int:
    """Return a key that is the same for all turns of a conversation.

    It is the hash of the prompt up to the end of the first user message.
    """
    start = prompt.find(USER_MARKER)
    end = prompt.find(MESSAGE_END, start) if start >= 0 else -1
    head = prompt if end < 0 else prompt[: end + 1]
    return xxhash.xxh64_intdigest(head) or 1


def affinity_key_of(affinity_key: int, prefix_blocks: tuple[int, ...]) -> int:
    """Return the rendezvous key of a request, or 0 if it has no affinity."""
    if affinity_key:
        return affinity_key
    if not prefix_blocks:
        return 0
    return prefix_blocks[min(len(prefix_blocks), KEY_DEPTH_BLOCKS) - 1]


def hash_name(name: str) -> int:
    """Return the 64-bit hash of a name for rendezvous weights."""
    return xxhash.xxh64_intdigest(name.encode())


def rendezvous_weight(key: int, name_hash: int) -> int:
    """Return the weight of a name for a key; the greatest is chosen."""
    mixed = ((key ^ name_hash) * MIX_1) & MASK_64
    mixed ^= mixed >> 32
    return (mixed * MIX_2) & MASK_64


def rank_by_rendezvous(key: int, names: Iterable[str]) -> list[str]:
    """Return names in descending order of their weight for a key.

    Removing a name does not change the order of the others.
    """
    return sorted(
        names,
        key=lambda name: (rendezvous_weight(key, hash_name(name)), name),
        reverse=True,
    )
