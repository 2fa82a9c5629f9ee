"""Decoding of JSON from outside, with one error for everything that can't be read."""

from __future__ import annotations

from typing import Any

import msgspec


def decode_json(content: bytes | str, kind: Any = Any, *, strict: bool = True) -> Any:
    """Return decoded JSON, converted to a type.

    The decoder raises other errors of its own for some contents, such as very deeply
    nested ones.

    Raises
    ------
    msgspec.DecodeError
        If it can't be decoded.
    """
    try:
        return msgspec.json.decode(content, type=kind, strict=strict)
    except msgspec.DecodeError:
        raise
    except (RecursionError, ValueError, OverflowError) as error:
        raise msgspec.DecodeError(f"JSON is unreadable: {error}") from error
