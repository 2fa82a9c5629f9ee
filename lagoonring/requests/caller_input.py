"""Reads and validates bodies and headers of callers' HTTP requests."""

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
    UnknownRequestError,
)

if TYPE_CHECKING:
    from aiohttp import web

    from lagoonring.requests.options import RequestsOptions

DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
LAST_EVENT_HEADER = "Last-Event-ID"
DEADLINE_LIMIT_MS = 3_600_000
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")


async def read_body(request: web.BaseRequest, options: RequestsOptions) -> bytes:
    """Return the complete request body.

    Raises
    ------
    BodyTooLargeError
        If the body exceeds ``options.body_limit_bytes``.
    SlowSenderError
        If the body takes longer than ``options.body_timeout_s`` to arrive.
    UnfinishedUploadError
        If the connection ends before the body is complete.
    """
    limit = options.body_limit_bytes
    if request.content_length is not None and request.content_length > limit:
        raise _body_too_large_error(f"{request.content_length}", limit)
    body = bytearray()
    try:
        async with asyncio.timeout(options.body_timeout_s):
            await _read_limited(request.content, limit, body)
    except TimeoutError:
        raise SlowSenderError(
            f"Got {len(body)} bytes in {options.body_timeout_s} s, "
            "expected the whole body.",
            remedy="Send the body faster, or split it.",
            retry_after_s=1.0,
        ) from None
    except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as error:
        raise _unfinished_upload_error(
            f"{len(body)} bytes before the connection failed", "the whole body"
        ) from error
    if request.content_length is not None and len(body) < request.content_length:
        raise _unfinished_upload_error(
            f"{len(body)} bytes", f"{request.content_length}"
        )
    return bytes(body)


def read_request_timeout_s(request: web.BaseRequest) -> float | None:
    """Return the time that the caller allows, None without a deadline header.

    Raises
    ------
    BadHeaderError
        If the header is not a number of milliseconds.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or not int(text[:9]) >= 1:
        raise BadHeaderError(
            f"Got {DEADLINE_HEADER} {text[:40]!r}, expected whole milliseconds.",
            remedy=f"Send a number from 1 to {DEADLINE_LIMIT_MS}.",
        )
    return min(int(text[:9]), DEADLINE_LIMIT_MS) / 1000


def read_idempotency_key(request: web.BaseRequest) -> str:
    """Return the idempotency key, or an empty string if the header is absent.

    Raises
    ------
    BadHeaderError
        If the key is not 1 to 255 printable characters.
    """
    key = request.headers.get(KEY_HEADER)
    if key is None:
        return ""
    if not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise BadHeaderError(
            f"Got {KEY_HEADER} {key[:40]!r}, expected 1 to 255 printable characters.",
            remedy="Use a random identifier per booking or payment.",
        )
    return key


def read_stream_position(request: web.Request) -> tuple[str, int]:
    """Return the request id and the number of tokens that the caller has received.

    Raises
    ------
    UnknownRequestError
        If neither the path nor the header names a request.
    """
    last_event = request.headers.get(LAST_EVENT_HEADER, "")
    event_request, _, number = last_event.rpartition(":")
    request_id = request.match_info.get("request_id") or event_request
    if not request_id:
        raise UnknownRequestError(
            f"Got {LAST_EVENT_HEADER} {last_event[:80]!r}, expected REQUEST_ID:N.",
            remedy="Name the request id in the path or in Last-Event-ID.",
        )
    is_number = number.isascii() and number.isdigit()
    return request_id, int(number[:9]) if is_number else 0


async def _read_limited(
    content: aiohttp.StreamReader, limit_bytes: int, body: bytearray
) -> None:
    """Append chunks to ``body``, which holds those received before an error."""
    async for chunk in content.iter_any():
        if len(body) + len(chunk) > limit_bytes:
            raise _body_too_large_error(f"over {limit_bytes}", limit_bytes)
        body += chunk


def _unfinished_upload_error(got: str, expected: str) -> UnfinishedUploadError:
    return UnfinishedUploadError(
        f"Got {got}, expected {expected}.", remedy="Send the request again."
    )


def _body_too_large_error(got: str, limit: int) -> BodyTooLargeError:
    return BodyTooLargeError(
        f"Got a body of {got} bytes, expected at most {limit}.",
        remedy="Send a shorter body.",
    )
