"""Decoding of what comes from outside, with few errors for all that can't be read."""

from __future__ import annotations

from typing import Any

import msgspec

# Raised for contents that can't be decoded, the last one for very deep nesting.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)


def decode_json(content: bytes | str, kind: Any = Any, *, strict: bool = True) -> Any:
    """Return decoded JSON, converted to a type.

    Raises
    ------
    msgspec.DecodeError
        If it can't be decoded.
    """
    try:
        return msgspec.json.decode(content, type=kind, strict=strict)
    except msgspec.DecodeError:
        raise
    except DECODE_ERRORS as error:
        raise msgspec.DecodeError(f"JSON is unreadable: {error}") from error
