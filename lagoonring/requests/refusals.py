"""Errors as JSON, and as an answer to a request that has not been read."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from lagoonring.errors import LagoonringError


def encode_error(error: LagoonringError, request_id: str | None) -> bytes:
    """Return the code, message, remedy and outcome of a request as JSON."""
    content = {
        "error": {
            "code": error.code,
            "message": error.message,
            "remedy": error.remedy,
            "outcome": error.outcome.value,
            "request_id": request_id,
        }
    }
    return msgspec.json.encode(content)


def make_refusal(error: LagoonringError) -> bytes:
    """Return the whole answer to a request whose head has not been read."""
    body = encode_error(error, None)
    lines = [
        f"HTTP/1.1 {error.status} {HTTPStatus(error.status).phrase}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if error.retry_after_s is not None:
        lines.append(f"Retry-After: {error.retry_after_s:.3f}")
    return "\r\n".join([*lines, "", ""]).encode() + body
