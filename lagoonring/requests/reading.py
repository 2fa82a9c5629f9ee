"""Reads callers' bodies and headers within limits."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

import aiohttp

from lagoonring.requests.errors import (
    BadHeaderError,
    BodyTooLargeError,
    SlowSenderError,
    UnfinishedUploadError,
)

if TYPE_CHECKING:
    from aiohttp import web

    from lagoonring.requests.options import RequestsOptions

DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
DEADLINE_LIMIT_MS = 3_600_000
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")


async def read_body(request: web.BaseRequest, options: RequestsOptions) -> bytes:
    """Return the whole body.

    Raises
    ------
    BodyTooLargeError
        If it exceeds ``options.body_limit_bytes``.
    SlowSenderError
        If it takes longer than ``options.body_timeout_s``.
    UnfinishedUploadError
        If the connection ends before it.
    """
    limit = options.body_limit_bytes
    if request.content_length is not None and request.content_length > limit:
        raise _too_large(f"{request.content_length}", limit)
    chunks: list[bytes] = []
    n_bytes = 0
    try:
        async with asyncio.timeout(options.body_timeout_s):
            async for chunk in request.content.iter_any():
                n_bytes += len(chunk)
                if n_bytes > limit:
                    raise _too_large(f"over {limit}", limit)
                chunks.append(chunk)
    except TimeoutError:
        raise SlowSenderError(
            f"Got {n_bytes} bytes in {options.body_timeout_s} s, "
            "expected the whole body.",
            remedy="Send the body faster, or split it.",
            retry_after_s=1.0,
        ) from None
    except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as error:
        raise UnfinishedUploadError(
            f"Got {n_bytes} bytes before the connection failed, "
            "expected the whole body.",
            remedy="Send the request again.",
        ) from error
    if request.content_length is not None and n_bytes < request.content_length:
        raise UnfinishedUploadError(
            f"Got {n_bytes} bytes, expected {request.content_length}.",
            remedy="Send the request again.",
        )
    return b"".join(chunks)


def read_deadline_s(request: web.BaseRequest, default_ms: float) -> float:
    """Return the seconds that the caller allows.

    Raises
    ------
    BadHeaderError
        If the header is not a number of milliseconds.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return default_ms / 1000
    if not text.isascii() or not text.isdigit() or not int(text[:9]) >= 1:
        raise BadHeaderError(
            f"Got {DEADLINE_HEADER} {text[:40]!r}, expected whole milliseconds.",
            remedy=f"Send a number from 1 to {DEADLINE_LIMIT_MS}.",
        )
    return min(int(text[:9]), DEADLINE_LIMIT_MS) / 1000


def read_key(request: web.BaseRequest) -> str:
    """Return the idempotency key, empty if there is none.

    Raises
    ------
    BadHeaderError
        If it is not 1 to 255 printable characters.
    """
    key = request.headers.get(KEY_HEADER)
    if key is None:
        return ""
    if not KEY_PATTERN.fullmatch(key):
        raise BadHeaderError(
            f"Got {KEY_HEADER} {key[:40]!r}, expected 1 to 255 printable characters.",
            remedy="Use a random identifier per booking or payment.",
        )
    return key


def _too_large(got: str, limit: int) -> BodyTooLargeError:
    return BodyTooLargeError(
        f"Got a body of {got} bytes, expected at most {limit}.",
        remedy="Send a shorter body.",
    )
