"""Tokens of the engine stand-in, computed from the prompt.

Tests and the load tool compare answers with :func:`text_of` to detect missing or
repeated tokens and tokens of another request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable

BYTES_PER_PROMPT_TOKEN = 4
STEP = 0x9E37_79B1


def token_maker(prompt: str) -> Callable[[int], str]:
    """Return a function that maps the index of a token to its text."""
    base = xxhash.xxh32_intdigest(prompt.encode(errors="replace"))

    def make_token(k: int) -> str:
        return f" w{(base + k * STEP >> 7) & 0xFFFF:04x}"

    return make_token


def token_at(prompt: str, k: int) -> str:
    """Return token ``k``, counted from 0, of the answer to a canonical prompt."""
    return token_maker(prompt)(k)


def text_of(prompt: str, start: int, stop: int) -> str:
    """Return the text of tokens ``start`` to ``stop - 1`` of the answer."""
    return "".join(map(token_maker(prompt), range(start, stop)))


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens that the stand-in counts for a prompt."""
    n_bytes = len(prompt.encode(errors="replace"))
    return -(-n_bytes // BYTES_PER_PROMPT_TOKEN)


def canonical_prompt(messages: list[tuple[str, str]]) -> str:
    """Return the prompt as one text: ``role NUL content SOH`` per message."""
    return "".join(f"{role}\x00{content}\x01" for role, content in messages)
