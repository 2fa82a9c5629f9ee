"""Requesters that send one request on a new channel, and record what they get."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

import aiohttp

from shared.deployment import HOST, KEY

if TYPE_CHECKING:
    from shared.deployment import Instance

DEADLINE_MS = 4000


async def send(
    session: aiohttp.ClientSession,
    one: Instance,
    path: str,
    sent: list[dict],
    *,
    body: bytes = b"{}",
    key: str = KEY,
    deadline_ms: int = DEADLINE_MS,
) -> dict:
    """Send a POST request, add it to ``sent``, and return it once it has ended."""
    now_s = time.monotonic()
    request = {
        "id": uuid.uuid4().hex[:16],
        "instance": one.name,
        "body": body,
        "key": key,
        "sent": now_s,
        "in_touch": one.is_in_touch(now_s),
        "status": None,
        "ended": None,
    }
    sent.append(request)
    headers = {
        "Host": HOST,
        "Authorization": f"Token {key}",
        "Lagoonring-Request-Id": request["id"],
        "Lagoonring-Deadline-Ms": str(deadline_ms),
        "Connection": "close",
    }
    timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000)
    try:
        async with session.post(
            one.url + path, data=body, headers=headers, timeout=timeout
        ) as answer:
            await answer.read()
            request["status"] = answer.status
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        request["status"] = type(error).__name__
    request["ended"] = time.monotonic()
    return request
