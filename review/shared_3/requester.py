"""A requester that reads one stream and tells how it ended."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from deployment import HOST, KEY


@dataclass
class Outcome:
    """What a requester got of a stream."""

    request_id: str
    status: int = 0
    events: list[int] = field(default_factory=list)
    is_complete: bool = False
    error: str = ""

    def describe(self) -> str:
        """Return the outcome in a line."""
        end = "complete" if self.is_complete else f"broken off ({self.error})"
        ids = f"{self.events[0]} to {self.events[-1]}" if self.events else "none"
        return f"{self.request_id} got {self.status}, events {ids}, {end}"


async def ask_stream(
    address: tuple[str, int],
    request_id: str,
    path: str,
    *,
    allowed_ms: int = 10_000,
) -> Outcome:
    """Send a request and read its stream."""
    outcome = Outcome(request_id)
    body = b'{"prompt": "x"}'
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        f"Lagoonring-Request-Id: {request_id}\r\n"
        "Lagoonring-Model: m\r\n"
        "Lagoonring-Token-Count: 400,80\r\n"
        f"Lagoonring-Prompt-Prefix: 5c1e07a2:300,{request_id[-8:]}:100\r\n"
        f"Lagoonring-Deadline-Ms: {allowed_ms}\r\n"
        f"Authorization: Token {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(allowed_ms / 1000 + 2.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head.encode() + body)
                await _read(reader, outcome)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        outcome.error = repr(error)
    return outcome


async def _read(reader: asyncio.StreamReader, outcome: Outcome) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    outcome.status = int(head.split(" ", 2)[1])
    if "chunked" not in head.lower():
        outcome.error = "no stream"
        return
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            outcome.is_complete = True
            return
        for line in data.split(b"\n"):
            if line.startswith(b"id:"):
                outcome.events.append(int(line[3:]))
